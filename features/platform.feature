Feature: the adapter only translates
  What the platform says becomes the product's own words, and back, without loss (docs/platform.md).

  Scenario: a whole document becomes pools and passages, and is told back as it was sent
    Given a platform document with revision 7, a streaming, a bulk and a split safe route
    When it is translated on top of nothing
    Then the mark is 7 and the product's own check takes it
    And the passages have the kinds stream, lot and safe, with their pools, bounds and allowances
    And the document is told back as it was sent

  Scenario: named items are put in and taken out
    Given a platform document with revision 7, a streaming, a bulk and a split safe route
    When it is translated on top of nothing
    And a modification to revision 9 replaces the streaming route's pool and removes the bulk route
    Then the mark is 9 and the product's own check takes it
    And the passages have the kinds stream and safe

  Scenario: an order sent again is known, also after later ones
    Given a platform document with revision 7, a streaming, a bulk and a split safe route
    When it is translated on top of nothing
    And a modification to revision 9 replaces the streaming route's pool and removes the bulk route
    Then both orders are known as taken, and others are not

  Scenario Outline: what is invalid is refused by the adapter or by the product's check
    Given a platform document with revision 7, a streaming, a bulk and a split safe route
    When it is spoilt by <fault>
    Then it is refused

    Examples:
      | fault                |
      | cutting it short     |
      | an unknown service   |
      | the same place twice |
      | weights of nothing   |
      | no time to hold      |
      | a name twice         |
      | a limit below 0      |
      | a limit in words     |
      | two subscribers with one key        |
      | a subscriber twice                  |
      | a subscriber of two lines           |
      | fewer runners at most than at least |

  Scenario Outline: limits of an operator become those of callers
    Given a platform document with revision 7, a streaming, a bulk and a split safe route
    When its limits are <limits>
    Then the product's limits of callers are <callers>

    Examples:
      | limits                                                                                         | callers                                                                       |
      | {"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerGuardMs":3000,"idleGuardMs":15000}       | {"headerBytes":16384,"bodyBytes":4194304,"headerWait":3000,"idleWait":15000}  |
      | {"idleGuardMs":20500.5,"another":"x"}                                                          | {"headerBytes":65536,"bodyBytes":16777216,"headerWait":10000,"idleWait":20501} |
      | {"maxHeaderBytes":0,"maxBodyBytes":99999999999}                                                | {"headerBytes":65536,"bodyBytes":1073741824,"headerWait":10000,"idleWait":14000} |
      | null                                                                                           | {"headerBytes":65536,"bodyBytes":16777216,"headerWait":10000,"idleWait":14000} |

  Scenario: headers of a request become an inquiry, and go out to a runner again
    When a request with its headers is read and sent on to a runner
    Then the inquiry has its id, sizes, parts and patience
    And the runner gets every header but those of one connection, with the rest of the time, its own id and the rank

  Scenario: a settings file with fields nobody knows becomes our settings
    When a settings file with more fields than are known is read
    Then seeds stand at the first internal port, and the bounds are the deployment's
