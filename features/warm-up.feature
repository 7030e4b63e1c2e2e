@sockets
Feature: an access process warms up its request path before callers connect
  Without a warm-up, the first requests of a process wait for the code that serves them to be compiled (docs/design.md §13.9).

  Scenario: a warm-up makes later calls cheaper and leaves nothing behind
    Given a warm-up of the platform's path
    When it runs until it has made all of its calls
    Then all of its calls get a complete response
    And the last call took less than a third of the first
    And no server of the warm-up is still listening

  Scenario: the first real caller ends the warm-up
    Given a warm-up of the platform's path
    When a caller connects after 5 of its calls
    Then it has made 5 calls
    And no server of the warm-up is still listening

  Scenario: a call that gets no response is aborted
    Given a warm-up of the platform's path whose runners do not respond
    When it runs for 1 call
    Then it has made 1 call, and none got a complete response
