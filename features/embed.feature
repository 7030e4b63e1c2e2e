Feature: the parts can be embedded
  `examples/embed` replicates a counter with nothing but the public exports of `@chutewick/parts`.

  Scenario: a group of three loses its head
    Given an embedded counter on three members
    When 5 is added at the head
    And the head is gone
    Then an addition in the old view is not confirmed
    When a view of the other two is adopted
    Then adding 2 gives 7, and a read gives 7
