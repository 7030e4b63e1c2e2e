Feature: Live inquiries pass through to runners byte for byte

  Rule: What is told to a caller (virtual time)

    Background:
      Given passages
        | name   | host         | prefix   | kind   | pools              | gos | guard | aim | resumable |
        | fetch  | shop.example | /fetch/  | safe   | plain 1            | 2   | 1000  | 100 | no        |
        | pay    | shop.example | /pay/    | once   | plain 1            | 3   | 1000  | 100 | no        |
        | read   | shop.example | /read/   | stream | model 1            | 2   | 3000  | 200 | no        |
        | long   | shop.example | /long/   | stream | model 1            | 3   | 3000  | 200 | yes       |
        | deep   | shop.example | /read/b/ | safe   | other 1            | 1   | 1000  | 100 | no        |
        | split  | even.example | /        | safe   | plain 90, other 10 | 1   | 1000  | 100 | no        |
      And runners
        | id | pool  |
        | p1 | plain |
        | p2 | plain |
        | p3 | plain |
        | m1 | model |
        | m2 | model |
        | m3 | model |
        | o1 | other |

    Scenario: The longest prefix that begins the path chooses the passage
      When "q1" arrives for "Shop.Example:80" at "/read/b/x?y=/fetch/"
      Then "q1" is sent to the pool "other"
      When "q2" arrives for "shop.example" at "/read/bx"
      Then "q2" is sent to the pool "model"

    Scenario: What is surely not there is not found, and a node that may not serve says so
      When "q1" arrives for "shop.example" at "/nowhere/x"
      Then the caller of "q1" gets "refused 404"
      Given the node may not serve
      When "q2" arrives for "shop.example" at "/nowhere/x"
      Then the caller of "q2" gets "refused 503 after 0.35"

    Scenario: A node without a lease may lack passages that were added, so it calls none unknown
      Given the node serves without a lease
      When "q1" arrives for "shop.example" at "/nowhere/x"
      Then the caller of "q1" gets "refused 503 after 0.35"
      When "q2" arrives for "shop.example" at "/fetch/x"
      Then "q2" is sent to the pool "plain"

    Scenario: Weights share inquiries over pools, and one of no weight gets none
      When 2000 inquiries arrive for "even.example" at "/x"
      Then 160 to 240 of them are sent to the pool "other"
      Given the weights of "split" are "plain 1, other 0"
      When 500 inquiries arrive for "even.example" at "/x"
      Then 0 to 0 of them are sent to the pool "other"

    Scenario: A result is passed on with its head, and one without a stamp never is
      When "q1" arrives for "shop.example" at "/pay/x"
      And the runner of "q1" answers 200 with "body"
      Then the caller of "q1" gets "head 200; body; end"
      When "q2" arrives for "shop.example" at "/pay/x"
      And the runner of "q2" answers 200 without a stamp
      Then the caller of "q2" gets "refused 502"
      And the link of "q2" is broken off

    Scenario: A runner's own word on the inquiry is passed on, its unproved promises are not
      When "q1" arrives for "shop.example" at "/pay/x"
      And the runner of "q1" answers 422 with "no"
      Then the caller of "q1" gets "head 422; no; end"
      When "q2" arrives for "shop.example" at "/pay/x"
      And the runner of "q2" answers 503 with "busy"
      Then the caller of "q2" gets "refused 502"

    Scenario: What may run once goes on only where it surely did not run
      When "q1" arrives for "shop.example" at "/pay/x"
      And the go of "q1" is refused with a wait of 0.4 s
      And the go of "q1" was not sent
      And the runner of "q1" answers 200 with "paid"
      Then the caller of "q1" gets "head 200; paid; end"
      And "q1" was sent to 3 runners
      When "q2" arrives for "shop.example" at "/pay/x"
      And the go of "q2" breaks
      Then the caller of "q2" gets "refused 502"
      And "q2" was sent to 1 runner

    Scenario: Refused by as many runners as it may be sent to, it is given back with a promise
      When "q1" arrives for "shop.example" at "/pay/x"
      And the go of "q1" is refused with a wait of 0.4 s
      And the go of "q1" is refused with a wait of 0.3 s
      And the go of "q1" is refused with a wait of 0.5 s
      Then the caller of "q1" gets "refused 503 after 0.3"
      And "q1" was sent to 3 runners

    Scenario: What may be repeated goes on after anything, and the last word is the runner's
      When "q1" arrives for "shop.example" at "/fetch/x"
      And the go of "q1" breaks
      And the runner of "q1" answers 200 with "label"
      Then the caller of "q1" gets "head 200; label; end"
      When "q2" arrives for "shop.example" at "/fetch/x"
      And the runner of "q2" answers 500 with "first"
      And the runner of "q2" answers 500 with "second"
      Then the caller of "q2" gets "head 500; second; end"
      And "q2" was sent to 2 runners

    Scenario: A body that was cut is not shown
      When "q1" arrives for "shop.example" at "/pay/x"
      And the go of "q1" gets a head and "half a bo"
      And the go of "q1" breaks
      Then the caller of "q1" gets "refused 502"

    Scenario: A refusal by one runner and a break at the next is no promise
      When "q1" arrives for "shop.example" at "/pay/x"
      And the go of "q1" is refused with a wait of 0.4 s
      And the go of "q1" breaks
      Then the caller of "q1" gets "refused 502"

    Scenario: A goodbye between the choice and the first byte
      When "q1" arrives for "shop.example" at "/pay/x"
      And the runner of "q1" says goodbye
      Then the go of "q1" may not start: "the runner is gone"
      When the go of "q1" was not sent
      Then "q1" was sent to 2 runners
      And the go of "q1" may start

    Scenario: The deadline is the shorter of guard and patience, and shrinks on the way
      When "q1" arrives for "shop.example" at "/pay/x" with a patience of 400 ms
      Then the runner of "q1" has 400 ms
      When 150 ms pass
      And the go of "q1" is refused with a wait of 0.1 s
      Then the runner of "q1" has 250 ms
      When the go of "q1" may start
      And 250 ms pass
      Then the caller of "q1" gets "refused 504"
      When "q2" arrives for "shop.example" at "/pay/x" with a patience of 9000 ms
      Then the runner of "q2" has 1000 ms

    Scenario: Given up before it was sent, it is a promise
      When "q1" arrives for "shop.example" at "/pay/x" with a patience of 400 ms
      And 400 ms pass
      Then the caller of "q1" gets "refused 503 after 0.15"
      And the go of "q1" may not start: "it is not wanted any more"

    Scenario: Events come one by one, and the end after the last
      When "q1" arrives for "shop.example" at "/read/x"
      And the runner of "q1" streams events 1 to 3
      Then the caller of "q1" gets "head 200; event 1; event 2; event 3"
      When the go of "q1" ends
      Then the caller of "q1" gets "head 200; event 1; event 2; event 3; end"

    Scenario: A stream that may not be resumed is cut where it breaks
      When "q1" arrives for "shop.example" at "/read/x"
      And the runner of "q1" streams events 1 to 3
      And the go of "q1" breaks
      Then the caller of "q1" gets "head 200; event 1; event 2; event 3; cut"
      And "q1" was sent to 1 runner

    Scenario: A stream that breaks before its first event is no cut
      When "q1" arrives for "shop.example" at "/read/x"
      And the runner of "q1" streams no events
      And the go of "q1" breaks
      Then the caller of "q1" gets "refused 502"

    Scenario: A resumable stream goes on elsewhere with no event missing or doubled
      When "q1" arrives for "shop.example" at "/long/x"
      And the runner of "q1" streams events 1 to 3
      And the go of "q1" breaks
      Then the go of "q1" goes on after event 3
      When the runner of "q1" streams events 2 to 5
      And the go of "q1" ends
      Then the caller of "q1" gets "head 200; event 1; event 2; event 3; event 4; event 5; end"
      And "q1" was sent to 2 runners

    Scenario: A resumable stream is cut when no runner can go on
      When "q1" arrives for "shop.example" at "/long/x"
      And the runner of "q1" streams events 1 to 2
      And the go of "q1" breaks
      And the runner of "q1" answers 500 with "trouble"
      And the go of "q1" is refused with a wait of 0.1 s
      Then the caller of "q1" gets "head 200; event 1; event 2; cut"
      And "q1" was sent to 3 runners

    Scenario: Events without numbers cannot be resumed
      When "q1" arrives for "shop.example" at "/long/x"
      And the runner of "q1" streams an event without a number
      And the go of "q1" breaks
      Then the caller of "q1" gets "head 200; event; cut"

    Scenario: A caller goes on with a stream after the event that it had
      When "q1" arrives for "shop.example" at "/long/x" after event 4
      Then the go of "q1" goes on after event 4

    Scenario: A slow reader holds up its own runner alone
      When "q1" arrives for "shop.example" at "/read/x"
      And the caller of "q1" reads slowly
      Then the link of "q1" pauses
      When the caller of "q1" reads again
      Then the link of "q1" goes on

    Scenario: A caller who leaves frees the runner
      When "q1" arrives for "shop.example" at "/read/x"
      And the caller of "q1" leaves
      Then the link of "q1" is broken off
      And nothing is under way

    Scenario: Without a runner it waits a short part of its aim, then is given back at once
      Given no runner of "model" is known
      When "q1" arrives for "shop.example" at "/read/x"
      Then the caller of "q1" gets ""
      When 50 ms pass
      Then the caller of "q1" gets "refused 503 after 0.35"
      When "q2" arrives for "shop.example" at "/read/x"
      And the runner "m9" of "model" is heard of
      And 30 ms pass
      Then "q2" is sent to the pool "model"

    Scenario: A runner in trouble is passed by
      Given the runner "p1" refuses all
      When 30 inquiries arrive for "shop.example" at "/fetch/x"
      Then 1 of them were sent to "p1" first

    Scenario: What may be repeated leaves a runner that gives no sign
      When "q1" arrives for "shop.example" at "/long/x"
      And the runner of "q1" streams events 1 to 2
      And 300 ms pass
      Then "q1" was sent to 1 runner
      When 150 ms pass
      Then the link of "q1" was broken off
      And the go of "q1" goes on after event 2
      When "q2" arrives for "shop.example" at "/read/x"
      And the go of "q2" may start
      And 300 ms pass
      And 300 ms pass
      Then "q2" was sent to 1 runner

    Scenario: Shared parts of prompts go where they were read
      When 20 inquiries with the shared part "manual" of 13000 tokens arrive for "shop.example" at "/read/x", one after the other
      Then all of them are sent to one runner

    Scenario: Shared parts go elsewhere when their runner is busy for longer than reading them takes
      When 60 inquiries with the shared part "manual" of 13000 tokens arrive for "shop.example" at "/read/x", all at once
      Then they are sent to 3 runners

    Scenario: A runner whose first signs are late gets less
      Given the first sign of "p1" takes 200 ms, and of the others 20 ms
      When 60 inquiries arrive for "shop.example" at "/fetch/x", one after the other
      Then 1 to 12 of them are sent to the runner "p1"

    Scenario: What other nodes have under way counts
      Given another node has 9 live inquiries at "p1" and 9 at "p2"
      When 5 inquiries arrive for "shop.example" at "/fetch/x"
      Then 5 to 5 of them are sent to the runner "p3"

    Scenario: Long prompts keep to runners of their own, and streams beside each other are short ones
      Given runners
        | id | pool  |
        | m4 | model |
        | m5 | model |
        | m6 | model |
      When 12 inquiries of 20000 tokens and 30 of 500 tokens arrive for "shop.example" at "/read/x" in turn
      Then no runner has both

    Scenario: Nodes share the connections that a pool allows
      Given the pool "plain" allows 100 connections
      And another node has 6 live inquiries at "p1" and 6 at "p2"
      Then this node may have 45 connections to "p1"

    Scenario: The choices of a node are counted by parts kept and by connections
      Given the pool "model" allows 7 connections
      And another node has 0 live inquiries at "m1" and 0 at "m2"
      And a connection to "m1" is open
      When 5 inquiries with the shared part "manual" of 13000 tokens arrive for "shop.example" at "/read/x", all at once
      Then all of them are sent to one runner
      And the counts of its choices are
        | count              | value |
        | sharedAtHome       | 5     |
        | sharedUnread       | 0     |
        | sharedTokensUnread | 0     |
        | connectionOpen     | 1     |
        | connectionNew      | 2     |
        | connectionAwaited  | 2     |
        | noRunner           | 0     |

    Scenario: Items leave room for live work
      When 10 inquiries arrive for "shop.example" at "/read/x"
      Then the room for items on "model" falls by 10

  @sockets
  Rule: Links to runners (real sockets)

    Scenario: A connection is kept, and not past the time that the runner told
      Given a runner that answers each inquiry
      When 3 works run one after the other
      Then each has the result "whole"
      And the runner saw 1 connection
      Given it tells that it keeps connections 1 s
      When 2 works run one after the other, 900 ms apart
      Then the runner saw 2 connections

    Scenario: The works of a node share what connections it may have
      Given a runner that answers each inquiry
      And the node may have 2 connections
      When 6 works run at once
      Then each has the result "whole"
      And the runner saw 2 connections

    Scenario Outline: What is not the runner's whole result to this inquiry never looks like it
      Given a runner that <does>
      When a work runs
      Then its last word is "<word>"
      And the runner's connection is ended

      Examples:
        | does                                        | word   |
        | answers for another inquiry                 | broken |
        | answers without an id                       | broken |
        | cuts the body short                         | broken |
        | cuts a chunked body short                   | broken |
        | sends what is not an answer                 | broken |
        | closes after the inquiry                    | broken |
        | resets after the inquiry                    | broken |
        | encodes the body                            | broken |
        | ends the body with the connection alone     | broken |
        | ends the stream within an event             | broken |
        | ends a body of unknown coding by closing    | broken |
        | tells a status that does not exist          | broken |
        | switches protocols unasked                  | broken |

    Scenario: An answer too many belongs to nobody
      Given a runner that answers twice
      When 2 works run one after the other
      Then each has the result "whole"
      And the runner saw 2 connections

    Scenario: An answer too many that comes late is known by its id
      Given a runner that answers the second inquiry for the first
      When 2 works run one after the other
      Then their last words are "end, broken"

    Scenario: Refused, then served
      Given a runner that refuses the first inquiry
      When 2 works run one after the other
      Then their last words are "refused, end"
      And the runner saw 1 connection

    Scenario: Nothing went out where nobody listens, or where the last look said no
      Given a runner that is gone
      When a work runs
      Then its last word is "unsent"
      Given a runner that answers each inquiry
      And the last look says "the runner is gone"
      When a work runs
      Then its last word is "unsent"
      And the runner saw no inquiry

    Scenario: The last look is taken again right before the first byte
      Given a runner that answers each inquiry
      When a work runs
      And the last look says "the lot is ended" from the second time on, and a work runs
      Then their last words are "end, unsent"
      And the runner read one inquiry

    Scenario: This process stands still between the look and the first byte
      Given a runner that answers each inquiry
      When a work runs
      And a work begins and this process stands still for 150 ms
      Then their last words are "end, unsent"
      And the runner read one inquiry

    Scenario: What hangs in a socket when a work is given up is not delivered later
      Given a runner that reads nothing for now
      When a work with a body of 2000000 bytes hangs in the socket and is given up
      And the runner reads all that comes
      Then it reads less than the whole work

    Scenario: A connection that carried an id is not used for the same id again
      Given a runner that answers the inquiry before once more with each
      When 2 works of one id run one after the other
      Then each has the result "whole"
      And the runner saw 2 connections

    Scenario: A runner that closes its idle connection costs no work
      Given a runner that closes each connection after its answer
      When 3 works run one after the other
      Then each has the result "whole"
      And the runner saw 3 connections

    Scenario: Events are cut whole out of the bytes, however these come
      Given a runner that streams 4 events byte by byte
      When a work runs as a series of events
      Then it told the events 1 to 4 whole

    # Guards against an answer without an event that fills the memory of the node (review/5).
    Scenario: A runner that sends bytes without an event is cut off
      Given a runner that streams bytes that make no event
      When a work runs as a series of events
      Then the work is broken as its event is too large, and nothing of it is kept
      And the runner's connection is ended

    Scenario: A slow reader holds up the runner
      Given a runner that streams without end
      When a work runs as a series of events and its reader pauses
      Then the runner is held up
      When the reader goes on
      Then more events come

    Scenario: A work that is given up ends its connection
      Given a runner that never answers
      When a work runs
      And it is given up
      Then the runner's connection is ended

    Scenario: Method, path, headers and body arrive as they came
      Given a runner that answers each inquiry
      When a work runs with the body "a b c" and the header "X-Own" "1"
      Then the runner read "POST /run/x?y=1", "X-Own: 1" and "a b c"
