Feature: Started requests are counted for each tenant and window

  Rule: Every control machine eventually has all counts (virtual time)

    Background:
      Given 4 access nodes and 5 control machines, with windows of 5 s

    # Guards against counts that are lost or added twice on a network without faults.
    Scenario: Each control machine has the counts of all nodes
      When requests of 7 tenants start for 23 s
      Then each control machine has all counts, none further than 0.005 from the truth

    # Guards against counts that are added twice when a message is duplicated, delayed or reordered.
    Scenario: Duplicated, delayed and reordered messages change nothing
      Given messages are duplicated, and up to 2 s late
      When requests of 7 tenants start for 23 s
      Then each control machine has all counts, none further than 0.005 from the truth

    Scenario: Lost messages are sent again
      Given half of the messages are lost
      When requests of 7 tenants start for 23 s
      Then each control machine has all counts, none further than 0.005 from the truth

    # Guards against reports that lack the counts of a dead node.
    Scenario: A killed node loses less than half a second of its counts
      When requests of 7 tenants start for 12 s
      And node 2 is killed
      Then each control machine lacks only what started there within the last 0.5 s

    # Guards against a report by a control machine that has just started and has no counts yet.
    Scenario: A control machine that restarts receives all counts again
      When requests of 7 tenants start for 18 s
      And control machine 3 restarts
      And no request starts for 2 s
      Then each control machine has all counts, none further than 0.005 from the truth

    Scenario: A control machine that restarts receives the counts of dead nodes from its peers
      When requests of 7 tenants start for 12 s
      And no request starts for 1 s
      And node 2 is killed
      And no request starts for 3 s
      And control machine 3 restarts
      And no request starts for 2 s
      Then each control machine has all counts, none further than 0.005 from the truth

    # Guards against accepting an acknowledgement by an earlier incarnation of a control machine.
    Scenario: Acknowledgements of the previous incarnation are ignored
      Given messages are duplicated, and up to 2 s late
      When one request of each of 8600 tenants starts at node 1
      And no request starts for 3 s
      And control machine 3 restarts
      And no request starts for 10 s
      Then each control machine has all counts, none further than 0.005 from the truth

    # Guards against counting a request in another window, or in two, after a clock step.
    Scenario Outline: Clock steps move no request to another window
      Given the clocks of 2 control machines and 2 access nodes are stepped by <step> s after 7 s, and back after 14 s
      When requests of 7 tenants start for 23 s
      Then each control machine has all counts, none further than 0.005 from the truth

      Examples:
        | step |
        | 2    |
        | -2   |
        | 40   |

    # Guards against repeated reports of known counts, and against messages that grow with the fleet.
    Scenario: Idle nodes send no counts
      When requests of 7 tenants start for 6 s
      And no request starts for 2 s
      And no request starts for 30 s
      Then no counts were sent in the last 30 s

    Scenario: Counts of many tenants are split into several messages
      When one request of each of 8600 tenants starts at node 1
      And no request starts for 4 s
      Then each control machine has all counts, none further than 0.005 from the truth
      And no message contained more than 2000 counts

    Scenario: Old windows are deleted
      When requests of 7 tenants start for 6 s
      And no request starts for 130 s
      Then no machine has counts of any window

  Rule: The cores of a deployment exchange counts and clocks

    # Guards against a core that drops a clock, a count or an acknowledgement, so that nothing is reported.
    Scenario: Counts of access nodes reach every control machine, by a time that a stepped clock does not move
      Given a deployment of 3 control machines and 2 access nodes, with usage windows of 1 s
      When the clocks of one control machine and one access node are stepped by 30 s
      And 20 requests of "north" start at each access node within 2 s
      Then each control machine has counted 40 requests of "north"
      And each process is within 20 ms of true time
      And the access nodes send no more counts
