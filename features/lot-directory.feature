Feature: a lot is accepted once, whatever becomes of its route
  The lot directory alone decides in which queue an id is kept (docs/design.md §13.11).

  Scenario: the first assignment of an id is final, whatever is proposed later
    Given a lot directory
    When the lot "a" of the group "slips m" is assigned, and "pass/m" is proposed
    And the lot "a" of the group "slips m" is assigned, and "pass/" is proposed
    And the directory starts again from its records
    And the lot "a" of the group "other n" is assigned, and "pass/n" is proposed
    Then the assignments are "pass/m", "pass/m" again, "pass/m" again

  # Guards against two queues that each count the whole allowance of a passage.
  Scenario: new lots of a group stay in its queue, and a lot found elsewhere does not move its group
    Given a lot directory
    When the lot "a" of the group "slips m" is assigned, and "pass/m" is proposed
    And the lot "b" of the group "slips m" is found in "pass/old"
    And the directory starts again from its records
    And the lot "c" of the group "slips m" is assigned, and "pass/" is proposed
    Then the assignments are "pass/m", "pass/old", "pass/m"

  Scenario: without a placed queue only known lots and groups are assigned
    Given a lot directory
    When the lot "a" of the group "slips m" is assigned, and nothing is proposed
    And the lot "a" of the group "slips m" is assigned, and "pass/m" is proposed
    And the lot "b" of the group "slips m" is assigned, and nothing is proposed
    Then the assignments are none, "pass/m", "pass/m"

  # Guards against an id that the directory forgets while its queue still knows the lot.
  Scenario: an id is known for longer than its queue keeps the lot, counted from its last submission
    Given a lot directory
    When the lot "a" of the group "slips m" is assigned, and "pass/m" is proposed
    And 24 hours pass in the directory
    And the lot "a" of the group "slips m" is assigned, and "pass/" is proposed
    And 24 hours pass in the directory
    And the lot "a" of the group "slips m" is assigned, and "pass/" is proposed
    Then the assignments are "pass/m", "pass/m" again, "pass/m" again
    And each assignment holds until a queue has forgotten the lot
    When 30 hours pass in the directory
    Then the directory holds no record

  # Guards against lots of the release before that the directory does not know.
  Scenario: a queue says that the directory knows its lots once those of an earlier release are forgotten
    Given a passage's queue with 10 tokens per 1 s, bursts of 10, and 1000 tokens that may wait
    Then the queue says that the directory knows all its lots
    When the lot "b" with 1 items of 10 tokens, assigned by the directory, is handed in
    Then the queue says that the directory knows all its lots
    When the lot "a" with 1 items of 10 tokens is handed in
    And the machine starts again from its records
    Then the queue does not say that the directory knows all its lots
    When the lot "a" is ended
    And 901000 ms pass on the ledger
    Then the queue does not say that the directory knows all its lots, and says that it accepted "a"
    When 86400000 ms pass on the ledger
    Then the queue says that the directory knows all its lots

  Scenario: an owner accepts no lot that the directory was not asked for, or would forget too early
    Given a fleet with lots on a passage
    When a lot is handed in at the owner of its queue as the release before does
    Then it is refused because "the lot directory was not asked for the lot"
    When a lot is handed in at the owner of its queue, known for 1 hour
    Then it is refused because "the lot directory would forget the lot before its queue does"

  # Guards against lots of an earlier release in queues that a restarted node has not heard of yet.
  Scenario: a node that has not heard of the lot directory assigns no lot, whichever queues it knows
    Given a node that knows the queue "pass/m" but not the lot directory
    When a lot is assigned there
    Then it is refused because "the lot directory is not placed yet"
    And the node sent nothing

  # Guards against review/2: the queue of a lot followed the configuration, so a moved route accepted the lot twice.
  Scenario Outline: a lot that is handed in again after <change> is not run again
    When a lot is handed in again at every node after <change>, with seeds <first> to <last>
    Then every node accepts it, no item runs again, and all nodes list the same results

    Examples:
      | change                                              | first | last |
      | its route moved to runners without a model          | 1     | 3    |
      | its route moved there and back                      | 4     | 6    |
      | its route was split                                 | 7     | 8    |
      | its route was renamed and moved                     | 9     | 11   |
      | its route was removed and added anew elsewhere      | 12    | 14   |
      | its route moved and all its items wait              | 15    | 17   |
      | its first acceptance was lost and its route moved   | 18    | 20   |
      | its client ended it and its route moved             | 21    | 23   |
      | the release before accepted it and its route moved  | 24    | 26   |

  # Guards against two nodes that decide by different versions of the configuration.
  Scenario: a new lot that is handed in at every node while a change spreads is accepted by one queue
    When new lots are handed in at every node while their route moves, with seeds 31 to 40
    Then no item runs twice, and all nodes list the same results

  Scenario Outline: lots whose route moves between runners with and without a model, under <faults>
    When lots are handed in again and again while their route moves, under <faults>, with seeds <first> to <last>
    Then every fault occurred, and no invariant is violated for callers and runners
    And most lots that are handed in again are accepted

    Examples:
      | faults                                     | first | last |
      | runners                                    | 101   | 104  |
      | kill-storage, freeze-storage, cut-storage  | 111   | 116  |
      | kill-access, freeze-access, cut-access     | 121   | 126  |
      | wipe-storage, loss                         | 131   | 135  |
      | power, kill-control                        | 141   | 146  |

  # Guards against the same fault on ways, whose queue follows the configuration.
  Scenario: a key that is handed in again after its way moved to another model is the same lot
    Given a deployment whose way leads to the model "reader"
    When a lot is handed in under the key "k"
    And the way is moved to the model "writer"
    And a lot is handed in under the key "k"
    Then both answers name the same lot
