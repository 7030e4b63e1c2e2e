Feature: Requests run for the tenant that holds the caller's credential, and for nobody else
  Guards against issue 33: in a deployment with tenants, every request ran without its tenant and forwarded its credential,
  and requests with unknown credentials were run (docs/incidents/requests-without-tenant.md, docs/design.md §13.10).

  Rule: Who is served (virtual time)

    Background:
      Given passages
        | name  | host         | prefix  | kind   | pools   | gos | guard | aim | resumable | rank | keyless |
        | fetch | shop.example | /fetch/ | safe   | plain 1 | 2   | 1000  | 100 | no        | 3    | no      |
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
        | north | n-1, n-2    | 1    |
        | south | s-1         |      |

    Scenario Outline: A credential that is <credential> is answered with 401, and counted
      When "q1" arrives at "/fetch/x" with the credential "<text>"
      Then the caller of "q1" gets "refused 401"
      And 1 request was counted as unauthorized

      Examples:
        | credential | text |
        | unknown    | x-1  |
        | missing    |      |
        | inherited  | constructor |

    Scenario: An unknown path is answered with 404, whatever the credential
      When "q1" arrives at "/nowhere/x" with the credential ""
      Then the caller of "q1" gets "refused 404"
      And 0 requests were counted as unauthorized

    Scenario: A node without a lease may not know a new credential yet, so it refuses unknown ones only temporarily
      Given the node serves without a lease
      When "q1" arrives at "/fetch/x" with the credential "x-1"
      Then the caller of "q1" gets "refused 503 after 0.35"
      And 0 requests were counted as unauthorized
      When "q2" arrives at "/fetch/x" with the credential "n-1"
      Then "q2" runs for the tenant "north"

    Scenario: Each credential identifies its tenant, whose rank overrides that of the passage
      When "q1" arrives at "/fetch/x" with the credential "n-2"
      Then "q1" runs for the tenant "north" with rank 1
      When "q2" arrives at "/fetch/x" with the credential "s-1"
      Then "q2" runs for the tenant "south" with rank 3

    Scenario: A tenant's rank cannot reach the rank of lot items
      Given the tenants
        | name  | credentials | rank |
        | north | n-1         | 7    |
      When "q1" arrives at "/fetch/x" with the credential "n-1"
      Then "q1" runs for the tenant "north" with rank 4

    Scenario: A keyless passage serves every caller, and a known credential still identifies its tenant
      When "q1" arrives at "/open/x" with the credential ""
      Then "q1" runs for no tenant
      When "q2" arrives at "/open/x" with the credential "x-1"
      Then "q2" runs for no tenant
      When "q3" arrives at "/open/x" with the credential "s-1"
      Then "q3" runs for the tenant "south"

    Scenario: A configuration with no tenants in its list serves only keyless passages
      Given the tenants
        | name | credentials | rank |
      When "q1" arrives at "/fetch/x" with the credential "n-1"
      Then the caller of "q1" gets "refused 401"
      When "q2" arrives at "/open/x" with the credential "n-1"
      Then "q2" runs for no tenant

    Scenario: A configuration without tenants asks for no credential
      Given the configuration has no tenants
      When "q1" arrives at "/fetch/x" with the credential "x-1"
      Then "q1" runs as it came

    Scenario: Configuration versions add and remove credentials and move them between tenants
      Given the tenants
        | name  | credentials | rank |
        | north | n-2         | 1    |
        | south | s-1, n-1    |      |
        | west  | w-1         |      |
      When "q1" arrives at "/fetch/x" with the credential "w-1"
      Then "q1" runs for the tenant "west"
      When "q2" arrives at "/fetch/x" with the credential "n-1"
      Then "q2" runs for the tenant "south"
      Given the tenants
        | name  | credentials | rank |
        | south | s-1, n-1    |      |
      When "q3" arrives at "/fetch/x" with the credential "n-2"
      Then the caller of "q3" gets "refused 401"

    Scenario: Requests in progress continue when their credential is removed
      When "q1" arrives at "/fetch/x" with the credential "n-1"
      Given the tenants
        | name  | credentials | rank |
        | south | s-1         |      |
      When the go of "q1" breaks
      And the runner of "q1" answers 200 with "label"
      Then the caller of "q1" gets "head 200; label; end"
      And "q1" runs for the tenant "north" with rank 1

    Scenario: A second runner works for the same tenant, also where a stream goes on there
      When "q1" arrives at "/long/x" with the credential "n-1"
      And the runner of "q1" streams events 1 to 3
      And the go of "q1" breaks
      Then "q1" was sent to 2 runners
      And the go of "q1" goes on after event 3
      And "q1" runs for the tenant "north" with rank 1

    Scenario: Tenants are read once for each version, not for each request
      Given 8600 tenants, of which each reading is counted
      When 200 requests arrive at "/fetch/x", each with a credential of another tenant
      Then the tenants were read 1 time
      And each of the requests ran for its tenant

  Rule: Lots are their tenants' (the machine of a queue)

    Background:
      Given a passage's queue with 10 tokens per 1 s, bursts of 10, and 1000 tokens that may wait

    Scenario: Items are drawn with the tenant of their lot, also after a new start
      When the lot "a" of "north" with 2 items of 10 tokens is handed in
      And the lot "b" with 1 items of 10 tokens is handed in
      Then the next prompt runs for "north"
      When the machine starts again from its records
      Then the next prompt runs for "north"
      And the next prompt runs for nobody

    Scenario: The allowance counts for each tenant by itself, also after a new start
      When the lot "a" of "north" with 2 items of 400 tokens is handed in
      And the lot "b" of "south" with 2 items of 450 tokens is handed in
      And the lot "c" of "north" with 1 items of 201 tokens is handed in
      And the lot "d" with 1 items of 1000 tokens is handed in
      Then the tellings are HANDED, HANDED, NO_ROOM, HANDED
      When the machine starts again from its records
      And the lot "c" of "north" with 1 items of 201 tokens is handed in
      And the lot "e" of "south" with 1 items of 100 tokens is handed in
      And the lot "f" of "south" with 1 items of 1 tokens is handed in
      Then the tellings are HANDED, HANDED, NO_ROOM, HANDED, NO_ROOM, HANDED, NO_ROOM
      When "north" ends the lot "a"
      And the lot "g" of "north" with 1 items of 1000 tokens is handed in
      Then the last telling is HANDED

    Scenario: A passage that is gone takes the items of all tenants with it
      When the lot "a" of "north" with 1 items of 10 tokens is handed in
      And the lot "b" of "south" with 1 items of 10 tokens is handed in
      And its passage goes
      Then position 0 of "a" is item 0, failed
      And position 0 of "b" is item 0, failed
      And no passage has anything unfinished

    Scenario: To another tenant a lot is not there, and to its own it is
      When the lot "a" of "north" with 2 items of 10 tokens is handed in
      Then "south" and callers without a tenant are told UNKNOWN_LOT of "a", and a held read is told at once
      When "south" ends the lot "a"
      Then the last telling is UNKNOWN_LOT
      And "north" reads the list and a body of "a"
      When "north" ends the lot "a"
      Then the last telling is ENDED
      When 901000 ms pass on the ledger
      And "south" ends the lot "a"
      Then the last telling is UNKNOWN_LOT
      When "north" ends the lot "a"
      Then the last telling is ENDED

    Scenario: A lot from before there were tenants is everybody's, and an earlier release asks without a tenant
      When the lot "a" with 1 items of 10 tokens is handed in
      And the lot "b" of "north" with 1 items of 10 tokens is handed in
      Then "south" reads the list and a body of "a"
      And a reader of an earlier release reads the list and a body of "b"

  Rule: Lots of tenants in a fleet (virtual time)

    Scenario Outline: Under <faults>, with credentials renewed all the while, items run for the lot's tenant and strangers see nothing
      When lots of tenants are played under <faults> with seeds <first> to <last>
      Then credentials were renewed, strangers asked, and what callers and runners saw breaks no rule

      Examples:
        | faults                                     | first | last |
        | runners                                    | 201   | 203  |
        | kill-storage, freeze-storage, wipe-storage | 211   | 215  |
        | kill-access, cut-access                    | 221   | 224  |
        | power                                      | 231   | 232  |

    Scenario: A node without a lease may not know a new credential yet, so it refuses unknown ones only temporarily
      Given a node that holds a lease in a fleet with tenants
      When lots are handed in, read, looked into and ended there without a credential
      Then each of these callers is told "unauthorized"
      Given the node is cut off until its lease is gone
      When lots are handed in, read, looked into and ended there without a credential
      Then each of these callers is told that nobody can say it now

  Rule: Tenants in control's records

    Background:
      Given control's records with 200 passages and 8600 tenants, and a node that follows them

    Scenario: A change of a passage sends no tenants to nodes again, and the node keeps them
      When a passage is changed
      Then the node was sent less than 80000 bytes
      And the node knows the tenants of control's configuration, 8600 of them

    Scenario: A change of a credential comes with its version, in one message, without all the other tenants
      When a credential is added and a passage changed
      Then the node knows the tenants of control's configuration, 8600 of them
      And the node was sent less than 100000 bytes

    Scenario: A change sent as a patch keeps the tenants
      When a patch changes a passage
      Then the node knows the tenants of control's configuration, 8600 of them
      And the node was sent less than 80000 bytes

    Scenario: A node that missed versions knows newest passages and newest tenants at once
      Given the node hears nothing
      When a credential is added and a passage changed
      And a passage is changed
      And the node hears control again
      Then the node knows the tenants of control's configuration, 8600 of them

    Scenario: Tenants that are taken out are gone, and come back
      When the configuration is entered without tenants
      Then the node knows the tenants of control's configuration, no list of them
      When a credential is added and a passage changed
      Then the node knows the tenants of control's configuration, 8600 of them

    Scenario: A list that names nobody is not the same as no list
      When the configuration is entered with a list of no tenants
      Then the node knows the tenants of control's configuration, 0 of them

    Scenario: A record of a configuration that still holds its tenants is read, and written apart with the next change
      Given the configuration's record holds the tenants itself
      Then the node knows the tenants of control's configuration, 8600 of them
      When a patch changes a passage
      Then the node knows the tenants of control's configuration, 8600 of them
      When a passage is changed
      Then the node was sent less than 80000 bytes

  @sockets
  Rule: What a runner is told (the adapter, the relay and the links on real sockets)

    Background:
      Given an access node with 1 runners and the routes
        | name  | path    | kind | attempts |
        | label | /label/ | safe | 2        |
      And the subscribers
        | name  | key |
        | north | n-1 |
        | south | s-1 |

    Scenario: The runner is told the tenant of the key and never the key, whatever the caller says of itself
      When a caller calls "label" with the headers
        | X-API-KEY            | n-1   |
        | chutewick-SUBSCRIBER | south |
        | Chutewick-Subscriber | west  |
        | X-Kept               | yes   |
      Then the caller reads 200 first
      And the runner was told "Chutewick-Subscriber: north" alone and "X-Kept: yes" alone, and no "X-Api-Key"

    Scenario Outline: A call with <keys> gets 401 and does not run
      When a caller calls "label" with the headers
        | <name 1> | <key 1> |
        | <name 2> | <key 2> |
      Then the caller reads 401 first
      And no call ran

      Examples:
        | keys                     | name 1               | key 1 | name 2    | key 2 |
        | no key                   | Chutewick-Subscriber | north | X-Kept    | yes   |
        | an unknown key           | X-Api-Key            | x-1   | X-Kept    | yes   |
        | an empty key             | X-Api-Key            |       | X-Kept    | yes   |
        | a known key twice        | X-Api-Key            | n-1   | X-Api-Key | n-1   |
        | two keys of two tenants  | X-Api-Key            | n-1   | x-api-key | s-1   |
        | two keys in one header   | X-Api-Key            | n-1, s-1 | X-Kept | yes   |

    Scenario: Without subscribers in the configuration all headers are passed on as they came
      Given a configuration without subscribers
      When a caller calls "label" with the headers
        | X-Api-Key            | n-1   |
        | Chutewick-Subscriber | south |
      Then the caller reads 200 first
      And the runner was told "Chutewick-Subscriber: south" alone and "X-Api-Key: n-1" alone, and no "X-Kept"

    Scenario: Calls on lots bring the key alone, and one that no tenant holds gets 401
      When a caller sends "GET /chutewick/lots/l1 HTTP/1.1\r\nHost: shop.example\r\nx-API-key: n-1\r\n\r\n" alone
      Then the caller reads 401 first
      When a caller sends "GET /chutewick/items/l2?instanceId=i HTTP/1.1\r\nHost: shop.example\r\nX-Api-Key: n-1\r\nX-Api-Key: n-1\r\n\r\n" alone
      Then the caller reads 401 first
      When a caller sends "DELETE /chutewick/lots/l3 HTTP/1.1\r\nHost: shop.example\r\n\r\n" alone
      Then the caller reads 401 first
      And the node was asked for the lots
        | lot | credential |
        | l1  | n-1        |
        | l2  |            |
        | l3  |            |
