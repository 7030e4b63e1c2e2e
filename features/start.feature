@sockets
Feature: what a start of the programs loads
  Processor time before a process listens is time without service after a loss (docs/platform.md, Programs).

  Scenario: the programs load nothing that they do not use
    Given the programs as the deploy file builds them
    When they are loaded
    Then they have loaded none of "internal/deps/undici/undici", "http2", "https", "child_process", "cluster", "dgram"
    And they have loaded no package but msgpackr

  Scenario: a module that is loaded at its first use serves as itself
    When "https" is loaded as the programs do
    Then it is loaded only once its "Agent" is asked for
