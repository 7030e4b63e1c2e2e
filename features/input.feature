@sockets
Feature: bad input has a definite end and no half effect
  Callers, runners and operators of a real small fleet send what they should not (docs/interface.md).

  Scenario: everything unreadable is told in one shape, and nothing of it takes effect
    Given a fleet with 2 access nodes, 2 model runners and 1 plain runner
    And a caller who sends half a body and then nothing more
    When the configuration is entered
    And bad inquiries are sent to an access node
    Then each has its status and trouble
      | method | path            | body                                 | status | trouble        |
      | POST   | /ways/check     | {"prompt":                           | 400    | bad-body       |
      | POST   | /ways/check     | [1]                                  | 400    | bad-body       |
      | POST   | /ways/check     | {}                                   | 400    | bad-body       |
      | POST   | /ways/check     | 2 MiB                                | 413    | body-too-large |
      | POST   | /ways/nowhere   | {"prompt":1}                         | 404    | unknown-way    |
      | POST   | /ways/__proto__ | {"prompt":1}                         | 404    | unknown-way    |
      | POST   | /ways/slips     | {"prompt":1}                         | 405    | wrong-kind     |
      | GET    | /ways/check/a   |                                      | 405    | wrong-kind     |
      | GET    | /nowhere        |                                      | 404    | unknown-path   |
      | POST   | /lots/check     | {"key":"a","items":[1]}              | 405    | wrong-kind     |
      | POST   | /lots/slips     | {"key":7,"items":[1]}                | 400    | bad-body       |
      | POST   | /lots/slips     | {"key":"a","items":[]}               | 400    | bad-body       |
      | POST   | /lots/slips     | {"key":"a","items":[1],"extra":true} | 400    | bad-body       |
      | POST   | /lots/slips     | {"key":"a","items":1001 prompts}     | 413    | lot-too-large  |
      | GET    | /lots/reader~x  |                                      | 404    | unknown-lot    |
      | GET    | /lots/nonsense  |                                      | 404    | unknown-lot    |
      | DELETE | /lots/reader~x  |                                      | 404    | unknown-lot    |
      | POST   | /runners        | {"id":"UPPER"}                       | 400    | bad-body       |
      | POST   | /runners/x/goodbye | {}                                | 400    | bad-body       |
    And the operators' bad changes are refused with path and reason
      | change                                                             | says                      |
      | {"models":{"reader":{"bucket":{"tokens":-1}}}}                     | models.reader.bucket      |
      | {"models":{"reader":{"bucket":{"capacity":0.5}}}}                  | models.reader.bucket      |
      | {"nonsense":true}                                                  | nonsense                  |
      | {"ways":{"bad":{"kind":"stream","model":"nobody"}}}                | ways.bad.model            |
      | {"ways":{"bad":{"kind":"stream"}}}                                 | ways.bad.model            |
      | {"ways":{"bad":{"kind":"fetch","model":"reader"}}}                 | ways.bad.model            |
      | {"ways":{"bad":{"kind":"stream","model":"reader","adapter":"x"}}}  | ways.bad.adapter          |
      | {"seasons":{"s":{"start":"2026-13-01T00:00:00Z","end":"2026-12-02T00:00:00Z","select":[{"label":"a","exists":true}],"waiting":5}}} | seasons.s.start |
      | {"seasons":{"s":{"start":"2026-12-02T00:00:00","end":"2026-12-03T00:00:00Z","select":[{"label":"a","exists":true}],"waiting":5}}}  | seasons.s.start |
      | {"seasons":{"s":{"start":"2026-12-03T00:00:00Z","end":"2026-12-02T00:00:00Z","select":[{"label":"a","exists":true}],"waiting":5}}} | seasons.s.end   |
      | {"seasons":{"s":{"start":"2026-12-01T00:00:00Z","end":"2026-12-02T00:00:00Z","select":[],"waiting":5}}}                            | seasons.s.select |
      | {"seasons":{"s":{"start":"2026-12-01T00:00:00Z","end":"2026-12-02T00:00:00Z","select":[{"label":"a","equals":"x"},{"label":"a","exists":false}],"waiting":5}}} | seasons.s.select |
      | {"seasons":{"s":{"start":"2026-12-01T00:00:00Z","end":"2026-12-02T00:00:00Z","select":[{"label":"a","exists":true}],"waiting":0}}} | seasons.s.waiting |
    And emptying is refused with the reason for a machine that is unknown, needed or not being emptied
    And the configuration still has mark 1
    And of two operators who build on mark 1 one wins and the other is told so
    And a change sent again under its Idempotency-Key hears the mark that it was given, at any control machine
    And the caller who sent half a body is told too-slow
    And a one-shot inquiry, a stream and a fetch are served whole

  Scenario: programs refuse bad settings, foreign folders and unknown marks
    Given a fleet with 1 access nodes, 1 model runners and 1 plain runner
    Then the program ends with 2 and one clear message for bad settings
      | words                                                                             | says  |
      | control --name a --zone a --http 127.0.0.1:1 --wire nonsense --seeds 127.0.0.1:1,127.0.0.1:2,127.0.0.1:3 --data x | wire  |
      | control --name a --zone a --http 127.0.0.1:1 --wire 127.0.0.1:2 --seeds 127.0.0.1:1,127.0.0.1:1 --data x                  | seeds |
      | storage --name a --zone a --http 127.0.0.1:1 --wire 127.0.0.1:2 --seeds 127.0.0.1:1,127.0.0.1:2,127.0.0.1:3       | data  |
      | access --settings /nonexistent.json                                               | nonexistent |
    And a storage machine whose folder is cut off, foreign, another kind's or in use ends with 1
    And a process that speaks another wire mark is refused and told so
    And a storage machine that is told to stop ends with 0
