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
    Then it is <told>

    Examples:
      | what                                            | told            |
      | empty, before its first transaction was synced  | opened as a new one |
      | empty, after its first transaction was synced   | refused as cut off  |
      | without its last used page                      | refused as cut off  |
