Feature: A request counts for its tenant in the window in which a runner started it

  Rule: What counts, and when (virtual time)

    Background:
      Given passages
        | name  | host         | prefix  | kind   | pools   | gos | guard | aim | resumable | rank | keyless |
        | fetch | shop.example | /fetch/ | safe   | plain 1 | 2   | 1000  | 100 | no        | 3    | no      |
        | pay   | shop.example | /pay/   | once   | plain 1 | 3   | 1000  | 100 | no        | 3    | no      |
        | long  | shop.example | /long/  | stream | model 1 | 3   | 3000  | 200 | yes       | 3    | no      |
        | open  | shop.example | /open/  | safe   | plain 1 | 2   | 1000  | 100 | no        | 3    | yes     |
      And runners
        | id | pool  |
        | p1 | plain |
        | p2 | plain |
        | m1 | model |
        | m2 | model |
      And the tenants
        | name  | credentials | rank |
        | north | n-1, n-2    |      |
        | south | s-1         |      |
      And starts are counted in windows of 1 s, of which window 1000 begins now

    # Guards against wrong reports at window boundaries: a request counts in the window in which it started, not in which it ended.
    Scenario: A request sent in one window and answered in the next counts in the first
      When 900 ms pass
      And "q1" arrives at "/pay/x" with the credential "n-1"
      Then the go of "q1" may start
      When 200 ms pass
      And the runner of "q1" answers 200 with "paid"
      Then 1 request of "north" is counted in window 1000
      And 0 requests of "north" are counted in window 1001

    Scenario: A stream counts in the window of its first event
      When 900 ms pass
      And "q1" arrives at "/long/x" with the credential "n-1"
      Then the go of "q1" may start
      When 50 ms pass
      And the runner of "q1" streams no events
      And 100 ms pass
      Then 0 requests of "north" are counted in window 1000
      When the runner of "q1" streams events 1 to 3
      Then 0 requests of "north" are counted in window 1000
      And 1 request of "north" is counted in window 1001

    # Guards against counting a stream twice when it is resumed at another runner.
    Scenario: A stream that is resumed at another runner counts once
      When "q1" arrives at "/long/x" with the credential "n-1"
      And the runner of "q1" streams events 1 to 3
      And the go of "q1" breaks
      And 1000 ms pass
      And the runner of "q1" streams events 4 to 6
      Then 1 request of "north" is counted in window 1000
      And 0 requests of "north" are counted in window 1001

    Scenario: A stream that breaks before its first event is not counted
      When "q1" arrives at "/long/x" with the credential "n-1"
      And the runner of "q1" streams no events
      And the go of "q1" breaks
      Then 0 requests of "north" are counted in window 1000

    Scenario: A request that a runner refused counts once another runner starts it
      When "q1" arrives at "/fetch/x" with the credential "n-1"
      And the go of "q1" is refused with a wait of 0.5 s
      Then 0 requests of "north" are counted in window 1000
      When the runner of "q1" answers 200 with "bytes"
      Then 1 request of "north" is counted in window 1000

    Scenario: A request that breaks in the middle of its result is counted
      When "q1" arrives at "/pay/x" with the credential "s-1"
      And the go of "q1" gets a head and "half"
      And the go of "q1" breaks
      Then 1 request of "south" is counted in window 1000

    # Guards against charging by credential instead of tenant: adding or removing a credential must not change the counts.
    Scenario: Requests count for the tenant, whichever credential they used, even after that credential was removed
      When "q1" arrives at "/fetch/x" with the credential "n-1"
      And "q2" arrives at "/fetch/x" with the credential "n-2"
      And the tenants
        | name  | credentials | rank |
        | north | n-2         |      |
        | south | s-1         |      |
      And the runner of "q1" answers 200 with "bytes"
      And the runner of "q2" answers 200 with "bytes"
      Then 2 requests of "north" are counted in window 1000

    Scenario: Requests without a tenant are not counted
      When "q1" arrives at "/open/x" with the credential ""
      And the runner of "q1" answers 200 with "bytes"
      Then no request is counted
