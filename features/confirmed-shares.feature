Feature: a change of seasons is confirmed with the shares that follow from it
  A change is in force only once the owners of queues judge lots by it (docs/design.md §7.1, §8.4). Whoever hears that it is
  confirmed may hand in a lot in the same moment.

  Scenario Outline: a lot handed in right after the word, while the queue's owner <owner>
    Given deployments of 3 control, 3 storage and 2 access machines with lots of one model, 1 to <seeds>
    When a season that may hold 60 items is entered in each, while the queue's owner <owner>
    And in the moment of the word a lot of 70 items of that season is handed in
    Then none is accepted
    When a lot of 20 items of that season is handed in
    Then each is accepted

    Examples:
      | owner                                      | seeds |
      | works as usual                             | 12    |
      | hears and is heard 0.1 s late              | 6     |
      | was killed 0.4 s before                    | 4     |
      | was cut off from all others 0.4 s before   | 4     |
