@sockets
Feature: Every answer reaches its own caller, and a call that may run once is sent once
  Callers and runners on real loopback sockets, the adapter, the relay and the links between them (docs/control-safety.md, point 5).
  A scenario fails if its fault did not occur while a call was at stake.

  Background:
    Given an access node with 2 runners and the routes
      | name  | path    | kind   | attempts |
      | label | /label/ | safe   | 2        |
      | pay   | /pay/   | unsafe | 3        |

  Rule: Faults of runners

    Scenario Outline: A runner that <does>
      Given both runners <does> at every second call on a kept connection
      When 4 callers make 15 calls each on "pay"
      Then the fault struck 10 calls or more
      And every answer is that of its own call
      And no call ran twice
      And no call that was promised not to run has run
      When 4 callers make 15 calls each on "label"
      Then every answer is that of its own call
      And no call ran on more than 2 runners

      Examples:
        | does                                         |
        | answer twice                                 |
        | answer once more when the next call comes    |
        | answer with the id of the call before        |
        | answer with an id that nobody uses           |
        | send bytes after the end of the answer       |
        | cut the body                                 |
        | reset the connection when the call comes     |
        | close the connection when the call comes     |
        | reset the connection after the head          |
        | reset the connection after part of the body  |
        | tell a status that promises what they cannot |
        | send what is no answer                       |
        | announce a length and chunks together        |
        | fall silent                                  |

    Scenario: A promise of the runner sends a call elsewhere
      Given both runners say that they did not run it at every second call on a kept connection
      When 4 callers make 15 calls each on "pay"
      Then the fault struck 10 calls or more
      And every answer is that of its own call
      And no call ran twice
      And no call that was promised not to run has run

    Scenario: One id used by two callers at once
      Given both runners answer once more when the next call comes at every second call on a kept connection
      When 6 callers make 12 calls each on "pay", all with ids that other callers use at the same time
      Then the fault struck 10 calls or more
      And every answer is that of its own path

  Rule: Callers

    Scenario: Bytes that are no request, behind a call under way
      Given the runners hold their answers
      When a caller sends a call on "pay" and then "it is late\r\n\r\n"
      And the node has read all of it, and the runners answer
      Then the caller reads one answer, the runner's, and the end of the connection

    Scenario: A request sent half, behind a call under way, that stays half
      Given the runners hold their answers
      And callers may take 100 ms for the headers
      When a caller sends a call on "pay" and then "GET /label/x HTTP/1.1\r\nHost: sh"
      And 500 ms pass, and the runners answer
      Then the caller reads one answer, the runner's, and the end of the connection

    Scenario: A bad chunk, behind a call under way
      Given the runners hold their answers
      When a caller sends a call on "pay" and then a call with a bad chunk
      And the node has read all of it, and the runners answer
      Then the caller reads the runner's answer, then 400, and the end of the connection
      And one call ran

    Scenario: Half a request alone is refused in time and reaches no runner
      Given callers may take 300 ms for the headers
      When a caller sends "POST /pay/x HTTP/1.1\r\nHost: shop.example\r\n" alone
      Then the caller reads 408, and the end of the connection
      And no call ran

    Scenario Outline: A request that two readers could understand in two ways: <what>
      When a caller sends <what>
      Then the caller reads 400 first
      And no call ran

      Examples:
        | what                               |
        | a length and chunks together       |
        | two lengths                        |
        | a chunk size that is no number     |
        | a coding folded over two lines     |
        | a space before the colon           |
        | a coding after chunked             |
        | two hosts                          |
        | two ids                            |

    Scenario: A caller that resets with two calls under way
      Given the runners hold their answers
      When a caller sends two calls on "pay" at once and resets its connection
      Then both runners' connections are reset
      And nothing is under way at the node

    Scenario: Callers that reset and reuse connections at the same time
      Given the runners take 80 ms for each call
      When 12 callers make 12 calls each on "pay", and reset every fourth
      Then 20 calls or more were reset while they ran
      And every answer is that of its own call
      And no call ran twice

  Rule: Limits of a configuration

    Scenario: Limits hold at once, on connections that are open too
      Given a connection on which a call was answered
      When the configuration sets headers of 400 bytes and bodies of 100 bytes
      And a call with headers of 600 bytes is sent on it
      Then the caller reads 431 first
      When a call with a body of 101 bytes is announced, and none of it sent
      Then the caller reads 413 first
      When a call with a body of 101 bytes is sent in chunks without an end
      Then the caller reads 413 first
      And one call ran

    Scenario: The time that a connection may rest
      When the configuration sets a rest of 600 ms
      Then an answer tells a rest of 1 s, and a connection that rested 1200 ms is served
      When the configuration sets a rest of 20000 ms
      Then an answer tells a rest of 20 s
      When the configuration sets no limits
      Then an answer tells a rest of 14 s

    Scenario: A rest that was told holds when the configuration makes it shorter
      When the configuration sets a rest of 4000 ms
      And a call begins, the configuration sets a rest of 100 ms, and the call is answered
      Then the answer told a rest of 4 s, and the connection is served after 3300 ms
