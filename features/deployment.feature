Feature: control on a deployment with bounds of its own
  Policy is worked out from what a deployment tells; control keeps its word within it (docs/design.md §13.3, §13.8).

  Scenario: bounds that cannot hold are refused, each with its reason
    Then the bounds of a small site give runners 4800 ms and 3 copies
    And the bounds of a site with 2 losses ask for 5 control machines and 4 copies
    And these bounds are refused, naming them:
      | bound             | value |
      | acknowledgeWithin | 1500  |
      | contactWithin     | 1000  |
      | cancelWithin      | 100   |
      | stopWithin        | 500   |
      | syncWithin        | 100   |
      | recoverWithin     | 2000  |
      | memory            | 20    |
      | descriptors       | 20    |
      | reportsEvery      | 0     |
    And settings with bounds that cannot hold are refused, naming the bound
    And settings may name one seed, or five, but none twice

  Scenario: an operator's own marks go up in steps of any size, and an order said again was taken
    Given a control machine's records
    When the order "a" with mark 7 is entered, built on 0
    Then it is IN_FORCE with mark 7
    When the order "a" with mark 7 is entered, built on 0
    Then it is IN_FORCE with mark 7
    When the order "b" with mark 9 is entered, built on 0
    Then it is CONFLICT with mark 7
    When the order "b" with mark 7 is entered, built on 7
    Then it is REFUSED
    When the order "b" with mark 12 is entered, built on 7
    Then it is IN_FORCE with mark 12
    When the order "a" with mark 7 is entered, built on 0
    Then it is IN_FORCE with mark 7
    When an order that is invalid with mark 13 is entered, built on 12
    Then it is REFUSED
    And what is read is the text "b" with mark 12
    When the records are those of an earlier release without pools
    Then what is read has no pools, and a change is taken

  Scenario: a change is in force everywhere within a third of a second, and within two while a node is frozen
    Given a deployment with 3 control, 3 storage and 3 access machines, standing up to 1 loss
    Then the next change is told as confirmed within 300 ms, and every access node has it
    When access-2 is frozen
    Then the next change is told as confirmed within 2000 ms, and every access node that runs has it
    When access-2 wakes
    And 3 s go by
    Then every access node has the newest mark

  Scenario: a runner told at one control machine is known everywhere at once, late words change nothing, and a goodbye binds
    Given a deployment with 3 control, 3 storage and 3 access machines, standing up to 1 loss
    When the runner "r-1" reports to control-2 as number 5 from "r-1:8080"
    And 0.05 s go by
    Then every access node knows "r-1" at "r-1:8080"
    When the runner "r-1" reports to control-3 as number 4 from "elsewhere:1"
    And 0.6 s go by
    Then every access node knows "r-1" at "r-1:8080"
    When 5 s go by
    Then no access node knows "r-1"
    When the runner "r-2" reports for good
    And 1 s go by
    And the runner "r-2" says goodbye to control-1 within 300 ms
    Then no access node knows "r-2"
    And every control machine tells the runner "r-2" that it said goodbye
    When 5 s go by
    Then no access node knows "r-2"

  Scenario: a control machine that has just started and hears none of the others makes no node forget a runner
    Given a deployment with 3 control, 3 storage and 3 access machines, standing up to 1 loss
    When the runner "r-1" reports for good
    And 3 s go by
    And each control machine in turn is restarted, cut off from the others, while every access node knows "r-1" at each moment

  Scenario: a storage machine is emptied by its name, and the others' disks may go right after
    Given a deployment with 3 control, 3 storage and 2 access machines, standing up to 1 loss
    And a configuration with 12 models
    When storage-9 is added
    And 3 s go by
    Then emptying "nobody" is refused as UNKNOWN_MACHINE
    When emptying "storage-2" is asked for
    And emptying "storage-2" is asked for
    Then "storage-2" is emptied within 8 s
    And no queue is at "storage-2", and each has 3 copies
    When storage-2 is gone for good
    And storage-1 loses power and its disk
    And storage-1 starts
    And 8 s go by
    Then each queue has 3 copies at machines that live

  Scenario: of three storage machines one can be emptied, of two none
    Given a deployment with 3 control, 3 storage and 2 access machines, standing up to 1 loss
    And a configuration with 4 models
    When emptying "storage-1" is asked for
    Then "storage-1" is emptied within 8 s
    And no queue is at "storage-1", and each has 2 copies
    And emptying "storage-2" is refused as TOO_FEW

  Scenario: five core machines lose two with their disks
    Given a deployment with 5 control, 5 storage and 3 access machines, standing up to 2 losses
    Then the control group has 5 members within 10 s
    And the next change is told as confirmed within 500 ms, and every access node has it
    When control-1 loses power and its disk
    And control-3 loses power and its disk
    Then the next change is told as confirmed within 6000 ms, and every access node has it
    When control-1 starts
    And control-3 starts
    Then the control group has 5 members within 8 s
    And the configuration read has the newest mark

  Scenario: one of the seeds is enough, and a blank machine that comes later founds nothing
    Given a deployment with 3 control, 3 storage and 2 access machines, standing up to 1 loss
    And a configuration with 2 models
    When access-7 is added, told of "gone-1, gone-2, control-3"
    And 2 s go by
    Then every access node has the newest mark
    When all control machines lose power and their disks
    And all control machines start
    And 20 s go by
    Then there is no control group

  Scenario: a core machine is replaced by an empty one at another address
    Given a deployment with 3 control, 3 storage and 2 access machines, standing up to 1 loss
    And a configuration with 2 models
    When control-8 is added
    And 3 s go by
    And control-1 is gone for good
    Then the control group has 3 members within 6 s
    And the next change is told as confirmed within 3000 ms, and every access node has it
    When control-2 is gone for good
    And 2 s go by
    And control-9 is added
    Then the control group has 3 members within 6 s
    And the next change is told as confirmed within 3000 ms, and every access node has it

  Scenario Outline: everything <ends> at once and is back
    Given a deployment with 3 control, 3 storage and 3 access machines, standing up to 1 loss
    And a configuration with 6 models
    When the runner "r-1" reports for good
    And 2 s go by
    And all machines <ends>
    And all machines start
    Then every access node serves within 3 s
    And every queue is owned within 6 s
    And the next change is told as confirmed within 4000 ms, and every access node has it

    Examples:
      | ends       |
      | lose power |
      | are killed |

  Scenario Outline: the head of the control group <ends>
    Given a deployment with 3 control, 3 storage and 3 access machines, standing up to 1 loss
    And a configuration with 2 models
    When the head <ends>
    And <s> s go by
    Then the next change is told as confirmed within 2000 ms, and every access node has it
    When the head is as before
    And 6 s go by
    Then the control group has 3 members within 1 s
    And the next change is told as confirmed within 300 ms, and every access node has it

    Examples:
      | ends                              | s |
      | is frozen                         | 3 |
      | is cut off from the others        | 3 |
      | is heard by the others no more    | 3 |
      | hears the others no more          | 3 |
      | is killed                         | 2 |
      | cannot reach one of the others    | 3 |

  Scenario: the registry comes from a control machine of the node's own zone
    Given control machines "c1 in here, c2 in there, c3 in yonder" that know each other's zones
    Then c1 alone sends the registry to a node in here
    And c2 alone sends the registry to a node in there
    And c3 alone sends the registry to a node in yonder
    And one of them sends the registry to a node in nowhere
    And all of them send it to a node in there that has received none for two heartbeats

  Scenario: a control machine contacts silent nodes
    Given a control machine that receives heartbeats of a node at access-1
    Then it contacts access-1 while the node is silent, until its retention ends
    And it contacts access-1 as long as control records name it, and not while it sends heartbeats

  Scenario Outline: nodes that <alone> find the group though their settings name only control machines that are gone
    Given a deployment of three machines of each kind whose nodes <alone>
    When each control machine that the settings name is replaced by an empty one at another address
    And storage-1 comes back with what it kept, 5 s after it lost power
    Then storage-1 holds a lease and has the newest configuration within 4 s
    And each queue is complete again with 3 copies
    When storage-2 comes back without its disk, 5 s after it lost power
    Then storage-2 holds a lease and has the newest configuration within 4 s
    And each queue is complete again with 3 copies
    When access-1 comes back with what it kept, 5 s after it lost power
    Then access-1 holds a lease and has the newest configuration within 4 s

    Examples:
      | alone              |
      | go on alone        |
      | promise each other |

  Scenario: a message from control that answers no heartbeat does not count as contact
    Given a deployment of three machines of each kind whose nodes promise each other
    When messages from nodes to control machines are lost, and messages from control machines arrive
    Then after 6 s every access node has lost contact with control and continues by the permit of its peers' promises
