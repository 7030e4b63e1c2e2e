Feature: Requests that began to run are counted for each tenant and window

  Rule: Every control machine comes to hold all counts (virtual time)

    Background:
      Given 4 access nodes and 5 control machines, with windows of 5 s

    # Guards against counts that are lost, or taken twice, on a network that is merely busy.
    Scenario: Each control machine holds what all nodes counted
      When requests of 7 tenants begin to run for 23 s
      Then each control machine holds all counts, none further than 0.005 from the truth

    # Guards against counts taken twice where a message comes twice, late or after a later one.
    Scenario: Messages that are doubled, late and out of order change nothing
      Given messages are doubled, and up to 2 s late
      When requests of 7 tenants begin to run for 23 s
      Then each control machine holds all counts, none further than 0.005 from the truth

    Scenario: Lost messages are told again
      Given half of the messages are lost
      When requests of 7 tenants begin to run for 23 s
      Then each control machine holds all counts, none further than 0.005 from the truth

    # Guards against reports that lack what a dead node counted.
    Scenario: A node that is killed takes under half a second of its counts with it
      When requests of 7 tenants begin to run for 12 s
      And node 2 is killed
      Then each control machine lacks only what began to run there within the last 0.5 s

    # Guards against a report by a control machine that has just started and holds nothing.
    Scenario: A control machine that restarts is told all again
      When requests of 7 tenants begin to run for 18 s
      And control machine 3 restarts
      And nothing begins for 2 s
      Then each control machine holds all counts, none further than 0.005 from the truth

    Scenario: A control machine that restarts is told by the others what dead nodes had counted
      When requests of 7 tenants begin to run for 12 s
      And nothing begins for 1 s
      And node 2 is killed
      And nothing begins for 3 s
      And control machine 3 restarts
      And nothing begins for 2 s
      Then each control machine holds all counts, none further than 0.005 from the truth

    # Guards against an acknowledgement of what an earlier life of a control machine had taken.
    Scenario: Acknowledgements of the life before count for nothing
      Given messages are doubled, and up to 2 s late
      When one request of each of 8600 tenants begins to run at node 1
      And nothing begins for 3 s
      And control machine 3 restarts
      And nothing begins for 10 s
      Then each control machine holds all counts, none further than 0.005 from the truth

    # Guards against requests that move to another window, or to two, with a step of a clock.
    Scenario Outline: Steps of clocks move no request to another window
      Given the clocks of 2 control machines and 2 access nodes are stepped by <step> s after 7 s, and back after 14 s
      When requests of 7 tenants begin to run for 23 s
      Then each control machine holds all counts, none further than 0.005 from the truth

      Examples:
        | step |
        | 2    |
        | -2   |
        | 40   |

    # Guards against the cost of telling what is known, and against messages that grow with the fleet.
    Scenario: Nodes at rest tell nothing
      When requests of 7 tenants begin to run for 6 s
      And nothing begins for 2 s
      And nothing begins for 30 s
      Then no counts were told in the last 30 s

    Scenario: Counts of many tenants are told in pieces
      When one request of each of 8600 tenants begins to run at node 1
      And nothing begins for 4 s
      Then each control machine holds all counts, none further than 0.005 from the truth
      And no message held more than 2000 counts

    Scenario: Old windows are forgotten
      When requests of 7 tenants begin to run for 6 s
      And nothing begins for 130 s
      Then no machine holds counts of any window

  Rule: The cores of a deployment carry counts and clocks

    # Guards against a core that leaves out a clock, a count or an acknowledgement, so that nothing is reported.
    Scenario: Counts of access nodes reach every control machine, by a time that a stepped clock does not move
      Given a deployment of 3 control machines and 2 access nodes, with windows of usage of 1 s
      When the clocks of one control machine and one access node are stepped by 30 s
      And 20 requests of "north" begin to run at each access node within 2 s
      Then each control machine holds 40 requests of "north"
      And each process is within 20 ms of true time
      And the access nodes have nothing more to tell
