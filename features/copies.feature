Feature: acknowledged changes survive the loss of as many disks as the deployment allows for
  An entry is committed only if it is durable on one replica more than may be lost at once (docs/design.md §13.3).

  Scenario Outline: a chain of <copies> replicas where <losses> may be lost at once
    When a change is submitted to a chain of <copies> replicas where <losses> machines may be lost at once
    Then the change is <outcome>

    Examples:
      | losses | copies | outcome            |
      | 1      | 1      | not accepted       |
      | 1      | 2      | committed on all 2 |
      | 1      | 3      | committed on all 3 |
      | 2      | 2      | not accepted       |
      | 2      | 3      | committed on all 3 |
      | 2      | 4      | committed on all 4 |

  Scenario Outline: a snapshot is sent over a link that drops messages above its capacity, to a machine <kind>
    Given two copies of a chain with 20,000 records, and a blank machine <kind>
    When the link to it carries 2 pieces of the snapshot each tick, buffers 6 more and drops the others
    Then the copy is complete within 10 s

    Examples:
      | kind                                |
      | that acknowledges the pieces        |
      | that receives pieces one tick later |

  Scenario: an older heartbeat of a node that arrives after a newer one is ignored
    Given a control machine received feed index 8 from a node, sent at 1,000 ms of its clock
    When the node's heartbeat with feed index 7, sent at 999 ms, arrives after it
    Then the control machine counts the node at feed index 8
    When a heartbeat with feed index 0, sent at 50 ms of a new incarnation, arrives
    Then the control machine counts the node at feed index 0
