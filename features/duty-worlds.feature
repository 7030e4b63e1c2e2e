Feature: duties on control machines that fail
  Five machines with the real cores, of which two may be lost at once; the machine that acted last is struck (docs/design.md §14).

  Scenario Outline: <trouble>
    # Guards against windows that nobody reports, that are reported late, and against two machines that act.
    Given control machines that have reported usage for 30 s
    When <trouble>
    And 40 s go by at the platform
    Then no rule of duties was broken, and every window was reported within <within> s
    And <holders> machines have reported

    Examples:
      | trouble                                                               | within | holders |
      | nothing happens                                                       | 10     | 1       |
      | the machine that acted last loses power for 3.5 s                     | 10     | 1       |
      | the machine that acted last is killed for good                        | 10     | 2       |
      | the head loses power for 3.5 s                                        | 10     | 1       |
      | the machine that acted last and the head are killed for good          | 10     | 2       |
      | the machine that acted last is frozen for 8 s                         | 10     | 2       |
      | the machine that acted last is frozen for 8 s as it has won           | 10     | 2       |
      | the machine that acted last is cut off from control for 12 s          | 10     | 2       |
      | the machine that acted last is cut off from the platform for 20 s     | 10     | 2       |
      | the wall clock of the machine that acted last steps by an hour        | 10     | 1       |
      | all machines lose power for 2 s                                       | 10     | 1       |
      | the platform is down for 8 s                                          | 10     | 2       |
      | the platform is busy for 8 s                                          | 10     | 1       |

  # Guards against time that the product itself adds to a report: the platform asks for 10 s, and a slow connection may take 1.5 s of them.
  Scenario: nothing happens, and no connection is slow
    Given control machines that connect to the platform at once, and have reported usage for 30 s
    When nothing happens
    And 40 s go by at the platform
    Then no rule of duties was broken, and every window was reported within 4 s
    And 1 machines have reported

  # Guards against a report that waits for a slow answer to the one before, and against holders that change faster than a lease.
  Scenario: the platform is slow for 20 s
    Given control machines that have reported usage for 30 s
    When the platform is slow for 20 s
    And 40 s go by at the platform
    Then no rule of duties was broken, and every window was reported within 10 s
    And each of them reported 2100 ms or more after the one before

  # Guards against holders that change faster than a lease while the platform answers nobody: one more each lease of 3 s.
  Scenario: the platform is silent for 8 s
    Given control machines that have reported usage for 30 s
    When the platform is silent for 8 s
    And 40 s go by at the platform
    Then no rule of duties was broken, and every window was reported within 10 s
    And at most 3 machines have reported
    And each of them reported 2100 ms or more after the one before
