@sockets
Feature: a planned stop of an access machine keeps every request
  Real processes on loopback addresses. Callers keep their connections open and go on with them until the process is gone; the process is killed after its grace.

  Scenario: requests sent at any moment of the stop are answered whole, or refused before they are passed on
    Given a system of 3 core, 3 storage and 2 access machines with 0 model runners and 3 plain runner
    When the first document is sent to a core machine until it is taken
    Then the access machines say that they are ready
    When callers with open connections send work of 2500 ms at these s after the stop of access machine 2 began
      | 0.5 | 1.2 | 2.2 | 3.2 | 3.5 | 4.1 | 5 | 5.7 | 6.5 | 7 | 7.5 | 7.8 |
    And one sends work of 5200 ms 1 s after it began
    And the machine is killed 8 s after it began
    Then no request is read and ends without a whole answer
    And those sent within 2.3 s are served, and none sent after 3 s is passed on
    And each answer ends its connection, and each refusal promises that it did not run and tells when to try again
    And the machine ended by itself with 0 before it was killed

  Scenario: work that outlasts the stop, and a request that is never whole, get a last word
    Given a system of 3 core, 3 storage and 2 access machines with 0 model runners and 3 plain runner
    When the first document is sent to a core machine until it is taken
    Then the access machines say that they are ready
    When callers with open connections send work of 15000 ms at these s after the stop of access machine 2 began
      | 0.5 | 1.5 | 2.2 |
    And one sends half of a request 2 s after it began
    And the machine is killed 8 s after it began
    Then each work that outlasts the stop is answered 502, and half a request 503
    And the machine ended by itself with 0 before it was killed

  Scenario Outline: phases of a stop within <within> ms
    Given a stop within <within> ms of a node with work in progress until <work> ms after it began
    Then it rejects new requests from <refuses> ms, sends last replies from <last> and is closed at <closed>

    Examples:
      | within | work  | refuses | last  | closed |
      | 8000   | 0     | 2500    | never | 3500   |
      | 8000   | 3480  | 2500    | never | 3500   |
      | 8000   | 5000  | 2500    | never | 5000   |
      | 8000   | 7100  | 2500    | never | 7100   |
      | 8000   | 7300  | 2500    | 7100  | 7300   |
      | 8000   | 99999 | 2500    | 7100  | 7400   |
      | 2000   | 0     | 700     | never | 1100   |
      | 2000   | 99999 | 700     | 1100  | 1400   |
      | 20000  | 99999 | 2500    | 19100 | 19400  |
