@sockets
Feature: a small system started through the adapter
  Real processes on loopback addresses, started from settings files of the platform, with stand-in runners and an operator (docs/platform.md).

  Scenario: the whole path, a change said again, an emptied machine and a stop
    Given a system of 3 core, 4 storage and 2 access machines with 2 model runners and 1 plain runner
    When the first document is sent to a core machine until it is taken
    Then the access machines say that they are ready
    And a safe request is answered with the runner's bytes and stamp
    And a stream comes whole, event by event
    And a lot of 6 items ends with every item once, in an order that does not change
    And reads of the lot from each of "0.5 -1 1e3 x 9007199254740993" are answered 400, and every machine goes on
    And calls for runners of the ids "% %zz a%2" are answered 400, and to end those of "~ x~y~z __proto__ constructor" 200
    And a request nobody has a route for is answered 404
    And our own status tells the nodes and runners
    When the same document is sent again
    Then it is answered 200, and an older base 412, and a cut one 400
    When a runner says that it is draining
    Then no request reaches it any more
    When an access machine is told to stop while a stream runs
    Then the stream of the stopped machine comes whole, and it ends with 0
    When a storage machine is to be emptied
    Then its state turns to completed, and the lot is read as before

  Scenario: an access machine frozen around the moment of sending
    Given a system of 3 core, 3 storage and 1 access machines with 0 model runners and 3 plain runner
    When the first document is sent to a core machine until it is taken
    And callers send calls that may run once, while the access machine is frozen 12 times and the runners reset its connections
    Then in 8 freezes or more runners reset connections with calls under way
    And each call was answered as its own, ran once at most, and not where the answer promised so
    When its settings file is spoilt without a signal, and with one
    Then the access machine serves on
