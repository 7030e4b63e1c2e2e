Feature: duties in random schedules of faults
  Three machines with the real performers, sources and records, a platform with faults, and rules judged on what it saw (docs/design.md §14).

  Scenario: one machine at a time acts, and every window is reported
    # Guards against two reports of a window with other counts, a fence of two holders, A, B, A within a lease, calls after another's round, and windows left out.
    When duties are played with the seeds 1 to 150
    Then no rule of duties is broken
    And every window is reported once the trouble is over
    And more than 150 times the holder of the reports changes

  Scenario Outline: without "<guard>" the rules are broken
    # Guards against a checker that finds nothing.
    When duties are played with the seeds 1 to <seeds> without the guard "<guard>"
    Then "<rule>" is told in at least one of them

    Examples:
      | guard                                                  | seeds | rule                        |
      | a round counts for a short time since it was asked for | 40    | late call                   |
      | what an act says is decided once                       | 40    | other counts                |
      | another holder wins only after the lease               | 60    | to and fro within the lease |
      | the fence rises when the holder changes                | 40    | one fence, two holders      |
      | an act that was taken is never decided again           | 40    | other counts                |
