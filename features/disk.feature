@sockets
Feature: a data folder after a loss of power
  A folder is refused only where something that was promised from it may be gone (docs/design.md §10.2).

  Scenario: the file is kept longer than what is used, so pages taken and given back are not missed
    Given a new data folder
    When 200 changes of 40,000 bytes are written and half of them taken away again
    Then the file is longer than its last page by at least half of what is kept ahead
    And opened again it gives back what was written

  Scenario Outline: power went while the folder was made: <what>
    Given a new data folder
    When its file is left <what>
    Then it is opened as a new one that <may> found a group

    Examples:
      | what                                            | may     |
      | empty, before its first transaction was synced  | may     |
      | empty, after its first transaction was synced   | may not |
      | without its last used page                      | may not |
      | with zeros in place of its pages                | may not |
      | out of the folder, its marker kept              | may not |
      | set aside, its marker kept                      | may not |

  Scenario: a damaged database of another program is left alone
    Given a new data folder
    When its file is left without its last used page and without its marker
    Then it is refused as cut off

  Scenario: a failed commit loses nothing, and the disk is tried with one write after growing pauses
    Given a write queue on a disk that refuses 4 commits
    When 3 writes are added at once
    Then the commits that were tried hold 3, 1, 1, 1, 1, 2 writes
    And each write is told as durable once, in order
    And the queue told "failing, writable"

  Scenario: a disk that does not answer is told of while the process goes on, and again once it answers
    Given a write queue on a disk that does not answer
    When a write is added and 1,200 ms pass in beats of 50 ms
    Then the queue told "stalled"
    When the disk answers
    Then the queue told "stalled, writable"

  Scenario: time in which the process was not run is no silence of the disk
    Given a write queue on a disk that does not answer
    When a write is added and 3,000 ms pass in one beat
    Then the queue told nothing

  Scenario: a process whose disk is full at its start waits, and goes on without end when the disk is full later
    Given a real process with a data folder whose disk is full
    When its disk has room for 9 MB
    Then it opens its folder
    When it writes 16 MB
    Then it tells that its disk is failing
    When its disk has room again
    Then it tells that its disk is writable
    And everything that it wrote is in its folder
