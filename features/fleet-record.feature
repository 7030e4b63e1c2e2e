@sockets
Feature: nodes that are gone hold up no change
  Where nodes need leases, a change is told when a majority of the fleet has taken it, and while the fleet itself changes, of the old and of
  the new (docs/design.md §7.4). What the fleet was before counts no longer than that.

  Scenario Outline: all of <nodes> access nodes are replaced elsewhere, <rounds> times, one every <seconds> s, after they <end>
    Given a deployment of 3 control machines, 2 storage machines and <nodes> access nodes that need leases
    When each access node in turn is replaced elsewhere, <rounds> times, one every <seconds> s, after they <end>
    Then each change that was entered meanwhile and a last one were told within 4 s

    Examples:
      | nodes | rounds | seconds | end             |
      | 3     | 3      | 3       | stop as planned |
      | 3     | 3      | 5       | are lost        |
      | 7     | 2      | 2       | stop as planned |
      | 7     | 2      | 5       | are lost        |
      | 61    | 1      | 2       | stop as planned |

  Scenario Outline: of <nodes> access nodes <many> stop as planned for good
    Given a deployment of 3 control machines, 2 storage machines and <nodes> access nodes that need leases
    When <many> access nodes stop as planned for good
    Then each change that was entered meanwhile and a last one were told within 4 s

    Examples:
      | nodes | many |
      | 3     | 2    |
      | 12    | 9    |
      | 61    | 40   |

  Scenario Outline: of <nodes> access nodes <many> are replaced at once, and of those that are there <less> are lost later
    Given a deployment of 3 control machines, 2 storage machines and <nodes> access nodes that need leases
    When <many> access nodes are lost and replaced elsewhere, and 40 s later <less> of those that are there are lost
    Then each change that was entered meanwhile and a last one were told within 4 s

    Examples:
      | nodes | many | less |
      | 5     | 3    | 3    |
      | 12    | 6    | 6    |
      | 61    | 30   | 28   |
