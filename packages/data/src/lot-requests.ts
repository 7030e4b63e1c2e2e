/** Lots (batch jobs) of routes: callers submit them, look them up and cancel them (docs/design.md §5). */
import { constants, season, type QueueCommand } from "@chutewick/parts";
import { configuration, keys } from "@chutewick/control";
import type { AccessCounts } from "./access-counts.js";
import type { AccessOutput } from "./access-output.js";
import { NO_NEW_WORK, type Admission } from "./admission.js";
import { errorReply, notRunReply } from "./error-reply.js";
import { queueOfLot } from "./lot-names.js";
import {
  admittedReply,
  cancelReply,
  conflictReply,
  queueFullReply,
  goneReply,
  lookUpReply,
  unknownLotReply,
  unknownOutcomeReply,
  type QueueResultOf,
  type ExpectedCapacity,
} from "./lot-replies.js";
import { checkLot, type CheckedLot, type LotSubmission } from "./lot-submission.js";
import type { Membership } from "./membership.js";
import type { PendingCalls } from "./pending-calls.js";
import type { QueueOutcome } from "./queue-messages.js";
import { findRoute } from "./routes.js";

/** Components of the access node that lot requests use. */
export interface LotRequestsDependencies {
  readonly membership: Membership;
  readonly admission: Admission;
  readonly pendingCalls: PendingCalls;
  readonly counts: AccessCounts;
}

/** A request that concerns an existing lot. */
interface LotQuery {
  readonly ticket: string;
  readonly lot: string;
  readonly command: QueueCommand;
  readonly replyTo: (outcome: QueueOutcome) => AccessOutput;
}

/** Serves requests for lots at one access node. */
export class LotRequests {
  #membership: Membership;
  #admission: Admission;
  #pendingCalls: PendingCalls;
  #counts: AccessCounts;
  /** Wall clock time in ms; used only to tell callers when a season opens capacity. */
  #wallClock = 0;

  constructor({ membership, admission, pendingCalls, counts }: LotRequestsDependencies) {
    this.#membership = membership;
    this.#admission = admission;
    this.#pendingCalls = pendingCalls;
    this.#counts = counts;
  }

  observeWallClock(wallClock: number): void {
    this.#wallClock = wallClock;
  }

  submit(submission: LotSubmission, now: number): AccessOutput[] {
    const { ticket, routeName } = submission;
    const { value } = this.#membership.configuration;
    if (!this.#admission.isOpen(now)) return [this.#notRun(ticket, NO_NEW_WORK)];
    const lot = checkLot(submission, findRoute(value, routeName));
    if (lot.kind === "reply") return [lot];
    const onResult = (outcome: QueueOutcome, later: number, askedAt: number): AccessOutput[] => [
      this.#submissionReply(ticket, lot, outcome, later - askedAt),
    ];
    const { queue, command } = lot;
    const call = { queue, command, patience: constants.ownerTimeoutMs, onResult };
    return this.#pendingCalls.start(call, now);
  }

  #submissionReply(
    ticket: string,
    lot: CheckedLot,
    outcome: QueueOutcome,
    elapsed: number,
  ): AccessOutput {
    if (outcome.kind === "unknown") return unknownOutcomeReply(ticket, lot.lot);
    if (outcome.kind === "elsewhere") return this.#notRun(ticket, outcome.reason);
    const { value } = outcome;
    switch (value.kind) {
      case "ADMITTED":
        return admittedReply(ticket, lot, value, elapsed);
      case "GONE":
        return goneReply(ticket, value);
      case "CONFLICT":
        return conflictReply(ticket, value.lot);
      case "FULL":
        return queueFullReply(ticket, lot.count, value, this.#expectedCapacity(lot, value));
      default:
        return errorReply(ticket, 500, { trouble: "internal", reason: value.kind });
    }
  }

  /** Returns the wait by the queue's own rate; without one, the time at which a season gives the queue free capacity, if any does. */
  #expectedCapacity(
    { queue, count }: CheckedLot,
    { wait }: QueueResultOf<"FULL">,
  ): ExpectedCapacity {
    if (wait !== undefined) return { wait, seasonAt: undefined };
    const seasonAt = this.#seasonWithCapacityAt(queue, count);
    return { wait: seasonAt === undefined ? undefined : seasonAt - this.#wallClock, seasonAt };
  }

  /** Returns the first time at which the calendar of seasons lets a queue hold this many more items. */
  #seasonWithCapacityAt(queue: string, count: number): number | undefined {
    const { value } = this.#membership.configuration;
    const plannedQueue = configuration.queues(value).find((each) => each.queue === queue);
    if (plannedQueue === undefined) return undefined;
    const wallClock = this.#wallClock;
    const seasons = configuration.seasonsOf(value, wallClock);
    return season.roomAt(seasons, plannedQueue.labels, plannedQueue.waiting, wallClock, count);
  }

  lookUp(ticket: string, lot: string, now: number): AccessOutput[] {
    const replyTo = (outcome: QueueOutcome): AccessOutput => lookUpReply(ticket, outcome);
    return this.#query({ ticket, lot, command: { kind: "status", lot }, replyTo }, now);
  }

  cancel(ticket: string, lot: string, now: number): AccessOutput[] {
    const replyTo = (outcome: QueueOutcome): AccessOutput => cancelReply(ticket, lot, outcome);
    return this.#query({ ticket, lot, command: { kind: "cancel", lot }, replyTo }, now);
  }

  #query({ ticket, lot, command, replyTo }: LotQuery, now: number): AccessOutput[] {
    const queue = queueOfLot(lot);
    if (queue === undefined || !this.#isKnown(queue)) return [this.#noSuchQueue(ticket, now)];
    const onResult = (outcome: QueueOutcome): AccessOutput[] => [replyTo(outcome)];
    const call = { queue, command, patience: constants.ownerTimeoutMs, onResult };
    return this.#pendingCalls.start(call, now);
  }

  #isKnown(queue: string): boolean {
    return this.#membership.follower.read(keys.queue + queue) !== undefined;
  }

  /** Only a node that is certain to have the newest configuration may answer that a queue does not exist. */
  #noSuchQueue(ticket: string, now: number): AccessOutput {
    return this.#membership.holds(now)
      ? unknownLotReply(ticket)
      : this.#notRun(ticket, "this access node is cut off from the control group");
  }

  #notRun(ticket: string, reason: string): AccessOutput {
    this.#counts.notRun += 1;
    return notRunReply(ticket, reason);
  }
}
