Feature: orders are taken once, and only by machines in contact with a majority
  A control machine acknowledges only what it can bring to all; an order has one outcome, however often and wherever it is sent (docs/control-safety.md).

  Scenario Outline: a control machine is <cut> for 20 s, with clocks at <rates> of the usual rate
    Given control machines and nodes whose clocks run at <rates> of the usual rate
    And the operator's order 1 is taken
    When <machine> is <cut>
    And 1.3 s go by at all machines
    Then for 20 s, in which the others take orders, it acknowledges nothing and refuses nothing
    When the cut is over
    Then within 1.5 s it acknowledges reports, tells the newest configuration and acknowledges order 1 again

    Examples:
      | machine  | cut                                  | rates          |
      | the head | cut off                              | 1, 1, 1        |
      | the head | cut off                              | 0.99, 1, 1     |
      | the head | cut off                              | 1, 0.99, 0.995 |
      | the head | heard by nobody                      | 1, 1, 1        |
      | the head | deaf to all                          | 1, 1, 1        |
      | another  | cut off                              | 1, 1, 1        |
      | another  | heard by nobody                      | 0.995, 0.99, 1 |
      | another  | deaf to all                          | 1, 1, 1        |
      | the head | cut off and restarted                | 1, 1, 1        |
      | another  | cut off and restarted                | 1, 1, 1        |
      | the head | cut off while the wall clock steps   | 1, 1, 1        |
      | the head | cut off from the core alone | 1, 1, 1        |

  Scenario Outline: a control machine wakes after a freeze of 20 s, <which>
    Given control machines and nodes whose clocks run at 1, 1, 1 of the usual rate
    And the operator's order 1 is taken
    When <which> is frozen for 20 s, in which the others take orders, and is asked as it wakes
    Then it acknowledged nothing and refused nothing, and serves again within 1.5 s

    Examples:
      | which    |
      | the head |
      | another  |

  Scenario Outline: runners are not forgotten while nobody acknowledges, <cut>
    Given control machines and nodes whose clocks run at 1, 1, 1 of the usual rate
    And the operator's order 1 is taken
    When control machines hear nobody of the group, while <cut>
    And runners report as usual for 12 s, each to any control machine
    Then no report was acknowledged after the first 1.1 s
    And every access node that is reached knows every runner, also a new one
    When the cut is over
    And 2 s go by at all machines
    Then a report is acknowledged again

    Examples:
      | cut                                  |
      | they still reach all access machines |
      | the nodes reach none of them         |

  Scenario: an access node that just woke acknowledges no announcement that it does not take in
    Given nodes that need a lease, with clocks at 1, and control machines with clocks at 1
    When an access node wakes after 0.6 s and a runner announces itself at once
    Then the announcement is answered 503, and 200 a second later

  Scenario: a control machine beyond those that the group needs acknowledges what it can bring to all
    Given a deployment with 4 control, 3 storage and 2 access machines, standing up to 1 loss
    And 3 s go by at all machines
    Then every control machine acknowledges reports, orders and reads
    When each control machine in turn is cut off for 3 s
    Then only the one that is cut off acknowledges nothing

  Scenario: a head that just started refuses no emptying for want of machines that it has not heard yet
    Given control machines and nodes whose clocks run at 1, 1, 1 of the usual rate
    And the operator's order 1 is taken
    When all control machines are killed and started, 20 times, and an emptying is asked for every 20 ms
    Then every clear answer was an acknowledgement, and there were some

  Scenario Outline: eight orders are under way and most answers are lost, while <trouble>
    Given control machines and nodes whose clocks run at 1, 0.99, 1 of the usual rate
    When eight operators race for 60 s with 0.7 of the answers lost, while <trouble>
    Then no order was refused as invalid, and each version was taken once
    And each order has one outcome, however often and wherever it was sent
    And each order builds on the one before, and no read told an older version than was acknowledged

    Examples:
      | trouble                                   |
      | all is calm                               |
      | one control machine after another is cut  |
      | one control machine after another is kill |
      | heads are frozen past every time-out      |

  Scenario: an order is known by its key for as long as it may be sent again
    Given a control machine's records
    When the order with key "first" is taken
    And 300 other orders are taken within 40 s
    Then the order with key "first" is acknowledged again
    When 300 other orders are taken within 80 s
    Then the record of orders holds at most 500
    And the last 64 of them are acknowledged again

  Scenario: what the release before kept of its orders is still read
    Given a control machine's records
    When the records are those of an earlier release that took the orders "a:5, b:9"
    Then the orders "a:5, b:9" are acknowledged again
    When 1 other orders are taken within 1 s
    Then the orders "a:5, b:9" are acknowledged again

  @sockets
  Scenario: the adapter tells each order what became of it
    Given the platform's interface on a control machine's records
    Then orders are answered:
      | verb    | base | revision | text  | answer |
      | replace | 0    | 5        | one   | 200    |
      | replace | 5    | 9        | two   | 200    |
      | replace | 5    | 9        | three | 412    |
      | replace | 5    | 9        | two   | 200    |
      | replace | 0    | 5        | one   | 200    |
      | replace | 9    | 9        | four  | 400    |
      | replace | 9    | 8        | five  | 400    |
      | replace | 9    | 12       | cut   | 400    |
      | replace | x    | 12       | six   | 400    |
      | modify  | 9    | 14       | seven | 200    |
      | modify  | 9    | 14       | eight | 412    |
      | modify  | 9    | 14       | seven | 200    |
      | replace | 14   | 20       | nine  | 200    |
      | modify  | 9    | 14       | seven | 200    |
      | modify  | 20   | 20       | ten   | 400    |
    And the document read has revision 20
    When the machine reaches no majority
    Then orders, reads, reports and retirements are answered 503 at once, with when to come back

  @sockets
  Scenario: an order to empty a machine that is sent again is acknowledged again
    Given the platform's interface on a control machine's records
    And storage machines "s-1, s-2, s-3, s-4" of which 2 must be left
    Then retirements are answered:
      | machine | verb  | answer |
      | s-1     | read  | 404    |
      | s-1     | begin | 200    |
      | s-1     | begin | 200    |
      | s-1     | read  | 200    |
      | nobody  | begin | 404    |
      | nobody  | read  | 404    |
      | s-2     | begin | 200    |
      | s-3     | begin | 409    |
      | s-2     | begin | 200    |
    And emptying "s-1" began once

  Scenario Outline: no lease outlives the telling of a change, with the holder's clock at <holder> and the granters' at <granter>
    Given nodes that need a lease, with clocks at <holder>, and control machines with clocks at <granter>
    When an access node is cut off at 40 different moments, and a change is entered each time
    Then it never held a lease on an old version after the change was told

    Examples:
      | holder | granter |
      | 1      | 1       |
      | 0.99   | 1       |
      | 1      | 1.01    |
      | 1.01   | 1       |
