@sockets
Feature: an HTTP server that ends its connections loses nothing that it has read
  A planned stop of any process closes its servers like this.

  Scenario: two requests that come at once on one connection are both answered while it ends
    Given an HTTP server whose answers take 300 ms, and a connection
    When two requests come at once on it, and the server begins to end its connections 100 ms later
    Then both are answered in order, and the second ends the connection

  Scenario: a server that closes answers what it has read, and promises nothing of what may have run
    Given an HTTP server whose answers take 60000 ms, and a connection
    When a request comes on it, and half of one on another, and the server is closed
    Then the whole one is answered 504, the half one 503, and no request is counted as dropped
    And the second half of the other is not passed on

  Scenario: an answer that its caller does not read is counted as dropped
    Given an HTTP server whose answers take 0 ms, and a connection
    When its answer of 64 MiB is not read, and the server is closed
    Then 1 request is counted as dropped

  Scenario: connections that come while a server closes do not hold it up
    Given an HTTP server whose answers take 0 ms, and a connection
    When others connect each 10 ms and say nothing, and the server is closed
    Then it has closed within 2 s

  Scenario: requests whose caller left before their turn are not under way
    Given an HTTP server whose answers take 60000 ms, and a connection
    When two requests come at once on it, and the caller leaves
    Then the server has no request under way within 2 s
