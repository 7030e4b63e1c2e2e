Feature: what a fleet at rest costs
  Each wake-up of each process is paid for on every machine, so what nothing needs at rest is left out (docs/design.md §4.2,
  §10.5, §13.8.7).

  Scenario Outline: heartbeats come more seldom in large fleets, and three of them still fit into a lease
    Then a node of a fleet of <nodes> nodes sends a heartbeat each <ms> ms

    Examples:
      | nodes | ms  |
      | 0     | 300 |
      | 15    | 300 |
      | 40    | 300 |
      | 50    | 375 |
      | 60    | 450 |
      | 860   | 450 |

  Scenario: heartbeats between control machines carry the registry as often as the fleet's size allows
    Then in a fleet of 15 nodes each of 10 heartbeats carries the registry
    And in a fleet of 78 nodes 5 of 10 heartbeats carry the registry
    And in a fleet of 860 nodes 4 of 10 heartbeats carry the registry

  Scenario: a member reports progress of its lease holders to its head at once, and repeats unchanged reports rarely
    Given a member of the control group that has reported log index 5 in view 1 to its head
    Then it reports log index 5 in view 1 again after 100 ms, not sooner
    And it reports log index 6 in view 1 at once
    And it reports log index 5 in view 2 at once
    And it never reports log index 0

  Scenario: an idle process gets fewer beats, and the usual ones as soon as something has begun
    Given a beat of a process that is idle
    Then 10 beats come in 1.04 s
    When something begins in it 10 ms after a beat
    Then the next beat comes 50 ms after that
    And 20 beats come in 1 s

  # Guards against days given up for their processor time (issue 33, SHORT): each empty draw went through all replicas.
  Scenario: draws of idle access nodes cost the replicas of an empty queue nothing
    Given 3 control, 4 storage and 3 access machines with a runner and an empty queue of a passage
    When all of them rest for 4 s
    Then the queue's owner got 15 draws at least, and no replica asked another for anything
