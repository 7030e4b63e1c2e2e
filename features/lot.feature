Feature: the life of a lot on its queue's owner
  Admit, pop, record and cancel are each one atomic step (docs/design.md §3, §5).

  Background:
    Given a queue with 100 tokens per 1 s and an allowance of 30 waiting items

  Scenario: the same key is the same lot, and another body is a conflict
    When a lot "a" of 20 items is handed in
    And a lot "a" of 20 items is handed in
    And a lot "a" of 19 items is handed in
    Then the results are ADMITTED, ADMITTED, CONFLICT
    And 20 items wait

  Scenario: all or nothing, and a refusal leaves nothing behind
    When a lot "a" of 20 items is handed in
    And a lot "b" of 11 items is handed in
    Then the results are ADMITTED, FULL
    And the refusal tells the wait of 0 ms
    And 20 items wait
    And the lot "b" is unknown

  Scenario: a prompt handed back unsent keeps its place and its token
    When a lot "a" of 3 items is handed in
    And a prompt is popped and recorded as unsent
    Then the next prompt popped is item 0
    And 99 tokens are left

  Scenario: a prompt that was sent and broke keeps its place, and its token is spent
    When a lot "a" of 3 items is handed in
    And a prompt is popped and recorded as broken
    Then the next prompt popped is item 0
    And 98 tokens are left

  Scenario: only a runner's real trouble counts, and the third ends the item
    When a lot "a" of 1 items is handed in
    And a prompt is popped and recorded as broken
    And a prompt is popped and recorded as unsent
    And a prompt is popped and recorded as trouble
    And a prompt is popped and recorded as broken
    And a prompt is popped and recorded as trouble
    Then item 0 of "a" is queued
    When a prompt is popped and recorded as trouble
    Then item 0 of "a" is failed

  Scenario: only the go that holds the claim records
    When a lot "a" of 1 items is handed in
    And a prompt is popped and taken back for want of a sign of life
    And a prompt is popped and recorded as solved
    And the first go records another result
    Then the results end with STALE
    And item 0 of "a" is solved

  Scenario: a cancelled lot gives out no more prompts, and what was solved stays
    When a lot "a" of 3 items is handed in
    And a prompt is popped and recorded as solved
    And the lot "a" is cancelled
    Then an EMPTY result follows
    And item 0 of "a" is solved
    And item 1 of "a" is cancelled

  Scenario: the deadline ends what is not finished, and not before
    When a lot "a" of 2 items is handed in
    And a prompt is popped and recorded as solved
    And 604 s pass
    Then item 1 of "a" is queued
    When 2 s pass
    Then item 1 of "a" is failed
    And item 0 of "a" is solved

  Scenario: many seeds of commands keep every item once, in order, on every replica
    When 60 seeds of 400 random commands are played on two machines, one of them rebuilt from records half-way
    Then both hold the same records
    And every lot lists each item once and no final item ever changed

  Scenario: a lot whose results are no longer kept is remembered for a day, and a late try runs nothing
    When a lot "a" of 1 items is handed in
    And a prompt is popped and recorded as solved
    And 901 s pass
    And a lot "a" of 1 items is handed in
    And a lot "a" of 2 items is handed in
    Then the results end with GONE, CONFLICT
    And 0 items wait
    When the machine is rebuilt from its records
    And a lot "a" of 1 items is handed in
    Then the results end with GONE
    When 86400 s pass
    Then the lot "a" is unknown
