Feature: lots of passages on their queue's owner
  Submitting, dequeuing, settling and ending are atomic, under the queue's token bucket (docs/design.md §13.7).

  Background:
    Given a passage's queue with 10 tokens per 1 s, bursts of 10, and 1000 tokens that may wait

  Scenario: a lot is accepted once, whatever is submitted under its id
    When the lot "a" with 3 items of 10 tokens is handed in
    And the lot "a" with 3 items of 10 tokens is handed in
    Then the tellings are HANDED, HANDED again
    And 3 items wait in the queue

  Scenario: an id with slashes and dots is restored from its keys unchanged
    When the lot "x/0/a.b" with 2 items of 10 tokens is handed in
    And 2 prompts are drawn
    And the machine starts again from its records
    Then the claims under way are 0 and 1 of "x/0/a.b"

  Scenario: the allowance is exact to the token, and running items count as waiting
    When the lot "a" with 2 items of 400 tokens is handed in
    And 1 prompt is drawn
    And the lot "b" with 1 items of 201 tokens is handed in
    And the lot "c" with 1 items of 200 tokens is handed in
    Then the tellings are HANDED, NO_ROOM, HANDED
    When the drawn prompt ends as solved
    And the lot "b" with 1 items of 201 tokens is handed in
    Then the last telling is HANDED

  Scenario: a final refusal holds for earlier transmissions of the request, and not for the lot's next request
    When the lot "a" with 2 items of 400 tokens is handed in
    And 1 prompt is drawn
    And sending "t" of the lot "b" with 1 items of 300 tokens is handed in again
    And the drawn prompt ends as solved
    And the machine starts again from its records
    And sending "t" of the lot "b" with 1 items of 300 tokens is handed in
    And sending "u" of the lot "b" with 1 items of 300 tokens is handed in
    Then the tellings are HANDED, NO_ROOM, SETTLED, NO_ROOM, HANDED
    When 60000 ms pass on the ledger
    Then no refused sending is remembered any more

  Scenario: an ended lot uses no allowance, and its items are not dequeued any more
    When the lot "a" with 3 items of 300 tokens is handed in
    And 1 prompt is drawn
    And the lot "a" is ended
    And the lot "a" is ended
    Then the last telling is ENDED
    And nothing is drawn
    When the lot "b" with 1 items of 1000 tokens is handed in
    Then the last telling is HANDED
    When the drawn prompt ends as solved
    Then the last telling is SETTLED, with 1 stale

  Scenario: a batch takes no more items than there are tokens, and returns the exact wait
    When the lot "a" with 30 items of 10 tokens is handed in
    And 8 prompts are drawn
    And 8 prompts are requested
    Then 2 prompts came, and then RATE_LIMITED with a wait of 100 ms
    When 100 ms pass on the ledger
    And 8 prompts are requested
    Then 1 prompts came, and then RATE_LIMITED with a wait of 100 ms

  Scenario: a batch that empties the queue reports it, and unused tokens stay
    When the lot "a" with 2 items of 10 tokens is handed in
    And 8 prompts are requested
    Then 2 prompts came, and then EMPTY
    And 8 tokens of the bucket are left

  Scenario: prompts of a passage without free capacity keep their position and cost no token
    When the lot "a" with 2 items of 10 tokens is handed in
    And 8 prompts of another passage are requested
    Then 0 prompts came, and then EMPTY
    And 10 tokens of the bucket are left

  Scenario: an unsent prompt returns to its position, and its token is returned
    When the lot "a" with 2 items of 10 tokens is handed in
    And 1 prompt is drawn
    And the drawn prompt ends as unsent
    Then 10 tokens of the bucket are left
    And the next prompt is item 0 of "a", from its start

  Scenario: a broken run resumes after its last event, and the texts are joined exactly
    When the lot "a" with 1 items of 10 tokens is handed in
    And 1 prompt is drawn
    And the drawn prompt breaks after event 2 with "one" and "two"
    Then the next prompt is item 0 of "a", after event 2
    When the drawn prompt breaks after event 3 with "three"
    And 1 prompt is drawn
    And the drawn prompt breaks without an event
    Then the next prompt is item 0 of "a", after event 3
    When the drawn prompt ends as solved
    Then position 0 of "a" is item 0, solved with "one/two/three/done"

  Scenario: a runner's own failures count up to the passage's maximum, and broken connections don't
    When the lot "a" with 1 items of 10 tokens is handed in
    And it fails, breaks, fails and breaks
    Then "a" lists nothing
    When it fails
    Then position 0 of "a" is item 0, failed

  Scenario: an item that can never succeed fails at once
    When the lot "a" with 1 items of 10 tokens is handed in
    And 1 prompt is drawn
    And the drawn prompt ends as never
    Then position 0 of "a" is item 0, failed

  Scenario: unfinished items fail at their deadline, and not before
    When the lot "a" with 2 items of 10 tokens is handed in
    And 1 prompt is drawn
    And 39000 ms pass on the ledger
    Then "a" lists nothing
    When 6001 ms pass on the ledger
    Then position 0 of "a" is item 0, failed
    And position 1 of "a" is item 1, failed

  Scenario: results keep their position and content, read from any position, across a restart
    When the lot "a" with 3 items of 10 tokens is handed in
    And 3 prompts are drawn
    And they end as solved in reverse order
    Then "a" lists items 2, 1, 0 from position 0
    And "a" lists items 1, 0 from position 1
    # Guards against issue 50: a read from such a position ended the owner of the queue.
    And "a" lists items 1, 0 from position 0.5
    And "a" lists items 2, 1, 0 from position -1
    When the machine starts again from its records
    Then "a" lists items 2, 1, 0 from position 0

  Scenario: a body can be read until its item is listed or its lot ended
    When the lot "a" with 3 items of 10 tokens is handed in
    And 1 prompt is drawn
    Then the bodies of items 0, 1, 2 of "a" are told
    When the drawn prompt ends as solved
    Then the bodies of items 1, 2 of "a" are told
    When the lot "a" is ended
    Then no body of "a" is told

  Scenario: finished lots stay readable for 15 minutes, and are not accepted anew for a day
    When the lot "a" with 1 items of 10 tokens is handed in
    And 1 prompt is drawn
    And the drawn prompt ends as solved
    And 899000 ms pass on the ledger
    Then position 0 of "a" is item 0, solved with "done"
    When 2000 ms pass on the ledger
    And the machine starts again from its records
    And the lot "a" with 1 items of 10 tokens is handed in
    Then the last telling is HANDED again
    And 0 items wait in the queue

  Scenario: late items yield to those that can still meet their target, and come first again before they fail
    When the lot "a" with 1 items of 10 tokens, wanted within 8000 ms, is handed in
    And 7000 ms pass on the ledger
    And the lot "b" with 1 items of 10 tokens, wanted within 8000 ms, is handed in
    And the machine starts again from its records
    Then the next prompt is item 0 of "b", from its start
    When the drawn prompt ends as unsent
    And 18000 ms pass on the ledger
    Then the next prompt is item 0 of "a", from its start

  Scenario: a lot that was refused until it is late yields to others from the start
    When the lot "a" with 1 items of 10 tokens, wanted within 8000 ms, is handed in late
    And the lot "b" with 1 items of 10 tokens, wanted within 8000 ms, is handed in
    Then the next prompt is item 0 of "b", from its start
    And the next prompt is item 0 of "a", from its start

  Scenario: the items of a removed passage fail
    When the lot "a" with 2 items of 10 tokens is handed in
    And 1 prompt is drawn
    And its passage goes
    Then position 0 of "a" is item 0, failed
    And position 1 of "a" is item 1, failed

  Scenario: random commands keep every item once, in order, on every replica
    When 60 seeds of 400 random commands on passages are applied to two machines, one of them rebuilt half-way
    Then both machines hold the same records
    And no listed result ever changed, and no item is listed twice
    And the waiting tokens never passed the allowance, and records never outlived their lots

  Scenario Outline: lots on passages under <faults> violate no invariant, and all accepted lots finish
    When lots on passages are played under <faults> with seeds <first> to <last>
    Then every fault occurred, and no invariant is violated for callers and runners

    Examples:
      | faults                                                                    | first | last |
      | runners                                                                   | 1     | 5    |
      | kill-access, freeze-access, cut-access                                    | 11    | 17   |
      | kill-storage, freeze-storage, cut-storage                                 | 26    | 32   |
      | wipe-storage, loss                                                        | 41    | 47   |
      | power, kill-control                                                       | 56    | 61   |
      | kill-access, freeze-access, kill-storage, freeze-storage, runners, moves  | 66    | 75   |

  Scenario: items of an unresponsive runner move to another one long before the usual silence timeout
    Given a passage's queue with 10 tokens per 1 s, bursts of 10, and 1000 tokens that may wait
    When a runner becomes unresponsive while it runs items
    Then the last item of the lot is finished within 5 s

  Scenario: a held read gets the next result at once, at any node
    When a lot of slow items is accepted, and its next results are read with a hold
    Then each result is returned within 100 ms of its run's end

  Scenario: the items of a restarted dispatcher are requeued with the first dequeue of its new incarnation
    When the only dispatcher crashes while its items run, and restarts
    Then the items start again within 200 ms of its first dequeue

  Scenario: a submission that is delayed on its way to the owner is not accepted after a refusal
    When submissions to an often full queue are delayed for longer than callers wait
    Then no item runs of a lot that was refused at every attempt
    And most delayed submissions are still definitely refused or accepted

  Scenario: a late grant starts nothing, though its lot was ended meanwhile
    When grants are delayed by 4 s while their lots are ended
    Then no invariant is violated for callers and runners

  Scenario: endings are reported again until a slow queue owner acknowledges them
    When settle requests to the owner are delayed or lost
    Then no invariant is violated for callers and runners
    And there are at most two runs per item on average

  Scenario: a partitioned node answers pending submissions once its lease has expired
    When a node is partitioned from the others and lots are submitted there
    Then each of its callers is answered within 1700 ms, and none is refused a lot that may be accepted
