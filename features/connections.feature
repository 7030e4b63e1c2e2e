Feature: connections between processes
  Each process keeps one connection to every other process that it speaks to (docs/design.md §10.3). A cut of the network
  leaves such a connection open on both sides; TCP goes on with it only at its next retransmission, long after the cut.

  Scenario Outline: messages arrive soon after a cut of <seconds> s has ended
    Given two processes with a link between them, that send each other a message each 50 ms
    When the link is cut for <seconds> s
    Then a message sent after the cut arrives both ways within 1.2 s
    And no connection stalled longer than it may

    Examples:
      | seconds |
      | 2.6     |
      | 3.4     |
      | 7.5     |

  Scenario: a process that stood still for seconds keeps its connections
    Given a connection of which a heartbeat is awaited
    When the process stands still for 20 s
    Then the connection has not expired
    But it has after 1.5 s in which the process runs and nothing arrives

  Scenario: a slow link that still carries bytes is no stalled one
    Given a connection of which a heartbeat is awaited
    When nothing is answered for 30 s while waiting bytes are flushed each second
    Then the connection has not expired

  Scenario: a release that knows no heartbeats is never given up
    Given a process that answers nothing on connections that it accepts
    When another process sends it messages for 3 s
    Then all of them came on one connection, with nothing but messages on it
