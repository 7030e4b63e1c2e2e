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
