@sockets
Feature: an HTTP server that closes its connections loses no request that it has read
  A planned stop of any process closes its servers in this way.

  Scenario: two requests that arrive together on one connection are both answered while it closes
    Given an HTTP server whose answers take 300 ms, and a connection
    When two requests come at once on it, and the server begins to end its connections 100 ms later
    Then both are answered in order, and the second ends the connection

  Scenario: a closing server answers what it has read, and reports as unknown what may have run
    Given an HTTP server whose answers take 60000 ms, and a connection
    When a request comes on it, and half of one on another, and the server is closed
    Then the whole one is answered 504, the half one 503, and no request is counted as dropped
    And the second half of the other is not passed on

  Scenario: an answer that its caller does not read is counted as dropped
    Given an HTTP server whose answers take 0 ms, and a connection
    When its answer of 64 MiB is not read, and the server is closed
    Then 1 request is counted as dropped

  Scenario: connections that are opened while a server closes do not delay it
    Given an HTTP server whose answers take 0 ms, and a connection
    When others connect each 10 ms and send nothing, and the server is closed
    Then it has closed within 2 s

  Scenario: requests whose caller disconnected before their turn are not in progress
    Given an HTTP server whose answers take 60000 ms, and a connection
    When two requests come at once on it, and the caller leaves
    Then the server has no request in progress within 2 s
