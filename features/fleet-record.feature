@sockets
Feature: nodes that are gone do not block changes
  If nodes need leases, a change is acknowledged once a majority of the fleet has accepted it. While the fleet itself changes, a majority of
  both the previous and the new fleet must accept it (docs/design.md §7.4). After that the previous fleet no longer counts.

  Scenario Outline: all of <nodes> access nodes are replaced elsewhere, <rounds> times, one every <seconds> s, after they <end>
    Given a deployment of 3 control machines, 2 storage machines and <nodes> access nodes that need leases
    When each access node in turn is replaced elsewhere, <rounds> times, one every <seconds> s, after they <end>
    Then each change submitted meanwhile and a final one were acknowledged within 4 s

    Examples:
      | nodes | rounds | seconds | end             |
      | 3     | 3      | 3       | stop as planned |
      | 3     | 3      | 5       | are lost        |
      | 7     | 2      | 2       | stop as planned |
      | 7     | 2      | 5       | are lost        |
      | 61    | 1      | 2       | stop as planned |

  Scenario Outline: of <nodes> access nodes <count> stop as planned without replacement
    Given a deployment of 3 control machines, 2 storage machines and <nodes> access nodes that need leases
    When <count> access nodes stop as planned without replacement
    Then each change submitted meanwhile and a final one were acknowledged within 4 s

    Examples:
      | nodes | count |
      | 3     | 2     |
      | 12    | 9     |
      | 61    | 40    |

  Scenario Outline: of <nodes> access nodes <count> are replaced at once, and <later> of the remaining ones are lost later
    Given a deployment of 3 control machines, 2 storage machines and <nodes> access nodes that need leases
    When <count> access nodes are lost and replaced elsewhere, and 40 s later <later> of the remaining ones are lost
    Then each change submitted meanwhile and a final one were acknowledged within 4 s

    Examples:
      | nodes | count | later |
      | 5     | 3     | 3     |
      | 12    | 6     | 6     |
      | 61    | 30    | 28    |
