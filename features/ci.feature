@sockets
Feature: The verdict of CI
  KNOWN-RED.txt names the scenarios that CI passes over: three at most, each with its cause and its
  issue, and only while it fails. The list of system packages names all that the build needs.

  Scenario Outline: <case>
    Given a report in which "good" passes and "bad one", "bad two", "bad three", "bad four" fail
    And a list of known failures that holds <lines>
    When the verdict is counted
    Then it is "<verdict>"

    Examples:
      | case                                             | lines                                                                                                     | verdict            |
      | without a list every failure counts              | nothing                                                                                                   | 1 passed, 4 failed |
      | listed failures are passed over                  | "f: bad one \| cause \| issue 1" and "f: bad two \| cause \| issue 1" and "f: bad three \| cause \| issue 1" | 1 passed, 1 failed |
      | a fourth line fails                              | "f: bad one \| c \| i" and "f: bad two \| c \| i" and "f: bad three \| c \| i" and "f: bad four \| c \| i"    | 1 passed, 1 failed |
      | a line without its issue fails and hides nothing | "f: bad one \| cause"                                                                                      | 1 passed, 5 failed |
      | a listed scenario that passes fails              | "f: good \| cause \| issue 1"                                                                              | 1 passed, 5 failed |
      | a listed scenario that is not there fails        | "f: gone \| cause \| issue 1"                                                                              | 1 passed, 5 failed |
      | a line twice fails                               | "f: bad one \| c \| i" and "f: bad one \| c \| i"                                                            | 1 passed, 4 failed |

  Scenario: Failures of every report count
    Given a report in which "good" passes and "bad one", "bad two" fail
    And another report in which "good too" passes and "bad three" fail
    And a list of known failures that holds "f: bad one | cause | issue 1"
    When the verdict is counted
    Then it is "2 passed, 2 failed"

  Scenario Outline: A report <state> is a failure
    Given a report in which "good" passes and "bad" fail
    And another report <state>
    And a list of known failures that holds "f: bad | cause | issue 1"
    When the verdict is counted
    Then it is "1 passed, 1 failed"

    Examples:
      | state                 |
      | that is not there     |
      | without any scenario  |

  Scenario: Every shared library that the programs load is of a listed package
    When the list of packages is checked against what the programs load
    Then the check passes

  Scenario: A package that is needed and not listed is named
    When the check is made without "libstdc++6" on the list
    Then the check fails and names "libstdc++"
