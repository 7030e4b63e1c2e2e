@sockets
Feature: a machine whose disk refuses writes or does not respond leaves its chains, but its process keeps running
  The machine leaves its chains as in a planned stop, refuses requests that need a write, and rejoins as a learner (docs/design.md §3.4,
  §10.2). With one disk, service is back while the fault lasts; with all disks, the time counts from the end of the fault.

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
