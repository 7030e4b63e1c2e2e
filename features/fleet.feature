@sockets
Feature: a real small fleet over sockets
  Three control, three storage, three access processes and stand-in runners, each on a loopback address of its own.

  Scenario: the whole path, then the owner of a queue and a control machine die
    Given a fleet with 3 access nodes, 3 model runners and 1 plain runner
    When the configuration is entered
    Then a one-shot inquiry, a stream and a fetch are served whole
    And a lot of 20 finishes with each item once
    And every process tells its metrics, and they agree with what was served
    When the owner of the queue is killed with -9 while a lot of 20 runs
    Then that lot finishes with each item once
    When the head of the control chain is killed with -9
    Then a change of the configuration is confirmed again
    And a one-shot inquiry, a stream and a fetch are served whole
    And no one-shot inquiry ran twice

  Scenario: cut off, frozen and empty machines
    Given a fleet with 3 access nodes, 3 model runners and 1 plain runner
    When the configuration is entered
    Then a one-shot inquiry, a stream and a fetch are served whole
    When access-2 is cut off from every other machine
    Then access-2 tells callers not-run, with a time to come back, and nothing of it runs
    When all links are mended
    Then a one-shot inquiry, a stream and a fetch are served whole
    When storage-1 loses its disk while a lot of 20 runs and comes back empty
    Then that lot finishes with each item once
    And three whole copies of every queue stand again
    When the head of the control chain is frozen
    Then a change of the configuration is confirmed again
    When the frozen machine is woken
    Then it never again tells the mark from before
    And no one-shot inquiry ran twice

  Scenario: a machine is emptied on request and stopped as planned, with nothing lost
    Given a fleet with 2 access nodes, 2 model runners, 1 plain runner and 4 storage machines
    When the configuration is entered
    Then a lot of 20 finishes with each item once
    When the owner of the queue is emptied while a lot of 20 runs
    Then that lot finishes with each item once
    And it holds no queue any more, and three whole copies of every queue stand again
    When that machine is told to stop
    Then it ends with 0
    When an access node hears of changed settings while a stream runs, the stream ends whole
    Then the node goes on
    When an access node is told to stop while a stream runs
    Then the stream ends whole and the node ends with 0

  Scenario: operators race and lose most answers, before and after the head is killed
    Given a fleet with 2 access nodes, 1 model runners and 1 plain runner
    When the configuration is entered
    And 8 operators race with 10 orders each and lose 7 of 10 answers
    And the head of the control chain is killed with -9
    And 8 operators race with 10 orders each and lose 7 of 10 answers
    Then a change of the configuration is confirmed again
