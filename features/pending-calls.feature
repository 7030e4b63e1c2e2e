Feature: calls of an access node to owners of queues
  A call is sent again while that can do no harm (docs/design.md §5.2).

  Scenario Outline: <command>, whose queue has a new owner
    Given a call "<command>" that may be held for 10 s, sent to the owner "old"
    When the queue's owner is "new" 0.3 s later
    Then within 0.2 s it is sent to "<receivers>", and to nobody else in 3 s

    Examples:
      | command | receivers |
      | results | new       |
      | end     | new       |
      | draw    |           |

  Scenario: a request to the head of the control group follows the head
    Given a request to the head "first"
    When the head is "second" 0.3 s later
    Then within 0.2 s the request is sent to "second"
    When "second" answers that it does not run it
    Then within 0.1 s the request is sent to ""
    And within 0.1 s the request is sent to "second"
