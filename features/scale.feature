Feature: what each role costs by size
  `npm run scale` draws a line through at least three sizes for each cost of each role (docs/CAPACITY.md): real cores, chains
  and folders, hollow nodes and runners beside them. Here at tiny sizes, without processes of its own.

  Scenario: a run at tiny sizes tells lines for every role
    When the scale run is made at tiny sizes
    Then every role has lines for bytes and for the processor
    And every line goes through at least three sizes, with numbers all of them
    And at full size there is a value for every line of the tables
    And the tables name all roles, and where something breaks

  Scenario: a line is what it should be, or none
    Given 100 bytes for each node, measured at 10, 20 and 40 nodes
    Then the line through them gives 100 for each node and nothing besides
    And a line through two sizes for two variables is refused
