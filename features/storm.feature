Feature: what must never happen, under faults in company
  The fleet's own machines under virtual time with one seed: kills, lost power, lost disks, freezes, cuts,
  splits, slow disks, lost messages, clock steps, crashing runners, goodbyes and racing operators at once
  (docs/testing.md). A checker compares all that was seen with each line of what must never happen.

  Scenario Outline: no rule is broken and service is back within 12 s, seeds <from> to <to>
    When the seeds <from> to <to> are played with faults
    Then the checker finds nothing
    And every fleet met at least 5 faults and served at least 300 inquiries

    Examples:
      | from | to  |
      | 1    | 200 |

  Scenario Outline: seeds that once failed stay, with their cause: <cause>
    When the seeds <seed> to <seed> are played with faults
    Then the checker finds nothing

    Examples:
      | seed  | cause                                                                                                    |
      | 2107  | a result meant for an earlier life of a control machine answered an inquiry of a later one               |
      | 50143 | a view of control-2 alone was completed after it was gone, and the whole copy left was forgotten         |
      | 60310 | control-2 alone was lost before it was copied, and the one that came back forgot its whole copy          |

  Scenario Outline: the same at the size of the <firm> firm, with rolling releases and whole zones lost
    When the seeds <from> to <to> are played with faults, <access> access nodes, 13 model and 3 plain runners of 8 and 24 seats
    Then the checker finds nothing
    And every fleet met at least 5 faults and served at least 300 inquiries

    Examples:
      | firm   | access | from | to  |
      | pallet | 7      | 401  | 406 |
      | font   | 9      | 411  | 416 |

  Scenario: no rule is broken when the bucket, not the runners, is the limit
    When the seeds 301 to 303 are played with faults, 12 tokens a second and an allowance of 120
    Then the checker finds nothing but work still waiting

  Scenario: live work goes on while the whole control group is out of reach
    When the seeds 1 to 3 are played in calm but for 9 s without control
    Then the checker finds nothing
    And at least 80 in 100 inquiries made meanwhile are done, and at most 10 in 100 are not-run

  Scenario: a season's shared allowance holds while the queues it selects change and their owners fall
    When the seeds 12 to 14 are played with faults and a season of 60 waiting items over queues that come and go
    Then the checker finds nothing

  Scenario: storms of losses of power, processes and disks, of many machines at one moment, on slow disks
    When the seeds 1 to 100 are played with storms of losses
    Then the checker finds nothing

  Scenario: the same where two machines may be lost at once, with five control and five storage machines and four copies
    When the seeds 1 to 40 are played with storms of losses of two at once
    Then the checker finds nothing
