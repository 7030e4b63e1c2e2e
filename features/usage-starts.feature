Feature: A request counts for its tenant in the window in which a runner began to work on it

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

    # Guards against a report that is off at the borders of windows: a request belongs where it began, not where it ended.
    Scenario: A request that went out in one window and is answered in the next counts in the first
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

    # Guards against a try counted twice because it went on at another runner.
    Scenario: A stream that goes on at another runner counts once
      When "q1" arrives at "/long/x" with the credential "n-1"
      And the runner of "q1" streams events 1 to 3
      And the go of "q1" breaks
      And 1000 ms pass
      And the runner of "q1" streams events 4 to 6
      Then 1 request of "north" is counted in window 1000
      And 0 requests of "north" are counted in window 1001

    Scenario: A stream that breaks before its first event did not begin, as far as can be seen
      When "q1" arrives at "/long/x" with the credential "n-1"
      And the runner of "q1" streams no events
      And the go of "q1" breaks
      Then 0 requests of "north" are counted in window 1000

    Scenario: What a runner refused did not begin there, and counts where another one began
      When "q1" arrives at "/fetch/x" with the credential "n-1"
      And the go of "q1" is refused with a wait of 0.5 s
      Then 0 requests of "north" are counted in window 1000
      When the runner of "q1" answers 200 with "bytes"
      Then 1 request of "north" is counted in window 1000

    Scenario: What breaks off in the middle of its result had begun
      When "q1" arrives at "/pay/x" with the credential "s-1"
      And the go of "q1" gets a head and "half"
      And the go of "q1" breaks
      Then 1 request of "south" is counted in window 1000

    # Guards against a tenant charged by the name of a credential: those that are added or taken away change nothing.
    Scenario: Requests count for the tenant, whichever credential they came with, and also after it was taken away
      When "q1" arrives at "/fetch/x" with the credential "n-1"
      And "q2" arrives at "/fetch/x" with the credential "n-2"
      And the tenants
        | name  | credentials | rank |
        | north | n-2         |      |
        | south | s-1         |      |
      And the runner of "q1" answers 200 with "bytes"
      And the runner of "q2" answers 200 with "bytes"
      Then 2 requests of "north" are counted in window 1000

    Scenario: Requests without a tenant don't count
      When "q1" arrives at "/open/x" with the credential ""
      And the runner of "q1" answers 200 with "bytes"
      Then no request is counted
