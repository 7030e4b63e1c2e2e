@sockets
Feature: calls of duties to the platform
  Tests the client of the platform adapter against a fake of the platform's API (docs/platform.md).

  Scenario: calls carry holder, fencing number and the platform's terms, on a persistent connection
    Given a platform that answers 200
    When a usage report with fence 12 is made
    And an order of 6 runners with fence 13 is made
    Then the outcomes are "taken, taken"
    And the platform read these on 1 connection:
      | path        | holder    | fence | body                                                        |
      | /accounting | Control-A | 12    | {"windowNumber":353445120,"counts":{"huka":412,"puhu":3}}   |
      | /scaling    | Control-A | 13    | {"service":"reader","zone":"hobart-a","desiredCount":6}     |

  Scenario Outline: the outcome of a platform that <does> is recognized
    Given a platform that <does>
    When a usage report with fence 1 is made
    Then the outcomes are "<outcome>"

    Examples:
      | does                          | outcome  |
      | answers 409                   | outdated |
      | answers 429                   | busy     |
      | answers 503                   | busy     |
      | answers 400                   | rejected |
      | resets the connection         | lost     |
      | answers nothing               | lost     |
      | answers 200 and disconnects    | taken    |
      | is not there                  | lost     |

  Scenario: after a call without a response the next one uses another connection, and the first is reset
    # Guards against bytes of an abandoned call that reach the platform after its timeout.
    Given a platform that answers nothing
    When a usage report with fence 1 is made
    And the platform answers 200 from now on
    And a usage report with fence 1 is made
    Then the outcomes are "lost, taken"
    And the first connection was reset and 2 were opened

  Scenario: a call past the deadline of its round is not sent
    # Guards against sending a call after the machine was suspended between the round and the send.
    Given a platform that answers 200
    When a usage report whose round has expired is made
    Then the outcomes are "unsent"
    And the platform read nothing

  Scenario: the settings select the duties, and no duty is claimed without them
    Then the platform's settings select these duties:
      | duties             | window | kinds         |
      | accounting,scaling | 5      | usage,scaling |
      | accounting,scaling |        | scaling       |
      | scaling            | 5      | scaling       |
      | accounting,other   | 5      | usage         |
      |                    | 5      | none          |
      | no interface       | 5      | none          |
