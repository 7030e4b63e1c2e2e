@sockets
Feature: connections between processes
  Each process keeps one connection to every other process to which it sends messages (docs/design.md §10.3). A network
  partition leaves such a connection open on both sides; TCP resumes it only at its next retransmission, long after the partition ends.

  Scenario Outline: messages arrive soon after a cut of <seconds> s has ended
    Given two processes with a link between them, that send each other a message each 50 ms
    When the link is cut for <seconds> s
    Then a message sent after the cut arrives both ways within 1.2 s
    And no connection stalled longer than it may, and no message came out of order

    Examples:
      | seconds |
      | 2.6     |
      | 3.4     |
      | 7.5     |

  Scenario: a connection that is full when the cut begins is replaced too
    Given two processes with a link between them, that send each other a message each 50 ms
    When the link is cut, and the first sends 40 MiB at once
    And the cut ends after 7.5 s
    Then a message sent after the cut arrives both ways within 1.2 s
    And no connection stalled longer than it may, and no message came out of order

  Scenario: a connection expires where bytes wait and none is acknowledged
    Given a connection of which all 100 bytes are acknowledged
    Then it has not expired 60.0 s later
    When 40000000 bytes more are written
    Then it has not expired 1.4 s later
    And it has expired 0.1 s after that

  Scenario: a connection over a slow link that still carries bytes has not stalled
    Given a connection of which all 100 bytes are acknowledged
    When 40000000 bytes more are written
    And one byte of them is acknowledged each second for 30 s
    Then it has not expired 1.4 s later
    And it has expired 0.1 s after that

  Scenario: a process that was paused for seconds keeps its connections
    Given two processes with a link between them, that send each other a message each 50 ms
    Then a process whose clock jumps by 20 s five times keeps its connections

  Scenario: connections to a release without acknowledgements are never closed as stalled
    Given a process that sends nothing on connections that it accepts
    When another process sends it messages for 3 s
    Then all of them came on one connection, with nothing but messages on it

  Scenario: messages of one turn of the event loop are written together
    When five messages are sent on one connection in one turn, and two in the next
    Then the connection was written to two times, with all seven messages in order

  Scenario Outline: acknowledgements are sent among the messages of the other direction if both ends support that
    Given a process that exchanges messages both ways with one whose hello <says> that it reads acknowledgements there
    When they have done so for 2 s
    Then the acknowledgements came <where>, with the bytes that it had written

    Examples:
      | says          | where                 |
      | says          | among the messages    |
      | does not say  | on its own connection |
