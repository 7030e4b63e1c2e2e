@sockets
Feature: a disk that takes no writes or does not answer costs its machine its place, not its process
  The machine leaves its chains as one that stops does, refuses what it would have to write, and comes back by being copied to
  (docs/design.md §3.4, §10.2). Of one disk, service is back while the trouble lasts; of all, it counts from the end of the trouble.

  Scenario Outline: <fault>
    When the seeds 1 to 12 are played with the fault "<fault>"
    Then it struck at least 12 times in all
    And nothing broke
    And live work, lots and changes are back within <most> ms

    Examples:
      | fault                                         | most |
      | a storage disk is full for 8 s                | 2500 |
      | a storage disk does not answer for 8 s        | 3000 |
      | a control disk is full for 8 s                | 4000 |
      | a control disk does not answer for 8 s        | 4000 |
      | all disks are full for 4 s                    | 3500 |
      | all disks do not answer for 4 s               | 2000 |
      | two disks are full as all machines lose power | 4000 |
