@sockets
Feature: an access process plays its own path before callers come
  The first requests of a process would pay for compiling the code that serves them (docs/design.md §13.9).

  Scenario: a warm-up makes later calls cheaper and leaves nothing behind
    Given a warm-up of the platform's path
    When it runs as long as nobody comes
    Then all of its calls are answered whole
    And the last call took less than a third of the first
    And nothing listens that listened for it

  Scenario: the first real caller ends it
    Given a warm-up of the platform's path
    When a caller comes after 5 of its calls
    Then it has made 5 calls
    And nothing listens that listened for it

  Scenario: a call that gets no answer is given up
    Given a warm-up of the platform's path whose runners answer nothing
    When it runs for 1 call
    Then it has made 1 call, and none was answered whole
