Feature: service is back well within 12 s after losses of many machines at one moment
  On disks that take 5 to 12 ms to sync. The loss strikes right after a caller heard that a lot is accepted, or an operator that a
  change is in force; processes are back within 2 s of it, and service counts from the last one (docs/design.md §8.10).

  Scenario Outline: <fault>
    When the seeds 1 to 12 are played with the fault "<fault>"
    Then it struck at least 12 times in all
    And nothing broke
    And live work, lots and changes are back within <most> ms

    Examples:
      | fault                                                         | most |
      | all processes are killed at once                              | 3000 |
      | all machines lose power at once                               | 3000 |
      | a storage disk is lost and all other machines lose power      | 4000 |
      | a control disk is lost and all other machines lose power      | 3500 |
      | a storage machine loses its disk right after a promise        | 3000 |
      | a storage machine is replaced by an empty one elsewhere       | 3000 |
      | a storage machine is frozen for 3 s                           | 3000 |
      | a storage machine is cut off for 5 s                          | 3000 |
      | a storage machine is emptied and then another loses its disk  | 4000 |
      | the lone control machine loses its disk                       | 5000 |
      | the lone copy of a queue loses its disk                       | 3000 |
