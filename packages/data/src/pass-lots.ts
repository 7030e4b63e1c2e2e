/** Lots (batch jobs) of passages at an access node, without I/O (docs/design.md §13.7). */
import { constants, type QueueCommand, type QueueResult, type Tenancy } from "@chutewick/parts";
import { configuration } from "@chutewick/control";
import type { AccessOutput } from "./access-output.js";
import { NO_NEW_WORK } from "./admission.js";
import type { RunnerBalancer } from "./choice.js";
import type { PassageEvent } from "./dialect.js";
import { LotAssigner, type AssignmentRequest, type LotAssignment } from "./lot-assignment.js";
import { LotSearch, lotReply, type LotLookup } from "./lot-search.js";
import type { Membership } from "./membership.js";
import type { LotCall, SubmittedLot, LotResultsQuery, LotReply } from "./pass.js";
import type { PassageMatch } from "./passage-index.js";
import { ItemDispatcher, type ItemStartRefusal } from "./pass-draw.js";
import type { PendingCalls } from "./pending-calls.js";
import type { QueueOutcome } from "./queue-messages.js";
import type { RelayCore } from "./relay-core.js";

type SubmitCommand = Extract<QueueCommand, { kind: "hand-in" }>;

/** Submits lots, reads their results and ends them; `dispatcher` runs their items. */
export class PassageLots {
  readonly dispatcher: ItemDispatcher;
  #membership: Membership;
  #pendingCalls: PendingCalls;
  #relay: RelayCore;
  #search: LotSearch;
  #assigner: LotAssigner;
  #isStopping = false;
  #isRejectingCalls = false;

  constructor(
    membership: Membership,
    choice: RunnerBalancer,
    pendingCalls: PendingCalls,
    relay: RelayCore,
  ) {
    this.#membership = membership;
    this.#relay = relay;
    this.#pendingCalls = pendingCalls;
    this.#search = new LotSearch(membership, pendingCalls);
    this.#assigner = new LotAssigner(membership, pendingCalls);
    this.dispatcher = new ItemDispatcher(membership, choice, pendingCalls);
  }

  submit(ticket: string, submission: SubmittedLot, now: number): AccessOutput[] {
    if (this.#isStopping || !this.#membership.holds(now))
      return [lotReply(ticket, refusedTemporarily(NO_NEW_WORK))];
    const found = this.#relay.passages.find(submission.host, submission.path);
    if (found === undefined || found.passage.kind !== "lot")
      return [lotReply(ticket, { kind: "missing" })];
    const { passage } = found;
    const identity = this.#relay.tenants.identify(passage, submission.credential);
    if (identity === undefined) return [lotReply(ticket, { kind: "unauthorized" })];
    const command = submitCommand(found, submission, identity.tenancy?.tenant);
    const model = submission.entries[0]?.model;
    const request: AssignmentRequest = {
      lot: submission.lot,
      group: JSON.stringify([found.name, model ?? ""]),
      queue: configuration.queueFor(this.#membership.configuration.value, passage, model),
      keeps: command.keeps,
      onAssigned: (assignment, later) =>
        this.#submitTo(
          assignment,
          { ticket, command, until: now + constants.submitTimeoutMs },
          later,
        ),
      onRefused: (reason) => [lotReply(ticket, refusedTemporarily(reason))],
    };
    return this.#assigner.assign(request, now);
  }

  #submitTo(
    { queue, knownFor }: LotAssignment,
    { ticket, command, until }: PendingSubmission,
    now: number,
  ): AccessOutput[] {
    const onResult = (outcome: QueueOutcome): AccessOutput[] => {
      const isAccepted = outcome.kind === "confirmed" && outcome.value.kind === "HANDED";
      if (isAccepted) this.#search.remember(command.lot, queue);
      return [lotReply(ticket, submissionReply(outcome))];
    };
    const call = { queue, command: { ...command, knownFor }, patience: until - now, onResult };
    return this.#pendingCalls.start(call, now);
  }

  read(
    ticket: string,
    call: LotCall,
    { from, hold }: LotResultsQuery,
    now: number,
  ): AccessOutput[] {
    const onFound = (value: QueueResult): AccessOutput[] | undefined => {
      if (value.kind !== "RESULTS") return undefined;
      const { total, results } = value;
      const next = from + results.length;
      return [lotReply(ticket, { kind: "results", total, results, next })];
    };
    const commandFor = (reader: LotReader): QueueCommand => ({ kind: "results", from, ...reader });
    return this.#query({ ticket, call, commandFor, hold, onFound }, now);
  }

  item(ticket: string, call: LotCall, item: string, now: number): AccessOutput[] {
    const onFound = (value: QueueResult): AccessOutput[] | undefined =>
      value.kind === "BODY" ? [lotReply(ticket, { kind: "body", bytes: value.body })] : undefined;
    const commandFor = (reader: LotReader): QueueCommand => ({
      kind: "read-item",
      item,
      ...reader,
    });
    return this.#query({ ticket, call, commandFor, hold: 0, onFound }, now);
  }

  end(ticket: string, call: LotCall, now: number): AccessOutput[] {
    const onFound = (value: QueueResult, later: number): AccessOutput[] | undefined =>
      value.kind === "ENDED"
        ? [lotReply(ticket, { kind: "ended" }), ...this.dispatcher.dropLot(call.lot, later)]
        : undefined;
    const commandFor = (reader: LotReader): QueueCommand => ({ kind: "end", ...reader });
    return this.#query({ ticket, call, commandFor, hold: 0, onFound }, now);
  }

  /** Requires a credential as live requests do; the owner of a lot decides which credentials may access it. */
  #query({ ticket, call, commandFor, hold, onFound }: LotOperation, now: number): AccessOutput[] {
    if (this.#isRejectingCalls) return [lotReply(ticket, RETRY_LATER)];
    const { lot, host, credential } = call;
    const { passages, tenants } = this.#relay;
    const identity = tenants.identifyReader(passages.hasKeylessLots(host), credential);
    if (identity === undefined)
      return [
        lotReply(ticket, this.#membership.holds(now) ? { kind: "unauthorized" } : RETRY_LATER),
      ];
    const { tenancy } = identity;
    const command = commandFor({ lot, ...(tenancy === undefined ? {} : { reader: tenancy }) });
    return this.#search.run({ ticket, lot, command, hold, onFound }, now);
  }

  has(attempt: number): boolean {
    return this.dispatcher.has(attempt);
  }

  mayStart(attempt: number, now: number): ItemStartRefusal | undefined {
    return this.dispatcher.mayStart(attempt, now);
  }

  handleAttemptEvent(attempt: number, event: PassageEvent, now: number): AccessOutput[] {
    return this.dispatcher.handleAttemptEvent(attempt, event, now);
  }

  /** Handles the notice of a queue owner that a lot has ended. */
  handleLotEnded(lot: string, now: number): AccessOutput[] {
    return this.dispatcher.dropLot(lot, now);
  }

  tick(now: number): AccessOutput[] {
    return this.dispatcher.tick(now);
  }

  /** Starts a planned stop: no new work is accepted, work in progress continues. */
  leave(): void {
    this.#isStopping = true;
    this.dispatcher.leave();
  }

  /** Second phase of a planned stop: reads and ends are rejected too, so that callers use another node. */
  refuseNew(): void {
    this.#isRejectingCalls = true;
  }
}

/** A lot on its way to its queue. */
interface PendingSubmission {
  readonly ticket: string;
  readonly command: SubmitCommand;
  /** Monotonic time in ms at which its caller is answered at the latest. */
  readonly until: number;
}

/** A lot and the tenancy on whose behalf it is accessed. */
interface LotReader {
  readonly lot: string;
  readonly reader?: Tenancy;
}

/** A caller's operation on a lot, with the command for the lot's owner. */
interface LotOperation extends Pick<LotLookup, "ticket" | "hold" | "onFound"> {
  readonly call: LotCall;
  readonly commandFor: (reader: LotReader) => QueueCommand;
}

/** This node cannot answer now; another node may be able to at once. */
const RETRY_LATER: LotReply = { kind: "later", retryAfter: constants.retryAfter };

function submitCommand(
  { name, passage }: PassageMatch,
  { lot, host, entries }: SubmittedLot,
  tenant: string | undefined,
): SubmitCommand {
  return {
    kind: "hand-in",
    lot,
    way: name,
    host,
    ...(tenant === undefined ? {} : { tenant }),
    entries,
    allowance: passage.waitingTokens,
    goesMost: passage.goesMost,
    keeps: configuration.keepsMs(passage),
  };
}

/** Translates the queue owner's result for a submitted lot into the reply to the caller. */
function submissionReply(outcome: QueueOutcome): LotReply {
  if (outcome.kind === "elsewhere") return refusedTemporarily(outcome.reason);
  if (outcome.kind === "unknown") return { kind: "later", retryAfter: constants.retryAfter };
  const { value } = outcome;
  if (value.kind === "HANDED") return { kind: "taken" };
  if (value.kind !== "NO_ROOM") return { kind: "later", retryAfter: constants.retryAfter };
  const { tokens, waiting, allowance, wait } = value;
  return {
    kind: "refused",
    room: true,
    retryAfter:
      wait === undefined
        ? constants.retryAfter
        : Math.max(constants.emptyQueuePauseMs, wait) / 1_000,
    reason: `a lot of ${tokens} tokens does not fit: ${waiting} of ${allowance} wait`,
  };
}

/** The lot cannot be accepted now, for a reason other than its size. */
function refusedTemporarily(reason: string): LotReply {
  return { kind: "refused", room: false, retryAfter: constants.retryAfter, reason };
}
