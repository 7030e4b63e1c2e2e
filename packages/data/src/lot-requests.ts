/** Lots of routes: callers hand them in, look them up and cancel them (docs/design.md §5). */
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
  fullReply,
  goneReply,
  lookUpReply,
  unknownLotReply,
  unsureReply,
  type QueueResultOf,
  type RoomExpected,
} from "./lot-replies.js";
import { checkLot, type CheckedLot, type LotSubmission } from "./lot-submission.js";
import type { Membership } from "./membership.js";
import type { PendingCalls } from "./pending-calls.js";
import type { QueueOutcome } from "./queue-messages.js";
import { findRoute } from "./routes.js";

/** What lots need of their node. */
export interface LotRequestsParts {
  readonly membership: Membership;
  readonly admission: Admission;
  readonly pendingCalls: PendingCalls;
  readonly counts: AccessCounts;
}

/** A request on a lot by its name. */
interface LotQuery {
  readonly ticket: string;
  readonly lot: string;
  readonly command: QueueCommand;
  readonly replyTo: (outcome: QueueOutcome) => AccessOutput;
}

/** Requests on lots at one access node. */
export class LotRequests {
  #membership: Membership;
  #admission: Admission;
  #pendingCalls: PendingCalls;
  #counts: AccessCounts;
  /** ms of the wall clock, for what is told of seasons alone (§10.5). */
  #wallClock = 0;

  constructor({ membership, admission, pendingCalls, counts }: LotRequestsParts) {
    this.#membership = membership;
    this.#admission = admission;
    this.#pendingCalls = pendingCalls;
    this.#counts = counts;
  }

  observeWallClock(wallClock: number): void {
    this.#wallClock = wallClock;
  }

  handIn(submission: LotSubmission, now: number): AccessOutput[] {
    const { ticket, routeName } = submission;
    const { value } = this.#membership.configuration;
    if (!this.#admission.isOpen(now)) return [this.#notRun(ticket, NO_NEW_WORK)];
    const lot = checkLot(submission, findRoute(value, routeName));
    if (lot.kind === "reply") return [lot];
    const onResult = (outcome: QueueOutcome, later: number, askedAt: number): AccessOutput[] => [
      this.#handInReply(ticket, lot, outcome, later - askedAt),
    ];
    const { queue, command } = lot;
    const call = { queue, command, patience: constants.ownerPatience, onResult };
    return this.#pendingCalls.ask(call, now);
  }

  #handInReply(
    ticket: string,
    lot: CheckedLot,
    outcome: QueueOutcome,
    waited: number,
  ): AccessOutput {
    if (outcome.kind === "unknown") return unsureReply(ticket, lot.lot);
    if (outcome.kind === "elsewhere") return this.#notRun(ticket, outcome.reason);
    const { value } = outcome;
    switch (value.kind) {
      case "ADMITTED":
        return admittedReply(ticket, lot, value, waited);
      case "GONE":
        return goneReply(ticket, value);
      case "CONFLICT":
        return conflictReply(ticket, value.lot);
      case "FULL":
        return fullReply(ticket, lot.count, value, this.#roomExpected(lot, value));
      default:
        return errorReply(ticket, 500, { trouble: "internal", reason: value.kind });
    }
  }

  /** The wait by the queue's own rate; where there is none, the moment at which a season gives it room, if one does. */
  #roomExpected({ queue, count }: CheckedLot, { wait }: QueueResultOf<"FULL">): RoomExpected {
    if (wait !== undefined) return { wait, seasonAt: undefined };
    const seasonAt = this.#seasonWithRoomAt(queue, count);
    return { wait: seasonAt === undefined ? undefined : seasonAt - this.#wallClock, seasonAt };
  }

  /** When, by the calendar of seasons, a queue may first hold so many. */
  #seasonWithRoomAt(queue: string, count: number): number | undefined {
    const { value } = this.#membership.configuration;
    const plan = configuration.queues(value).find((each) => each.queue === queue);
    if (plan === undefined) return undefined;
    const wallClock = this.#wallClock;
    const seasons = configuration.seasonsOf(value, wallClock);
    return season.roomAt(seasons, plan.labels, plan.waiting, wallClock, count);
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
    const call = { queue, command, patience: constants.ownerPatience, onResult };
    return this.#pendingCalls.ask(call, now);
  }

  #isKnown(queue: string): boolean {
    return this.#membership.follower.read(keys.queue + queue) !== undefined;
  }

  /** Only a node that surely has the newest configuration may say that there is no such queue. */
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
