Feature: two adjacent marks in one fleet
  Messages and folders as each mark wrote them are kept in features/marks and played against today's machines.

  Scenario Outline: today's machines read mark <mark> and go on from its folders
    Given what mark <mark> wrote
    Then every kind of its messages is taken by today's control, storage and access machines
    When a fleet of today starts from its folders
    Then its configuration is in force and its 3 lots finish with each item once

    Examples:
      | mark |
      | 1    |
