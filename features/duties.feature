Feature: acts towards the platform are decided by rounds of the control group
  A machine may act once it has won a round for that single act; the record decides who acts, with which fence, and what is said (docs/design.md §14).

  Scenario: an act keeps what was decided first, whoever claims it
    # Guards against two usage reports for one window with other counts.
    When these claims of usage reports are made:
      | ms   | holder | number | says  | told                 |
      | 0    | one    | 7      | a: 1  | won 1, a: 1          |
      | 10   | one    | 7      | a: 2  | won 1, a: 1          |
      | 5000 | two    | 7      | a: 3  | won 2, a: 1          |
      | 9000 | one    | 7      | a: 4  | won 3, a: 1          |

  Scenario: another holder wins only after the lease, with a higher fence; the holder's own claims renew it
    # Guards against the holders A, B, A within a lease, and against one fence sent by two holders.
    When these claims of usage reports are made:
      | ms   | holder | number | says | told         |
      | 0    | one    | 7      | a: 1 | won 1, a: 1  |
      | 2999 | two    | 7      | a: 1 | held by one for 1 |
      | 2999 | one    | 8      | a: 5 | won 1, a: 5  |
      | 3000 | two    | 7      | a: 1 | held by one for 2999 |
      | 5999 | two    | 9      | b: 2 | won 2, b: 2  |
      | 6000 | one    | 7      | a: 1 | held by two for 2999 |
      | 8999 | one    | 7      | a: 9 | won 3, a: 1  |

  Scenario: an act that the platform has taken is never decided again
    # Guards against a late second report of a window with other counts.
    When these claims of usage reports are made:
      | ms    | holder | number | says | told        |
      | 0     | one    | 7      | a: 1 | won 1, a: 1 |
      | 1     | one    | 8      | a: 2 | won 1, a: 2 |
    And the platform took the reports 7
    And these claims of usage reports are made:
      | ms    | holder | number | says | told        |
      | 2     | one    | 7      | a: 3 | finished    |
      | 9000  | two    | 7      | a: 4 | finished    |
      | 9000  | two    | 8      | a: 4 | won 2, a: 2 |
    And the platform took the reports 8
    And these claims of usage reports are made:
      | ms    | holder | number | says | told        |
      | 20000 | one    | 8      | a: 9 | finished    |
    Then the finished numbers are "7-8" and none is open

  Scenario: a newer order of scaling makes older ones void
    When these claims of scaling orders are made:
      | ms   | holder | number | says | told         |
      | 0    | one    | 1      | 4    | won 1, 4     |
      | 1    | one    | 3      | 6    | won 1, 6     |
      | 2    | one    | 1      | 4    | finished     |
      | 3    | one    | 2      | 5    | finished     |
      | 5000 | two    | 3      | 9    | won 2, 6     |

  Scenario: the fence rises above one that the platform has seen, and for the winner alone
    When these claims of usage reports are made:
      | ms   | holder | number | says | fence at least | told             |
      | 0    | one    | 7      | a: 1 |                | won 1, a: 1      |
      | 1    | one    | 7      | a: 1 | 8              | won 8, a: 1      |
      | 2    | two    | 7      | a: 1 | 90             | held by one for 2999 |
      | 3    | one    | 7      | a: 1 | 2              | won 8, a: 1      |
      | 3003 | two    | 7      | a: 1 |                | won 9, a: 1      |

  Scenario: reports pile up while the platform is away, and only the oldest beyond 512 are given up
    When 520 usage reports are claimed and the platform takes none
    Then 512 of them are open, and the 8 oldest are never decided again

  Scenario: what is done is remembered in few ranges
    When 2000 of 4000 usage reports are taken, every second one
    Then the record has at most 512 ranges, and none of what was taken is decided again

  Scenario: neither duties nor what they say go to nodes
    When these claims of usage reports are made:
      | ms   | holder | number | says | told        |
      | 0    | one    | 7      | a: 1 | won 1, a: 1 |
    Then nothing of the records is published

  Scenario: operators are told who acted last, with which fence, and what is overdue
    When these claims of usage reports are made:
      | ms | holder | number | says | told        |
      | 0  | one    | 7      | a: 1 | won 1, a: 1 |
      | 1  | one    | 8      | a: 2 | won 1, a: 2 |
    And the platform took the reports 7
    Then with reports 7, 8, 9, 10 due, operators are told at 9000 ms: {"holder":"one","fence":1,"last":{"number":7,"holder":"one","at":0},"open":[8],"overdue":[8,9]}
