Feature: token bucket of a queue
  One queue per model or adapter; its owner refills, checks and dequeues in one step (docs/design.md §3.1).

  Scenario: the bucket agrees with an independent model over many seeds
    Given 200 seeds
    When each seed plays 300 draws, limit changes, returned tokens and clock steps on both
    Then every result, wait and level is the same

  Scenario: a dispatcher that waits for each returned time gets the configured rate
    Given a bucket of 20 tokens per 60 s with a burst of 20
    When a dispatcher that sleeps each exact wait draws for 600 s of virtual time
    Then 220 prompts were taken, the burst and the refill, give or take one
    And no wait was followed by a second rate-limited result

  Scenario: an empty queue spends nothing
    Given a bucket of 20 tokens per 60 s with a burst of 20
    When an empty queue is asked 100 times
    Then the bucket holds 20 tokens

  Scenario: a rate of zero gives no wait
    Given a bucket of 0 tokens per 60 s with a burst of 1
    When two prompts are drawn
    Then the second is rate-limited until the limit changes

  Scenario: a whole fleet holds the source's rate
    When a fleet in virtual time draws from one queue with 20 tokens per 60 s for 600 s
    Then it took at least 96 in 100 of the ideal and never more than the ideal
