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
