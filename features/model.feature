Feature: a model checker drives the product's own state machines through every fault that is tolerated
  Agreement, chain, feed, sessions, leases and orders, as the control machines and nodes run them, with messages
  lost, repeated and overtaken, crashes that keep any part of what was not synced, lost disks, cuts, freezes,
  stalled disks and clocks that drift (docs/testing.md, section on the model). The verdict of each scenario is
  the same each time.

  Scenario Outline: three machines, every schedule of <depth> actions with <faults> faults, from the state <start>
    When every schedule of <depth> actions with <faults> faults is explored from the state "<start>"
    Then at least <states> states are reached
    And every invariant holds in each

    Examples:
      | start    | depth | faults | states |
      | formed   | 2     | 2      | 1800   |
      | deposed  | 2     | 1      | 1000   |
      | joining  | 2     | 1      | 1200   |
      | lone     | 2     | 1      | 700    |
      | retiring | 2     | 1      | 600    |

  Scenario Outline: <machines> machines, random schedules with replacement, from the state <start>
    When <runs> random schedules are played with <machines> machines from the state "<start>"
    Then every invariant holds in each

    Examples:
      | machines | start   | runs |
      | 4        | formed  | 40   |
      | 4        | joining | 40   |
      | 5        | formed  | 20   |
      | 5        | pair    | 20   |
      | 4        | retiring | 40   |
      | 5        | retiring | 20   |

  Scenario Outline: <invariant>: without "<guard>" the checker finds it violated
    When the product is explored without the guard "<guard>"
    Then "<invariant>" is violated within <states> states

    Examples:
      | invariant                                       | guard                                              | states |
      | one view for a number                           | a proposer takes over what was accepted            | 1000   |
      | one view for a number                           | a vote needs a majority                            | 1000   |
      | a view that serves holds what was confirmed     | confirmed when the tail has it                     | 1000   |
      | a view that serves holds what was confirmed     | nothing is acted upon before it is synced          | 4000   |
      | a read sees what was confirmed                  | a read probes the whole chain                      | 6000   |
      | one order for a version                         | an order names the version it builds on            | 1000   |
      | a confirmed order stays acknowledged            | an order taken before is known by its digest       | 1000   |
      | a refused order takes no effect                 | an order is recorded when it is entered            | 1000   |
      | nobody serves without a majority's word         | a lease is a majority's                            | 1000   |
      | a confirmed change is in force                  | a change is told when every lease has it           | 1000   |
      | a confirmed change is in force                  | a holder counts its lease shorter than its granter | 2000   |
      | a confirmed change is in force                  | leases count by where the node stands              | 1000   |
      | a leaving member is let go when others hold all | a joiner counts when its copy is whole             | 1000   |
      | a leaving member is let go when others can go on | those who stay have just promised                  | 1000   |
      | comes to rest                                   | what was taken is not sent again at once           | 1000   |
      | the group serves again                          | who was voted out still votes                      | 1000   |
      | the group serves again                          | who held all goes on when the lone copy is lost    | 1000   |
