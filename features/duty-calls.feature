@sockets
Feature: calls of duties to the platform
  The adapter's client against a stand-in of the platform's interface (docs/platform.md).

  Scenario: calls carry holder, fence and the platform's own words, on a kept connection
    Given a platform that answers 200
    When a usage report with fence 12 is made
    And an order of 6 runners with fence 13 is made
    Then the outcomes are "taken, taken"
    And the platform read these on 1 connection:
      | path        | holder    | fence | body                                                        |
      | /accounting | Control-A | 12    | {"windowNumber":353445120,"counts":{"huka":412,"puhu":3}}   |
      | /scaling    | Control-A | 13    | {"service":"reader","zone":"hobart-a","desiredCount":6}     |

  Scenario Outline: a platform that <does> is understood
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
      | answers 200 and breaks off    | taken    |
      | is not there                  | lost     |

  Scenario: after a call without an answer the next one goes over another connection, and the first is reset
    # Guards against bytes of an abandoned call that reach the platform later.
    Given a platform that answers nothing
    When a usage report with fence 1 is made
    And the platform answers 200 from now on
    And a usage report with fence 1 is made
    Then the outcomes are "lost, taken"
    And the first connection was reset and 2 were opened

  Scenario: a round that is too old is not used
    # Guards against a machine that froze between the round and the send.
    Given a platform that answers 200
    When a usage report whose round is over is made
    Then the outcomes are "unsent"
    And the platform read nothing

  Scenario: the settings name the duties, and nothing is claimed where they name none
    Then the platform's settings are understood:
      | duties             | window | kinds         |
      | accounting,scaling | 5      | usage,scaling |
      | accounting,scaling |        | scaling       |
      | scaling            | 5      | scaling       |
      | accounting,other   | 5      | usage         |
      |                    | 5      | none          |
      | no interface       | 5      | none          |
