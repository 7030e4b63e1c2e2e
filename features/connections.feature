Feature: connections between processes
  Each process keeps one connection to every other process that it speaks to (docs/design.md §10.3). A cut of the network
  leaves such a connection open on both sides; TCP goes on with it only at its next retransmission, long after the cut.

  Scenario Outline: messages arrive soon after a cut of <seconds> s has ended
    Given two processes with a link between them, that send each other a message each 50 ms
    When the link is cut for <seconds> s
    Then a message sent after the cut arrives both ways within 1.2 s

    Examples:
      | seconds |
      | 2.6     |
      | 3.4     |
      | 7.5     |
