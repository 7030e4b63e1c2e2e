@sockets
Feature: a data folder after a loss of power
  A folder is refused only if something that was acknowledged from it may be lost (docs/design.md §10.2).

  Scenario: the file is kept longer than its used pages, so pages that were allocated and freed again are not missing
    Given a new data folder
    When 200 changes of 40,000 bytes are written and half of them are removed again
    Then the file is longer than its last page by at least half of the reserved length
    And when it is opened again it holds what was written

  Scenario Outline: power is lost while the folder is created: <what>
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

  Scenario: a damaged database of another program is not touched
    Given a new data folder
    When its file is left without its last used page and without its marker
    Then it is refused as cut off

  Scenario: a failed commit loses nothing, and a single write is retried after increasing delays
    Given a write queue on a disk that refuses 4 commits
    When 3 writes are added at once
    Then the commits that were tried hold 3, 1, 1, 1, 1, 2 writes
    And each write is reported as durable once, in order
    And the queue reported "failing, writable"

  Scenario: a disk that does not respond is reported while the process keeps running, and again once it responds
    Given a write queue on a disk that does not respond
    When a write is added and 1,200 ms pass in beats of 50 ms
    Then the queue reported "stalled"
    When the disk responds
    Then the queue reported "stalled, writable"

  Scenario: time in which the process did not run does not count as a stalled disk
    Given a write queue on a disk that does not respond
    When a write is added and 3,000 ms pass in one beat
    Then the queue reported nothing

  Scenario: a process whose disk is full at its start waits, and keeps running when the disk is full later
    Given a real process with a data folder whose disk is full
    When its disk has space for 9 MB
    Then it opens its folder
    When it writes 16 MB
    Then it reports that its disk is failing
    When its disk has space again
    Then it reports that its disk is writable
    And everything that it wrote is in its folder
