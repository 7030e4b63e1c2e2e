Feature: a second loss right after a change of members loses nothing
  Whoever is put in holds everything confirmed before (docs/design.md §1.6); whoever leaves is let go only when others hold all of it.

  Scenario: a joiner that counts as whole holds all that is confirmed, at every moment
    When 200 random schedules of entries, lost messages and restarts are played with a chain of 2 members and a joiner
    Then in each the joiner came to count as whole, and at every moment since then it held all that was confirmed on its disk
    And in each everything entered was confirmed in the end

  Scenario: a joiner whose disk stands still is named as what holds the chain up
    Given a chain of 2 members whose joiner counts as whole
    When the joiner's disk stands still while 5 changes are entered, for 3 s
    Then the tail names the joiner as stuck, and no change is confirmed
    When the next view leaves the joiner out
    Then all 5 changes are confirmed

  Scenario: a control machine that stops as planned waits for the copy that takes its place
    Given a group of 3 control machines, one of which lost its disk and is being copied to
    When one that holds a copy stops as planned
    Then it waits until the new one is put in and it is let go, within 4 s
    And as its disk goes with it, and the other old one is lost, nothing acknowledged is gone

  Scenario Outline: control machines that <how> come back <where>; <second> of <size> are <then> after the <step> of <first>
    Given control machines that <how> come back empty <where>, and those lost then are <then>
    And <first> of <size> are lost first, and then <second>
    When the second loss strikes 0, 0.1, 0.5, 1, 2 and 5 s after the step "<step>", in <plays> plays
    Then in each the group serves again within 12 s, and no acknowledged configuration is gone
    And at no moment could as many machines as may still be lost leave no majority

    Examples:
      | how             | where              | then                       | first | step         | second | size | plays |
      | lose their disks | at their addresses | gone for good              | 1     | all put in   | 1      | 3    | 12    |
      | lose their disks | elsewhere          | gone for good              | 1     | all put in   | 1      | 3    | 12    |
      | lose their disks | elsewhere          | back at once without disks | 1     | all put in   | 1      | 3    | 12    |
      | stop as planned  | elsewhere          | gone for good              | 1     | all put in   | 1      | 3    | 12    |
      | lose their disks | at their addresses | gone for good              | 2     | all put in   | 2      | 5    | 8     |
      | lose their disks | elsewhere          | back at once without disks | 2     | all put in   | 2      | 5    | 8     |
      | lose their disks | elsewhere          | gone for good              | 2     | first put in | 1      | 5    | 8     |
      | lose their disks | at their addresses | gone for good              | 1     | loss         | 1      | 5    | 8     |
      | lose their disks | elsewhere          | gone for good              | 1     | start        | 1      | 5    | 8     |
      | stop as planned  | elsewhere          | gone for good              | 1     | loss         | 1      | 5    | 8     |
      | stop as planned  | elsewhere          | gone for good              | 2     | all put in   | 2      | 5    | 8     |

  Scenario Outline: of <size> control machines, of which <losses> may be lost, <silent> <silence>, and another one stops as planned; <back> comes back
    Given a group of <size> control machines of which <losses> may be lost
    And <silent> of them <silence>
    When another one stops as planned 0 to 3.5 s later, and <back> comes back, in <plays> plays
    Then in each none is let go that leaves no majority or too few copies to confirm
    And in each the group goes on, and no acknowledged configuration is gone

    Examples:
      | size | losses | silent | silence                   | back            | plays |
      | 3    | 1      | 1      | is frozen                 | the stopped one | 16    |
      | 3    | 1      | 1      | is frozen                 | a silent one    | 16    |
      | 3    | 1      | 1      | is lost with their disks  | the stopped one | 16    |
      | 3    | 1      | 1      | is unheard                | the stopped one | 8     |
      | 3    | 1      | 1      | is unheard                | a silent one    | 8     |
      | 3    | 1      | 1      | is deaf                   | the stopped one | 8     |
      | 3    | 1      | 1      | is deaf                   | a silent one    | 8     |
      | 4    | 1      | 1      | is frozen                 | the stopped one | 8     |
      | 4    | 1      | 1      | is lost with their disks  | the stopped one | 8     |
      | 4    | 2      | 1      | is frozen                 | a silent one    | 8     |
      | 4    | 2      | 1      | is lost with their disks  | the stopped one | 8     |
      | 5    | 2      | 1      | is frozen                 | a silent one    | 8     |
      | 5    | 2      | 1      | is lost with their disks  | the stopped one | 8     |
      | 5    | 2      | 2      | are frozen                | the stopped one | 8     |
      | 5    | 2      | 2      | are frozen                | a silent one    | 8     |
      | 5    | 2      | 2      | are lost with their disks | the stopped one | 8     |
      | 5    | 2      | 2      | are unheard               | a silent one    | 8     |
      | 5    | 2      | 2      | are deaf                  | the stopped one | 8     |
