Feature: a database whose pages lost their contents does not keep its machine out
  lmdb trusts the pages that it maps, so the pages are checked before it does: a start that it would end with a signal would end so again
  at each start (docs/design.md §10.2).

  # Guards against a machine that a spoilt page ends with SIGSEGV or SIGABRT at each of its starts.
  Scenario Outline: pages <contents>
    Given the data folder of a storage machine with many records
    When each page in turn holds <contents>, and the machine starts and writes
    Then no start ends with a signal
    And each machine has its database, or is a replacement that keeps the damaged one

    Examples:
      | contents                       |
      | zeros                          |
      | ones                           |
      | random bytes                   |
      | the page before it             |
      | one wrong word in each place   |

  # Guards against a sound database that is set aside as cut off, on the one machine that may hold all.
  Scenario: a file that ends before its last pages, which are free, is sound
    Given the data folder of a storage machine with many records, of which the last were removed
    When the file is cut off after its last page in use
    Then the machine starts with its database, and has all that it writes after the next start
    When the file is cut off before its last page in use
    Then the machine is a replacement that keeps the damaged database

  # Guards against a check that sets a sound database aside.
  Scenario: databases that lmdb wrote pass, whatever was written
    When databases are written with drawn records and starts in between
    Then the check finds no damage after any of their commits
