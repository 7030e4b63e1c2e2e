Feature: seasons select lots and runners by labels, and may recur
  docs/design.md §8.4 and §8.8. The same functions plan, admit and explain.

  Scenario Outline: the windows of a calendar, <case>
    Given the calendar "<calendar>" in "<zone>" for <lasts> minutes between "<start>" and "<end>"
    Then at "<at>" the next windows are "<windows>"

    Examples:
      | case                                    | calendar    | zone             | lasts | start                | end                  | at                   | windows                                                                            |
      | before the first                        | 0 8 * * 1-5 | America/Lima     | 600   | 2026-12-01T00:00:00Z | 2026-12-04T00:00:00Z | 2026-11-30T00:00:00Z | 2026-12-01T13:00Z/2026-12-01T23:00Z 2026-12-02T13:00Z/2026-12-02T23:00Z 2026-12-03T13:00Z/2026-12-03T23:00Z |
      | while one is open                       | 0 8 * * 1-5 | America/Lima     | 600   | 2026-12-01T00:00:00Z | 2026-12-04T00:00:00Z | 2026-12-03T14:00:00Z | 2026-12-03T13:00Z/2026-12-03T23:00Z                                                |
      | the start belongs to it, the end not    | 0 8 * * *   | America/Lima     | 60    | 2026-12-01T00:00:00Z | 2026-12-02T00:00:00Z | 2026-12-01T14:00:00Z |                                                                                    |
      | the season's end cuts the last          | 0 22 * * *  | Etc/UTC          | 240   | 2026-12-01T00:00:00Z | 2026-12-02T00:00:00Z | 2026-12-01T00:00:00Z | 2026-12-01T22:00Z/2026-12-02T00:00Z                                                |
      | clocks go forward: an hour that is not  | 30 2 * * *  | Europe/Amsterdam | 60    | 2027-03-27T12:00:00Z | 2027-03-29T12:00:00Z | 2027-03-27T12:00:00Z | 2027-03-28T01:30Z/2027-03-28T02:30Z 2027-03-29T00:30Z/2027-03-29T01:30Z            |
      | clocks go back: an hour that comes twice | 30 2 * * * | Europe/Amsterdam | 60    | 2026-10-24T12:00:00Z | 2026-10-26T12:00:00Z | 2026-10-24T12:00:00Z | 2026-10-25T01:30Z/2026-10-25T02:30Z 2026-10-26T01:30Z/2026-10-26T02:30Z            |

  Scenario Outline: a calendar that cannot be meant is refused with its path, <says>
    When a season with the calendar "<calendar>" in "<zone>" for <lasts> minutes is checked
    Then it is refused with "<says>"

    Examples:
      | calendar    | zone         | lasts | says                                    |
      | 0 8 * * 1-5 | Lima         | 60    | seasons.s.zone                          |
      | 0 8 * *     | America/Lima | 60    | seasons.s.calendar: must have five      |
      | 0 25 * * *  | America/Lima | 60    | seasons.s.calendar                      |
      | 0 8 30 2 *  | America/Lima | 60    | seasons.s.calendar: never opens         |
      | 0 8 * * *   | America/Lima | 1500  | seasons.s.lastsMinutes: the window of   |

  Scenario: several seasons hold lots of one queue, each within its share, and none starves
    Given a queue where season "night" selects shift=night and may hold 10, and season "flood" selects model=reader and may hold 20
    When lots of 10 items with shift=night, with shift=day and with shift=night are handed in
    Then the results tell "ADMITTED night, ADMITTED flood, FULL night"
    When prompts are popped while the runners of "night" have no room
    Then all 10 of "flood" come first, in their order
    When the runners of "night" have room again
    Then all 10 of "night" follow, in their order
    When "night" closes while 10 of its items wait
    Then they weigh on "flood", which takes 10 more and no 11th

  @sockets
  Scenario: operators ask what holds, try a season before they enter it, and are warned
    Given a fleet with 2 access nodes, 2 model runners and 1 plain runner
    When the configuration is entered
    And a season over shift=night is previewed
    Then the preview names the queues, ways and runners, and warns that only lots can bring the label
    When that season is entered with a label that nothing carries
    Then the change is in force with a warning
    And a lot that brings shift=night is explained by that season, with allowance, runners, next change and why
    And a lot that brings shift=day is explained by no season
    And a lot of 70 items with shift=night is refused, and one of 20 is accepted
