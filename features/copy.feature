Feature: a copy of heavy records, and heavy entries sent again, go in messages that the wire takes
  A message beyond the largest is dropped, and would be asked for again for ever (docs/design.md §1.7).

  Scenario: a joiner is copied to though 400 records weigh more than the largest message
    Given a chain of two members whose 500 records weigh 100000 bytes each
    When a blank machine joins it
    Then it holds all of it whole, and no message weighed more than 600000 bytes

  Scenario: a member that was away gets 300 heavy entries
    Given a chain of two members whose second is away while 300 entries of 150000 bytes each are entered
    When the second is back
    Then all entries are confirmed, and no message weighed more than 600000 bytes
