Feature: histories of orders and lots are judged by one definition
  What operators and callers of lots saw is allowed where some order of the operations, each between its call and its
  return, is one that a compare-and-set register or a lot's log would have answered (tools/history).

  Scenario Outline: a planted fault is found: <fault>
    Given a history of the configuration
      | client | from | to | operation                     | answer   |
      | ada    | 0    | 10 | order first on 0              | ok 1     |
      | ada    | 20   | 30 | read                          | 1 first  |
      | ada    | 40   | 50 | order second on 1             | ok 2     |
      | bob    | 60   | 70 | read                          | 2 second |
    Then the history is allowed
    When these operations are added
      | client | from   | to   | operation   | answer   |
      | cleo   | <from> | <to> | <operation> | <answer> |
    Then the history breaks "<rule>"

    Examples:
      | fault                                              | from | to | operation         | answer     | rule                 |
      | a stale read after a cut                           | 80   | 90 | read              | 1 first    | confirmed-gone       |
      | two winners on one base                            | 45   | 65 | order third on 1  | ok 2       | two-winners          |
      | two winners with versions of their own             | 45   | 65 | order third on 1  | ok 3       | two-winners          |
      | an order acknowledged twice with two effects       | 80   | 90 | order second on 1 | ok 3       | applied-twice        |
      | an order refused after it had been taken           | 80   | 90 | order second on 1 | conflict 2 | taken-then-refused   |
      | an order refused though its base was in force      | 80   | 90 | order third on 2  | conflict 3 | confirmed-gone       |
      | a conflict that tells an old version               | 80   | 90 | order third on 0  | conflict 1 | confirmed-gone       |
      | a malformed order in force                         | 80   | 90 | bad order x on 2  | ok 3       | refused-takes-effect |
      | a value that nobody ordered                        | 80   | 90 | read              | 3 third    | confirmed-gone       |

  Scenario: a change that vanishes
    Given a history of the configuration
      | client | from | to | operation         | answer  |
      | ada    | 0    | 10 | order first on 0  | ok 1    |
      | ada    | 20   | 30 | order second on 1 | ok 2    |
      | bob    | 40   | 50 | order third on 1  | unknown |
      | bob    | 60   | 70 | read              | 2 third |
    Then the history breaks "confirmed-gone"

  Scenario: a late write of an old head
    Given a history of the configuration
      | client | from | to | operation         | answer   |
      | ada    | 0    | 10 | order first on 0  | ok 1     |
      | bob    | 20   | 30 | order second on 1 | unknown  |
      | ada    | 40   | 50 | order third on 1  | ok 2     |
      | ada    | 60   | 70 | read              | 2 third  |
      | ada    | 80   | 90 | read              | 2 second |
    Then the history breaks "confirmed-gone"

  Scenario: an order whose outcome is unknown may take effect late, once or never
    Given a history of the configuration
      | client | from | to  | operation         | answer     |
      | ada    | 0    | 10  | order first on 0  | unknown    |
      | bob    | 20   | 30  | read              | 0          |
      | ada    | 40   | 50  | order first on 0  | unknown    |
      | bob    | 60   | 70  | read              | 1 first    |
      | ada    | 80   | 90  | order first on 0  | ok 1       |
      | ada    | 100  | 110 | order second on 1 | unknown    |
      | bob    | 120  | 130 | order third on 1  | ok 2       |
      | ada    | 140  | 150 | order second on 1 | conflict 2 |
    Then the history is allowed
    When these operations are added
      | client | from | to  | operation | answer   |
      | bob    | 160  | 170 | read      | 3 second |
    Then the history breaks "confirmed-gone"

  Scenario: an order that was refused takes effect
    Given a history of the configuration
      | client | from | to | operation           | answer     |
      | ada    | 0    | 10 | order first on 0    | ok 1       |
      | bob    | 20   | 30 | order second on 0   | conflict 1 |
      | bob    | 40   | 50 | order third on 1    | not-run    |
    Then the history is allowed
    When these operations are added
      | client | from | to | operation | answer  |
      | bob    | 60   | 70 | read      | 2 third |
    Then the history breaks "refused-takes-effect"

  Scenario: a replica may be late but doesn't go back
    Given a history of the configuration
      | client   | from | to | operation         | answer   |
      | ada      | 0    | 10 | order first on 0  | ok 1     |
      | ada      | 20   | 30 | order second on 1 | ok 2     |
      | access-1 | 40   | 40 | work              | 1 first  |
      | access-2 | 50   | 50 | work              | 2 second |
    Then the history is allowed
    When these operations are added
      | client   | from | to | operation | answer  |
      | access-2 | 60   | 60 | work      | 1 first |
    Then the history breaks "slips-back"

  Scenario: the shortest contradiction is told
    Given a history of the configuration
      | client | from | to | operation         | answer   |
      | ada    | 0    | 10 | order first on 0  | ok 1     |
      | ada    | 20   | 30 | read              | 1 first  |
      | ada    | 40   | 60 | order second on 1 | ok 2     |
      | bob    | 41   | 70 | read              | 2 second |
      | cleo   | 42   | 75 | read              | 1 first  |
      | bob    | 72   | 80 | read              | 1 first  |
    Then the history breaks "confirmed-gone"
    And only these operations are told
      | [41-70] bob read: version 2 (second) |
      | [72-80] bob read: version 1 (first)  |

  Scenario Outline: a planted fault of a lot is found: <fault>
    Given a history of a lot
      | client | from | to | operation   | answer        |
      | ada    | 0    | 10 | admit       | unknown       |
      | ada    | 20   | 30 | admit       | admitted x    |
      | bob    | 40   | 50 | read from 0 | open: a=1 b=2 |
      | cleo   | 45   | 55 | read from 0 | open: a=1     |
    Then the history is allowed
    When these operations are added
      | client | from | to | operation   | answer   |
      | cleo   | 60   | 70 | <operation> | <answer> |
    Then the history breaks "<rule>"

    Examples:
      | fault                                 | operation   | answer            | rule                  |
      | a lot admitted twice                  | admit       | admitted y        | admitted-twice        |
      | a lot refused after it was admitted   | admit       | refused           | admitted-then-refused |
      | a result at two positions             | read from 0 | open: a=1 b=2 a=1 | two-positions         |
      | a result changed                      | read from 0 | open: a=1 b=3     | result-changed        |
      | results in another order              | read from 0 | open: b=2 a=1     | result-changed        |
      | a result gone                         | read from 0 | open: a=1         | result-changed        |
      | results gone from a position on       | read from 1 | open:             | result-changed        |
      | a lot gone                            | read from 0 | missing           | lot-items             |

  Scenario: a lot ends once
    Given a history of a lot
      | client | from | to | operation   | answer     |
      | ada    | 0    | 10 | admit       | admitted x |
      | ada    | 20   | 30 | end         | ended      |
      | ada    | 25   | 35 | end         | ended      |
      | cleo   | 36   | 38 | admit       | not-run    |
      | bob    | 40   | 50 | read from 0 | done: a=1  |
    Then the history is allowed
    When these operations are added
      | client | from | to | operation   | answer    |
      | bob    | 60   | 70 | read from 0 | open: a=1 |
    Then the history breaks "ended-twice"

  Scenario: histories drawn from a sequential run with random overlap are allowed
    Then 300 drawn histories of the configuration are allowed
    And 300 drawn histories of a lot are allowed

  Scenario: the search and a trial of every order of the operations agree
    Then they agree on 1000 small histories of the configuration
    And they agree on 3000 drawn histories with a planted fault each

  Scenario: 300 orders with eight at once and most answers lost are judged in time
    Then a history of 300 orders, eight at once with 7 of 10 answers lost, is judged within 2000 ms
    And with a stale read at its end it is found wrong within 4000 ms
