import { dutyGuards } from "./duties/duty-guards.js";
import type { Cut } from "./without.js";

/** What holds each rule, and how it is taken out of the compiled product to show that it does (docs/testing.md §2). */
export interface Guard {
  /** Where the design page has it. */
  readonly section: string;
  readonly cuts: readonly Cut[];
}

const access = "packages/data/dist/access-core.js";
const liveRequests = "packages/data/dist/live-requests.js";
const runnerSelection = "packages/data/dist/runner-selection.js";
const promptDispatcher = "packages/data/dist/prompt-dispatcher.js";
const lotReplies = "packages/data/dist/lot-replies.js";
const pendingCalls = "packages/data/dist/pending-calls.js";
const storage = "packages/data/dist/storage-core.js";
const control = "packages/control/dist/core.js";
const laggingNodes = "packages/control/dist/lagging-nodes.js";
const machine = "packages/control/dist/machine.js";
const pace = "packages/control/dist/pace.js";
const chain = "packages/parts/dist/chain.js";
const lot = "packages/parts/dist/lot.js";
const session = "packages/parts/dist/session.js";
const voters = "packages/parts/dist/view-voters.js";
const link = "packages/data/dist/link.js";
const relay = "packages/data/dist/relay-core.js";
const feed = "packages/parts/dist/feed.js";
const constant = "packages/parts/dist/constants.js";

export const guards: Readonly<Record<string, Guard>> = {
  ...dutyGuards,
  "another runner only if no byte went out": {
    section: "§6.1",
    cuts: [
      {
        file: access,
        from: "handleAttemptEvent(attempt, event, now) {",
        to: "handleAttemptEvent(attempt, event, now) { if (event.kind === 'broken') event = { kind: 'unsent', reason: '' };",
      },
    ],
  },
  "a begun stream is never tried again": {
    section: "§6.1, §6.3",
    cuts: [
      {
        file: access,
        from: "handleAttemptEvent(attempt, event, now) {",
        to: "handleAttemptEvent(attempt, event, now) { if (event.kind === 'broken') event = { kind: 'unsent', reason: '' };",
      },
      { file: liveRequests, from: "if (event.number !== nextPiece)", to: "if (false)" },
      { file: liveRequests, from: "if (event.pieces !== nextPiece)", to: "if (false)" },
    ],
  },
  "the close counts the pieces": {
    section: "§6.3",
    cuts: [
      { file: liveRequests, from: "if (event.pieces !== nextPiece)", to: "if (false)" },
      { file: promptDispatcher, from: "event.pieces === prompt.pieces.length", to: "true" },
    ],
  },
  "pieces come in order": {
    section: "§6.3",
    cuts: [{ file: liveRequests, from: "if (event.number !== nextPiece)", to: "if (false)" }],
  },
  "only the go that holds the claim records": {
    section: "§5.3",
    cuts: [
      {
        file: lot,
        from: 'if (item.state !== "processing" || item.go !== command.go)',
        to: "if (false)",
      },
    ],
  },
  "nothing is acted upon before it is synced": {
    section: "§10.2",
    cuts: [
      {
        file: storage,
        from: 'if (command.kind === "send" || command.kind === "write")\n                outputs.push(command);',
        to: 'if (command.kind === "send" || command.kind === "write") { outputs.push(command); if (command.kind === "write") outputs.push(...this.#perform(partition, partition.chain.writeCompleted(command.ticket, now), now)); }',
      },
    ],
  },
  "told when the tail has it": {
    section: "§1.1",
    cuts: [
      {
        file: chain,
        from: "commands.push(...this.#propagate(now));\n        if (isSameMember(this.#view.joiner, this.#self)) {",
        to: "if (this.position === 0) commands.push(...this.#commit(this.#durableIndex, now)); commands.push(...this.#propagate(now)); if (isSameMember(this.#view.joiner, this.#self)) {",
      },
    ],
  },
  "only the runner's own word counts": {
    section: "§3.3",
    cuts: [
      {
        file: lot,
        from: 'const troubles = item.troubles + (ending.kind === "trouble" ? 1 : 0);',
        to: 'const troubles = item.troubles + (ending.kind === "trouble" || ending.kind === "broken" ? 1 : 0);',
      },
      {
        file: lot,
        from: 'if (ending.kind === "trouble" && troubles >= constants.maxFailedAttempts)',
        to: "if (troubles >= constants.maxFailedAttempts)",
      },
    ],
  },
  "refused only when no earlier sending may be taken": {
    section: "§5.2",
    cuts: [{ file: pendingCalls, from: "isRefusal && pendingCall.mayBeAccepted", to: "false" }],
  },
  "a grant is begun within a second": {
    section: "§5.4",
    cuts: [
      {
        file: promptDispatcher,
        from: "grantedUntil: askedAt + holderDurationMs(constants.grantDurationMs)",
        to: "grantedUntil: Number.POSITIVE_INFINITY",
      },
      {
        file: promptDispatcher,
        from: "patience: constants.grantDurationMs",
        to: "patience: 60_000",
      },
    ],
  },
  "leases go to those who have come as far": {
    section: "§7.1–7.3",
    cuts: [
      { file: session, from: "grant.place <= feedIndex", to: "true" },
      { file: session, from: "feedIndex = Math.min(feedIndex, session.card.place);", to: ";" },
      {
        file: laggingNodes,
        from: "isLagging(card, feedPlace, now) {",
        to: "isLagging(card, feedPlace, now) { return false;",
      },
    ],
  },
  "a follower only goes on": {
    section: "§4.1, §7.1",
    cuts: [
      { file: feed, from: "if (message.place <= this.#feedIndex)", to: "if (false)" },
      { file: session, from: "grant.place <= feedIndex", to: "true" },
    ],
  },
  "a change is told when every lease has it": {
    section: "§1.1, §7.2",
    cuts: [
      {
        file: chain,
        from: "commands.push(...this.#propagate(now));\n        if (isSameMember(this.#view.joiner, this.#self)) {",
        to: "if (this.position === 0) commands.push(...this.#commit(this.#durableIndex, now)); commands.push(...this.#propagate(now)); if (isSameMember(this.#view.joiner, this.#self)) {",
      },
      {
        file: control,
        from: "if (request.inForceBy <= covered && this.#isAcceptedByFleet(request.inForceBy))",
        to: "",
      },
    ],
  },
  "changes are checked whole": {
    section: "§9",
    cuts: [
      {
        file: machine,
        from: "const checked = configuration.check(value);",
        to: "const checked = { ok: true, value };",
      },
    ],
  },
  "of two racers one wins": {
    section: "§9",
    cuts: [
      {
        file: machine,
        from: "if (expected !== undefined && expected !== null && expected !== current.mark)",
        to: "if (false)",
      },
    ],
  },
  "an order sent again was taken": {
    section: "§13.8",
    cuts: [{ file: machine, from: "if (acceptedVersion !== undefined)", to: "if (false)" }],
  },
  "shares are granted when surely given back": {
    section: "§8.4",
    cuts: [
      {
        file: pace,
        from: "granted.set(queue, currentGrant);\n        committed += currentGrant;",
        to: "granted.set(queue, Math.min(currentGrant, current.target));\n        committed += 0;",
      },
    ],
  },
  "what is under way counts as waiting": {
    section: "§8.4",
    cuts: [
      {
        file: lot,
        from: "for (const [lot, count] of this.#openByLot) {",
        to: "for (const [lot] of this.#openByLot) { let count = 0; for (const season of this.#waiting.groups()) for (const { key } of this.#waiting.itemsOf(season)) if (key.startsWith(`item/${lot}/`)) count += 1;",
      },
    ],
  },
  "a runner not heard of gets no work": {
    section: "§7.5",
    cuts: [{ file: constant, from: "runnerLasts: 1_800", to: "runnerLasts: 3_500" }],
  },
  "what is read on waking may be old": {
    section: "§7.5",
    cuts: [{ file: constant, from: "resumePeriodMs: 200", to: "resumePeriodMs: 0" }],
  },
  "time runs from the telling": {
    section: "§5.5",
    cuts: [
      { file: lot, from: "command.lasts + constants.deadlineGraceMs", to: "command.lasts" },
      { file: lotReplies, from: "Math.min(lot.lasts, value.remaining - elapsed)", to: "lot.lasts" },
    ],
  },
  "a cancelled lot takes nothing back": {
    section: "§5.3",
    cuts: [
      {
        file: lot,
        from: 'if (lot.cancelled)\n            return this.#finish(context, open, { state: "cancelled" });',
        to: "",
      },
    ],
  },
  "only want of seats holds lots back": {
    section: "§8.5",
    cuts: [
      {
        file: liveRequests,
        from: "model !== undefined && lackedSlots",
        to: "model !== undefined",
      },
    ],
  },
  "who was voted out still votes": {
    section: "§2.3",
    cuts: [
      { file: voters, from: "return view.voters ?? view.members;", to: "return view.members;" },
    ],
  },
  "who held all goes on when the lone copy is lost": {
    section: "§1.5",
    cuts: [
      { file: chain, from: "return view.holders ?? view.members;", to: "return view.members;" },
    ],
  },
  "a season's lots use its runners": {
    section: "§8.4",
    cuts: [
      {
        file: runnerSelection,
        from: "return season.matches(demand.selectors ?? [], card.labels);",
        to: "return true;",
      },
    ],
  },
  "a result names its inquiry": {
    section: "§6.2",
    cuts: [
      {
        file: link,
        from: 'if (response.headers["chutewick-inquiry"] !== work.request)',
        to: "if (false)",
      },
      { file: link, from: "value.inquiry !== work.request || ", to: "" },
    ],
  },
  "a passed result bears the stamp of its call": {
    section: "§13.6",
    cuts: [
      {
        file: relay,
        from: "(status >= 200 && status < 300 && !stamped) || notRunStatuses.has(status)",
        to: "notRunStatuses.has(status)",
      },
    ],
  },
  "an event that was passed on is not passed on again": {
    section: "§13.5",
    cuts: [
      {
        file: relay,
        from: "else if (live.last !== undefined && number <= live.last) return;",
        to: "else if (false) return;",
      },
    ],
  },
  "silent members are voted out": {
    section: "§2.3, §8.2",
    cuts: [
      {
        file: constant,
        from: "memberSilenceTimeoutMs: 1_500",
        to: "memberSilenceTimeoutMs: 60_000",
      },
      {
        file: session,
        from: "if (session.card.kind === kind && now - session.heardAt <= constants.sessionTimeoutMs)",
        to: "if (session.card.kind === kind)",
      },
    ],
  },
};

/** The targeted fault that threatens a rule, and the guard that holds it: one row of the table. */
export const rows: readonly (readonly [fault: string, guard: string])[] = [
  ["links break after the first byte", "another runner only if no byte went out"],
  ["the last runner's links break", "another runner only if no byte went out"],
  ["streams break with the caller still there", "a begun stream is never tried again"],
  ["streams close short", "the close counts the pieces"],
  ["runners skip pieces", "pieces come in order"],
  ["dispatchers sleep on their claims", "only the go that holds the claim records"],
  ["power is lost after a promise", "nothing is acted upon before it is synced"],
  ["the disk is lost after a promise", "told when the tail has it"],
  ["links break three times and more", "only the runner's own word counts"],
  ["a refused hand-in meets room", "refused only when no earlier sending may be taken"],
  ["grants come late to cancelled lots", "a grant is begun within a second"],
  ["a node's feed is held up", "leases go to those who have come as far"],
  ["an old digest comes last", "a follower only goes on"],
  ["the head is cut off with a change half confirmed", "a change is told when every lease has it"],
  ["malformed changes while the head dies", "changes are checked whole"],
  ["two operators race while the head dies", "of two racers one wins"],
  ["eight operators race and lose most answers", "an order sent again was taken"],
  ["shares move while owners sleep", "shares are granted when surely given back"],
  ["all runners die with prompts under way", "what is under way counts as waiting"],
  ["the node that heard a goodbye dies", "a runner not heard of gets no work"],
  ["a goodbye is heard without control", "a runner not heard of gets no work"],
  ["an announcement is read after the goodbye", "what is read on waking may be old"],
  ["short times across the storm", "time runs from the telling"],
  ["prompts come back to cancelled lots", "a cancelled lot takes nothing back"],
  ["runners that one node cannot reach", "only want of seats holds lots back"],
  ["a control disk is lost while another is away", "who was voted out still votes"],
  ["seasons select lots and runners by labels", "a season's lots use its runners"],
  ["runners answer for another", "a result names its inquiry"],
  ["the lone control machine loses its disk", "who held all goes on when the lone copy is lost"],
  ["the lone copy of a queue loses its disk", "who held all goes on when the lone copy is lost"],
  ["machines are lost for good", "silent members are voted out"],
];
