Feature: what is promised outlives as many lost disks as the deployment tells
  Nothing is confirmed on fewer synced copies than one more than may be lost at once (docs/design.md §13.3).

  Scenario Outline: <copies> copies where <losses> may be lost at once
    When a chain of <copies> copies is asked for a change where <losses> machines may be lost at once
    Then the change is <told>

    Examples:
      | losses | copies | told               |
      | 1      | 1      | surely not taken   |
      | 1      | 2      | confirmed on all 2 |
      | 1      | 3      | confirmed on all 3 |
      | 2      | 2      | surely not taken   |
      | 2      | 3      | confirmed on all 3 |
      | 2      | 4      | confirmed on all 4 |

  Scenario Outline: a machine is copied to over a link that drops what it cannot carry, <kind>
    Given two copies of a chain with 20,000 records, and a blank machine <kind>
    When the link to it carries 2 pieces of the copy each beat, holds 6 more and drops the others
    Then the copy is <told> within 10 s

    Examples:
      | kind                                | told  |
      | that tells what it got              | whole |
      | that hears pieces one beat later    | whole |

  Scenario: an earlier word of a node that comes after a later one takes nothing back
    Given a control machine heard a node say place 8 at its 1,000 ms
    When the node's word of place 7 at its 999 ms comes after it
    Then the control machine counts the node at place 8
    When the node's word of place 0 at its 50 ms comes, in a new life
    Then the control machine counts the node at place 0
