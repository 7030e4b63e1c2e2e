Feature: snapshots of large records, and resent large entries, fit into the message size limit
  A message above the limit is dropped, so it would be requested again and again (docs/design.md §1.7).

  Scenario: a learner receives a snapshot although 400 records are larger than the message size limit
    Given a chain of two members with 500 records of 100000 bytes each
    When an empty machine joins as learner
    Then its copy is complete, and no message was larger than 600000 bytes

  Scenario: a member that was unreachable receives 300 large entries
    Given a chain of two members whose second is unreachable while 300 entries of 150000 bytes each are appended
    When the second is reachable again
    Then all entries are committed, and no message was larger than 600000 bytes
