Feature: lots of passages on their queue's owner
  Handing in, draw, settling and end are each one atomic step under the queue's bucket (docs/design.md §13.7).

  Background:
    Given a passage's queue with 10 tokens per 1 s, bursts of 10, and 1000 tokens that may wait

  Scenario: a lot is taken once, whatever is handed in under its id
    When the lot "a" with 3 items of 10 tokens is handed in
    And the lot "a" with 3 items of 10 tokens is handed in
    Then the tellings are HANDED, HANDED again
    And 3 items wait in the queue

  Scenario: an id with slashes and dots comes back from its keys as it was
    When the lot "x/0/a.b" with 2 items of 10 tokens is handed in
    And 2 prompts are drawn
    And the machine starts again from its records
    Then the claims under way are 0 and 1 of "x/0/a.b"

  Scenario: the allowance counts to the token, and what is under way counts as waiting
    When the lot "a" with 2 items of 400 tokens is handed in
    And 1 prompt is drawn
    And the lot "b" with 1 items of 201 tokens is handed in
    And the lot "c" with 1 items of 200 tokens is handed in
    Then the tellings are HANDED, NO_ROOM, HANDED
    When the drawn prompt ends as solved
    And the lot "b" with 1 items of 201 tokens is handed in
    Then the last telling is HANDED

  Scenario: a refusal that is to hold for earlier sendings holds for them, and not for the lot's next try
    When the lot "a" with 2 items of 400 tokens is handed in
    And 1 prompt is drawn
    And sending "t" of the lot "b" with 1 items of 300 tokens is handed in again
    And the drawn prompt ends as solved
    And the machine starts again from its records
    And sending "t" of the lot "b" with 1 items of 300 tokens is handed in
    And sending "u" of the lot "b" with 1 items of 300 tokens is handed in
    Then the tellings are HANDED, NO_ROOM, SETTLED, NO_ROOM, HANDED
    When 60000 ms pass on the ledger
    Then no refused sending is known any more

  Scenario: an ended lot weighs nothing, and nothing of it is drawn any more
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

  Scenario: a batch takes no more than there are tokens, and tells the exact wait
    When the lot "a" with 30 items of 10 tokens is handed in
    And 8 prompts are drawn
    And 8 prompts are asked for
    Then 2 prompts came, and then RATE_LIMITED with a wait of 100 ms
    When 100 ms pass on the ledger
    And 8 prompts are asked for
    Then 1 prompts came, and then RATE_LIMITED with a wait of 100 ms

  Scenario: a batch that empties the queue says so, and keeps its tokens
    When the lot "a" with 2 items of 10 tokens is handed in
    And 8 prompts are asked for
    Then 2 prompts came, and then EMPTY
    And 8 tokens of the bucket are left

  Scenario: prompts of a passage without room keep their place and cost no token
    When the lot "a" with 2 items of 10 tokens is handed in
    And 8 prompts of another passage are asked for
    Then 0 prompts came, and then EMPTY
    And 10 tokens of the bucket are left

  Scenario: an unsent prompt gets its place and its token back
    When the lot "a" with 2 items of 10 tokens is handed in
    And 1 prompt is drawn
    And the drawn prompt ends as unsent
    Then 10 tokens of the bucket are left
    And the next prompt is item 0 of "a", from its start

  Scenario: a run that broke goes on after its last event, joined exactly
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

  Scenario: a runner's own failures count up to the passage's most, and links that break do not
    When the lot "a" with 1 items of 10 tokens is handed in
    And it fails, breaks, fails and breaks
    Then "a" lists nothing
    When it fails
    Then position 0 of "a" is item 0, failed

  Scenario: what can never be done ends at once
    When the lot "a" with 1 items of 10 tokens is handed in
    And 1 prompt is drawn
    And the drawn prompt ends as never
    Then position 0 of "a" is item 0, failed

  Scenario: items are given up when they were kept long enough, and not before
    When the lot "a" with 2 items of 10 tokens is handed in
    And 1 prompt is drawn
    And 39000 ms pass on the ledger
    Then "a" lists nothing
    When 6001 ms pass on the ledger
    Then position 0 of "a" is item 0, failed
    And position 1 of "a" is item 1, failed

  Scenario: results keep their place and content, read from any position, over a new start
    When the lot "a" with 3 items of 10 tokens is handed in
    And 3 prompts are drawn
    And they end in turn as solved, the last first
    Then "a" lists items 2, 1, 0 from position 0
    And "a" lists items 1, 0 from position 1
    When the machine starts again from its records
    Then "a" lists items 2, 1, 0 from position 0

  Scenario: a body is told until its item is listed or its lot ended
    When the lot "a" with 3 items of 10 tokens is handed in
    And 1 prompt is drawn
    Then the bodies of items 0, 1, 2 of "a" are told
    When the drawn prompt ends as solved
    Then the bodies of items 1, 2 of "a" are told
    When the lot "a" is ended
    Then no body of "a" is told

  Scenario: finished lots stay readable for 15 minutes, and are not taken anew for a day
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

  Scenario: late items let those pass that can still be in time, and are first again before they are given up
    When the lot "a" with 1 items of 10 tokens, wanted within 8000 ms, is handed in
    And 7000 ms pass on the ledger
    And the lot "b" with 1 items of 10 tokens, wanted within 8000 ms, is handed in
    And the machine starts again from its records
    Then the next prompt is item 0 of "b", from its start
    When the drawn prompt ends as unsent
    And 18000 ms pass on the ledger
    Then the next prompt is item 0 of "a", from its start

  Scenario: a lot that was refused until it is late lets others pass from the start
    When the lot "a" with 1 items of 10 tokens, wanted within 8000 ms, is handed in late
    And the lot "b" with 1 items of 10 tokens, wanted within 8000 ms, is handed in
    Then the next prompt is item 0 of "b", from its start
    And the next prompt is item 0 of "a", from its start

  Scenario: a passage that is gone takes its items with it
    When the lot "a" with 2 items of 10 tokens is handed in
    And 1 prompt is drawn
    And its passage goes
    Then position 0 of "a" is item 0, failed
    And position 1 of "a" is item 1, failed

  Scenario: many seeds of commands keep every item once, in order, on every replica
    When 60 seeds of 400 random commands on passages are played on two machines, one of them rebuilt half-way
    Then both machines hold the same records
    And no listed result ever changed, and no item stands twice
    And the waiting tokens never passed the allowance, and records never outlived their lots

  Scenario Outline: lots on passages under <faults> break no rule, and all that was taken ends
    When lots on passages are played under <faults> with seeds <first> to <last>
    Then every fault struck, and what callers and runners saw breaks no rule

    Examples:
      | faults                                                                    | first | last |
      | runners                                                                   | 1     | 5    |
      | kill-access, freeze-access, cut-access                                    | 11    | 17   |
      | kill-storage, freeze-storage, cut-storage                                 | 26    | 32   |
      | wipe-storage, loss                                                        | 41    | 47   |
      | power, kill-control                                                       | 56    | 61   |
      | kill-access, freeze-access, kill-storage, freeze-storage, runners, moves  | 66    | 75   |

  Scenario: items at a runner that goes dark go on elsewhere long before their usual silence is over
    Given a passage's queue with 10 tokens per 1 s, bursts of 10, and 1000 tokens that may wait
    When a runner goes dark amid its runs of items
    Then the last item of the lot is finished within 5 s

  Scenario: a read that is held hears of the next result at once, at any node
    When a lot of slow items is taken and read with a hold from where its list ends
    Then each result is told within 100 ms of its run's end

  Scenario: what a dispatcher had under way comes back as soon as it draws in a new life
    When the only dispatcher dies amid its runs and begins anew
    Then they begin again within 200 ms of its first draw

  Scenario: a hand-in held up on its way to the owner is not taken after a refusal
    When hand-ins are held up on their way for longer than callers wait, to a queue that is full at times
    Then no part of a lot runs that was refused at every try
    And most that were held up were refused or taken all the same

  Scenario: a grant that comes late begins nothing, though its lot was ended meanwhile
    When grants of prompts are held up for 4 s while their lots are ended
    Then what callers and runners saw breaks no rule

  Scenario: what a slow queue owner has not heard is told again until it has
    When endings are held up or lost on their way to the owner
    Then what callers and runners saw breaks no rule
    And no item was run more than twice as often as it had to be

  Scenario: a node that is cut off lets its callers of hand-ins go once its lease is gone
    When a node is cut off and lots are handed in there
    Then each of its callers hears within 1700 ms, and none that it was refused while it may be taken
