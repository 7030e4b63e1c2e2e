Feature: events are cut out of a stream in time that is linear in its bytes
  A runner decides in what pieces its bytes come and how long an event is; the node has one thread (docs/design.md §13.6).

  Scenario: however the bytes are cut into chunks, the events are the same
    When drawn streams are cut at drawn places
    Then each gives the events that it gives in one piece

  # Guards against work that grows with the square of what is buffered, which stopped the access nodes for seconds (review/5).
  Scenario Outline: the work for a byte does not grow with the stream: <stream>
    When a stream of <stream> is parsed, and one 8 times as long
    Then the longer one takes at most 12 times the processor time

    Examples:
      | stream                                    |
      | bytes without an event in chunks of 64 KiB |
      | bytes without an event in chunks of 1 B    |
      | events of 2 bytes in one chunk             |
      | events of 2 bytes before a carriage return |

  Scenario: incomplete events take no more than their part of the memory
    Given a process of 200 MB
    When it parses 40 streams of 4 MB without an event at once
    Then some of them fail, and the rest holds at most 20 MB
    When all of them end
    Then nothing is held
