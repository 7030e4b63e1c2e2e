Feature: a start that is cut short is a start again
  A folder belongs to its machine from its first durable transaction on. Before it nothing was promised, so whatever a killed start or
  a loss of power leaves is begun anew; after it nothing is lost (docs/design.md §10.2).

  # Guards against review/4: such a folder was refused at each start, so that the next lost disk took the configuration.
  Scenario Outline: a process was killed between creating its database and the first transaction: <kind>, <folder>
    Given the data folder of a <kind> machine that <folder>
    When its process is killed between creating the database and the first transaction
    Then it starts again as a new machine that <may> found a group

    Examples:
      | kind    | folder                                   | may     |
      | control | is empty                                 | may     |
      | storage | is empty                                 | may     |
      | control | holds a damaged database                 | may not |
      | storage | holds a damaged database                 | may not |
      | control | holds a database set aside               | may not |
      | storage | holds a database set aside               | may not |
      | control | holds a marker without its database      | may not |
      | storage | holds a marker without its database      | may not |

  Scenario Outline: kills and losses of power around each write of the starts of a <kind> machine
    Given the data folder of a <kind> machine that <folder>
    When its starts are cut short at each write, again and again, by a kill or a loss of power
    Then each folder that they leave starts again
    And <what> is kept each time
    And it is a <machine> each time

    Examples:
      | kind    | folder                                                   | what                   | machine         |
      | control | is empty                                                 | nothing                | first machine   |
      | storage | is empty                                                 | nothing                | first machine   |
      | control | holds a sound database                                   | the sound database     | first machine   |
      | storage | holds a sound database                                   | the sound database     | first machine   |
      | control | holds a sound database without its marker                | the sound database     | first machine   |
      | control | holds a damaged database                                 | the damaged database   | replacement     |
      | storage | holds a damaged database                                 | the damaged database   | replacement     |
      | control | holds a damaged database and an older one set aside      | the damaged database   | replacement     |
      | control | holds a database whose pages are zeros                   | the damaged database   | replacement     |
      | control | holds a database without its first meta page             | the damaged database   | replacement     |
      | control | holds a database without its second meta page            | the damaged database   | replacement     |
      | control | holds a database without its metadata record             | the damaged database   | replacement     |
      | control | holds a database set aside                               | the database set aside | replacement     |
      | storage | holds a database set aside                               | the database set aside | replacement     |
      | control | holds a database set aside beside its marker             | the database set aside | replacement     |
      | storage | holds a database set aside beside its marker             | the database set aside | replacement     |
      | control | holds a replacement beside the database set aside        | the sound database     | replacement     |
      | control | holds a marker without its database                      | nothing                | replacement     |
      | storage | holds a marker without its database                      | nothing                | replacement     |
      | control | holds a marker beside a database without a transaction   | nothing                | replacement     |
      | control | holds a marker beside an empty file                      | nothing                | replacement     |
      | control | holds a marker, an empty file and a database set aside   | the database set aside | replacement     |

  Scenario: a marker that was not synced is synced by the next start
    Given the data folder of a control machine that holds a sound database
    When its process is killed before its marker is synced, and it starts again
    Then a loss of power does not take the marker

  Scenario: a disk that fails to return a database for a moment loses nothing
    Given the data folder of a storage machine that holds a sound database
    When its disk fails to return the database 4 times
    Then it starts with the sound database

  Scenario: a database that its disk never returns is set aside
    Given the data folder of a storage machine that holds a sound database
    When its disk fails to return the database 1000 times
    Then it starts again as a new machine that may not found a group
    And the database is set aside

  Scenario: a lack of descriptors or memory at a start does not set a database aside
    Given the data folder of a storage machine that holds a sound database
    When its process may open no further file for the database
    Then the start fails
    And the next start has the sound database

  Scenario: the lock of a process that ended with its machine does not hold
    Given the data folder of a control machine that holds a sound database
    When its lock names a process of an earlier start of the machine with the id and the start time of one that runs now
    Then it starts with the sound database

  Scenario: the lock of a running process holds
    Given the data folder of a control machine that holds a sound database
    When its lock names another process that runs now
    Then it is refused as in use
