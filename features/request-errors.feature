@sockets
Feature: one request's exception ends nothing
  A handler that throws for one request has shown nothing about the others (docs/design.md §10.4).

  # Guards against a request that hears nothing, since its handler threw.
  Scenario Outline: a handler that <fails>
    Given a server whose handler <fails> for the path "/bad"
    Then "/bad" is answered 500, and "/good" 200 on the same connection
    And the failure is logged with its path

    Examples:
      | fails                        |
      | throws                       |
      | throws after its first await |
