Feature: who was away for hundreds of changes catches up
  Nodes get each changed record once (docs/design.md §4.1); members of control get entries or a copy (§1.4, §1.7).

  Scenario Outline: a node that missed 300 changes of a configuration with <routes> routes
    Given a feed that a node follows, and 300 changes of a configuration with <routes> routes that the node misses
    Then all that it misses comes in one message of <most> bytes at most, and it has the newest configuration
    And the same holds for a node that missed all but the first 250 changes, and one that missed a record that is gone since

    Examples:
      | routes | most    |
      | 8      | 50000   |
      | 200    | 150000  |
      | 800    | 500000  |

  Scenario: a node counts a violation when it receives heartbeats of control but lags behind the feed
    Given a node at feed index 7 that receives a heartbeat of control at the same index every 0.3 s
    When control reaches feed index 8 and the node follows 1.9 s later
    Then the node counts 0 feed violations
    When control reaches feed index 9, and is silent for 5 s before the node follows
    Then the node counts 0 feed violations
    When control reaches feed index 10, and the node does not follow for 2.5 s
    Then the node counts 1 feed violations

  Scenario Outline: after <changes> changes of <routes> routes each control machine in turn is restarted, wiped, replaced
    Given a control group of 3 with 2 storage machines and an access machine, and <changes> changes of <routes> routes, one after another
    When each member in turn is restarted, loses its disk, and is replaced elsewhere, while changes go on
    Then each is up to date and counted on within 6 s, and no head was seen with an older configuration than acknowledged
    When two of them are restarted in a row
    Then each is up to date and counted on within 6 s, and no head was seen with an older configuration than acknowledged
    When a storage and the access machine were cut off for 50 changes
    Then each is up to date and counted on within 6 s, and no head was seen with an older configuration than acknowledged

    Examples:
      | routes | changes |
      | 8      | 300     |
      | 200    | 300     |
      | 800    | 60      |
