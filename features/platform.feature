Feature: the platform adapter only translates
  Documents, headers and settings of the platform are translated to the product's terms and back without loss (docs/platform.md).

  Scenario: a whole document becomes pools and passages, and is returned as it was sent
    Given a platform document with revision 7, a streaming, a bulk and a split safe route
    When it is translated without a base
    Then the version is 7 and the product's validation accepts it
    And the passages have the kinds stream, lot and safe, with their pools, bounds and allowances
    And the document is returned as it was sent

  Scenario: named items are upserted and removed
    Given a platform document with revision 7, a streaming, a bulk and a split safe route
    When it is translated without a base
    And a modification to revision 9 replaces the streaming route's pool and removes the bulk route
    Then the version is 9 and the product's validation accepts it
    And the passages have the kinds stream and safe

  Scenario: a repeated order is recognized, also after later ones
    Given a platform document with revision 7, a streaming, a bulk and a split safe route
    When it is translated without a base
    And a modification to revision 9 replaces the streaming route's pool and removes the bulk route
    Then both orders are recognized as accepted, and others are not

  Scenario Outline: an invalid document is rejected by the adapter or by the product's validation
    Given a platform document with revision 7, a streaming, a bulk and a split safe route
    When it is made invalid by <fault>
    Then it is rejected

    Examples:
      | fault                |
      | truncating it     |
      | an unknown service   |
      | two routes at one place |
      | weights of zero   |
      | a zero guard time      |
      | a name twice         |
      | a limit below 0      |
      | a limit that is text     |
      | two subscribers with one key        |
      | a subscriber twice                  |
      | a subscriber of two lines           |
      | fewer runners at most than at least |

  Scenario Outline: limits of an operator become caller limits
    Given a platform document with revision 7, a streaming, a bulk and a split safe route
    When its limits are <limits>
    Then the product's limits of callers are <callers>

    Examples:
      | limits                                                                                         | callers                                                                       |
      | {"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerGuardMs":3000,"idleGuardMs":15000}       | {"headerBytes":16384,"bodyBytes":4194304,"headerWait":3000,"idleWait":15000}  |
      | {"idleGuardMs":20500.5,"another":"x"}                                                          | {"headerBytes":65536,"bodyBytes":16777216,"headerWait":10000,"idleWait":20501} |
      | {"maxHeaderBytes":0,"maxBodyBytes":99999999999}                                                | {"headerBytes":65536,"bodyBytes":1073741824,"headerWait":10000,"idleWait":14000} |
      | null                                                                                           | {"headerBytes":65536,"bodyBytes":16777216,"headerWait":10000,"idleWait":14000} |

  Scenario: headers of a request are parsed and forwarded to a runner
    When a request with headers is parsed and forwarded to a runner
    Then the parsed request has its id, sizes, parts and deadline
    And the runner gets all headers except hop-by-hop ones, with the remaining time, its own id and the rank

  Scenario: a settings file with unknown fields is accepted
    When a settings file with unknown fields is read
    Then seeds use the first internal port, and addresses and names follow the file
