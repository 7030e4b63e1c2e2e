Feature: whoever holds a lease knows all that was told as in force
  A node with a lease gives definite answers, such as "there is no such route" (docs/design.md §7, §13.5). These scenarios guard
  against a node that holds one and misses an acknowledged change: its callers hear 404 on a route that is there.

  Scenario Outline: control machines that start again let no node go on by what it missed, with <back> of <controls> back
    Given an access node that is cut off from <controls> control machines while a change is acknowledged
    When all control machines lose power, the first <back> of their chain are back at once, and the cut ends
    Then for 6 s the node never holds a lease without that change, and then it has it

    Examples:
      | controls | losses | back |
      | 3        | 1      | 2    |
      | 5        | 2      | 3    |
      | 5        | 2      | 4    |

  Scenario: what another control machine tells of an earlier life of a node ends no lease of the next life
    Given a control machine that granted a lease to a node at place 7
    When another control machine tells of an earlier life at the same address, at place 9
    Then the holders of its leases count as being at place 7
    When the node starts again and says place 9
    Then the holders of its leases count as being at place 9

  Scenario: a heartbeat that comes after a later one is not answered, or its lease would hold no change up
    Given a control machine that heard a node say at its 5,300 ms that it is bound by a promise
    When the node's heartbeat of its 5,000 ms comes after that, from before the promise
    Then nothing is answered, and no lease is granted

  Scenario: an answer to an earlier life of a process grants nothing to the next
    Given a node that started 500 ms ago and has the feed up to place 3
    When all control machines answer a heartbeat that was sent 60,000 ms after the start of the life before
    Then the node holds no lease
    When all control machines answer the heartbeat that it has just sent
    Then the node holds a lease

  Scenario: an answer that was long on its way is no sign that control is near
    Given a node that started 500 ms ago and has the feed up to place 3
    When all control machines answer the heartbeat that it has just sent
    Then control counts as near
    When it goes on sending heartbeats for 1,500 ms, and the answers to those of the first 300 ms come only then
    Then control counts as away

  Scenario: promises of nodes that are no longer of the fleet give no permit
    Given a node that started 500 ms ago and has the feed up to place 3, in the fleet "node:1, n:2, n:3, n:4, n:5, n:6, n:7"
    When all control machines answer the heartbeat that it has just sent
    And control is away for 1,500 ms, and "n:2, n:3" promise to take nothing from it
    And the feed brings the fleet "n:3, n:4, n:5, n:6, n:7" at place 4
    And "n:4" promises it too
    Then the node holds no lease
    When "n:5" promises it too
    Then the node holds a lease

  Scenario: a node logs by what it goes on, once a change, and a few of its definite refusals
    Given a node that started 500 ms ago and has the feed up to place 3
    Then it logs "version 0 at place 3, by none"
    When all control machines answer the heartbeat that it has just sent
    Then it logs "version 0 at place 3, by lease of control-1 control-2 control-3"
    And it logs nothing more while nothing changes
    And of 10 callers refused with 404 within a second it logs 3
    And of 10 callers refused with 503 within a second it logs 0
