Feature: lots on their queue's owner
  Admitting, dequeuing, recording and cancelling are atomic (docs/design.md §3, §5).

  Background:
    Given a queue with 100 tokens per 1 s and an allowance of 30 waiting items

  Scenario: submitting a key again returns the same lot, and another body is a conflict
    When a lot "a" of 20 items is submitted
    And a lot "a" of 20 items is submitted
    And a lot "a" of 19 items is submitted
    Then the results are ADMITTED, ADMITTED, CONFLICT
    And 20 items wait

  Scenario: a lot is accepted whole or not at all, and a refusal leaves no records
    When a lot "a" of 20 items is submitted
    And a lot "b" of 11 items is submitted
    Then the results are ADMITTED, FULL
    And the refusal returns a wait of 0 ms
    And 20 items wait
    And the lot "b" is unknown

  Scenario: an unsent prompt keeps its position, and its token is returned
    When a lot "a" of 3 items is submitted
    And a prompt is popped and recorded as unsent
    Then the next prompt popped is item 0
    And 99 tokens are left

  Scenario: a prompt whose connection broke keeps its position, and its token is spent
    When a lot "a" of 3 items is submitted
    And a prompt is popped and recorded as broken
    Then the next prompt popped is item 0
    And 98 tokens are left

  Scenario: only failures of the runner itself count, and the third one fails the item
    When a lot "a" of 1 items is submitted
    And a prompt is popped and recorded as broken
    And a prompt is popped and recorded as unsent
    And a prompt is popped and recorded as trouble
    And a prompt is popped and recorded as broken
    And a prompt is popped and recorded as trouble
    Then item 0 of "a" is queued
    When a prompt is popped and recorded as trouble
    Then item 0 of "a" is failed

  Scenario: only the attempt that holds the claim records a result
    When a lot "a" of 1 items is submitted
    And a prompt is popped and its claim is reset for a missing heartbeat
    And a prompt is popped and recorded as solved
    And the first attempt records another result
    Then the results end with STALE
    And item 0 of "a" is solved

  Scenario: a cancelled lot assigns no more prompts, and solved items stay solved
    When a lot "a" of 3 items is submitted
    And a prompt is popped and recorded as solved
    And the lot "a" is cancelled
    Then the next dequeue returns EMPTY
    And item 0 of "a" is solved
    And item 1 of "a" is cancelled

  Scenario: unfinished items fail at the deadline, and not before
    When a lot "a" of 2 items is submitted
    And a prompt is popped and recorded as solved
    And 604 s pass
    Then item 1 of "a" is queued
    When 2 s pass
    Then item 1 of "a" is failed
    And item 0 of "a" is solved

  Scenario: random commands keep every item once, in order, on every replica
    When 60 seeds of 400 random commands are applied to two machines, one of them rebuilt from records half-way
    Then both hold the same records
    And every lot lists each item once and no final item ever changed

  Scenario: a lot whose results were deleted is remembered for a day, and a late retry runs nothing
    When a lot "a" of 1 items is submitted
    And a prompt is popped and recorded as solved
    And 901 s pass
    And a lot "a" of 1 items is submitted
    And a lot "a" of 2 items is submitted
    Then the results end with GONE, CONFLICT
    And 0 items wait
    When the machine is rebuilt from its records
    And a lot "a" of 1 items is submitted
    Then the results end with GONE
    When 86400 s pass
    Then the lot "a" is unknown
