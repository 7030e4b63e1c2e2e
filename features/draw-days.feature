Feature: Days of our own for the users' bench
  Every kind of trouble is played on every deployment, several at once and each more than once.

  Scenario: Days that follow each other hold every variant, each at two moments
    When as many days are drawn with seed 7 as it takes to go through the catalogue once
    Then each variant stands in one of them, twice, at different moments
    And every closing fault ends one of them

  Scenario: The same seed draws the same day
    Then day 3 of seed 7 is the same each time, and another with seed 8

  Scenario: The table counts kinds and variants by deployment
    Given a journal whose entries hold
      | site  | day         | troubles             | rules |
      | small | hunt-1      | core_cut,node_freeze |       |
      | small | drawn-7-0   |                      | LOST  |
      | large | hunt-2      | core_cut             |       |
    When the table of played days is made for "small" and "large"
    Then the row of "core_cut" is "1" and "1"
    And the row of "node_freeze" is "1" and "**0**"
    And each variant of day 0 of seed 7 in edition 1 has the row "1 (1)" and "**0**"

  Scenario: A day of the journal is counted by the edition of the catalogue that it was drawn from
    Given a journal whose entries hold
      | site  | day         | troubles | rules |
      | small | drawn-2.7-0 |          |       |
    When the table of played days is made for "small" and "large"
    Then each variant of day 0 of seed 7 in edition 2 has the row "1" and "**0**"

  Scenario: Recovery is gathered over the reports of several days
    Given reports of days in which "next ack after a core kill" took
      | median | longest |
      | 900    | 2000    |
      | 1100   | 1500    |
      |        |         |
      | 1000   | 4000    |
    Then "next ack after a core kill" occurred on 3 days, and took
      | median | median of the longest | longest |
      | 1000   | 2000                  | 4000    |
