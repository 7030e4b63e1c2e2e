/** Asks the lot directory in which queue a lot is to be submitted (docs/design.md §13.11). */
import {
  constants,
  lotDirectoryQueue,
  type AssignLotCommand,
  type QueueCommand,
} from "@chutewick/parts";
import type { AccessOutput } from "./access-output.js";
import type { Membership } from "./membership.js";
import type { PendingCalls } from "./pending-calls.js";
import { knownPoolQueues } from "./pool-queues.js";
import type { QueueOutcome } from "./queue-messages.js";

/** The queue of a lot. */
export interface LotAssignment {
  readonly queue: string;
  /** Time in ms for which the directory keeps the id at least. */
  readonly knownFor: number;
}

/** A lot whose queue is to be found. Exactly one of the handlers is called. */
export interface AssignmentRequest extends Omit<AssignLotCommand, "kind" | "isFixed"> {
  readonly onAssigned: (assignment: LotAssignment, now: number) => AccessOutput[];
  /** Nothing was submitted. */
  readonly onRefused: (reason: string) => AccessOutput[];
}

/** A request under way. */
interface PendingAssignment {
  readonly request: AssignmentRequest;
  /** Monotonic time in ms at which it is given up. */
  readonly until: number;
  /** Queues that have not answered yet whether they accepted the lot earlier. */
  open: number;
  /** The queue that accepted the lot before there was a directory. */
  foundIn: string | undefined;
  hasEnded: boolean;
}

/** No result is listed at this position. */
const PAST_ALL_RESULTS = Number.MAX_SAFE_INTEGER;

/** Finds the queues of lots for one access node. */
export class LotAssigner {
  readonly #membership: Membership;
  readonly #pendingCalls: PendingCalls;
  /** Queues all of whose lots the directory knows; this never changes again. */
  readonly #completeQueues = new Set<string>();

  constructor(membership: Membership, pendingCalls: PendingCalls) {
    this.#membership = membership;
    this.#pendingCalls = pendingCalls;
  }

  /**
   * Assigns a lot. Queues that may hold lots of an earlier release are asked first, since the directory does not know those lots;
   * no queue accepts another lot without an assignment, so their answers stay true.
   */
  assign(request: AssignmentRequest, now: number): AccessOutput[] {
    const pending: PendingAssignment = {
      request,
      until: now + constants.assignTimeoutMs,
      open: 0,
      foundIn: undefined,
      hasEnded: false,
    };
    // Queues of an earlier release were placed before the directory: who does not know it may not know them either.
    if (!this.#isPlaced(lotDirectoryQueue))
      return refuse(pending, "the lot directory is not placed yet");
    const queues: string[] = [];
    for (const queue of knownPoolQueues(this.#membership))
      if (!this.#completeQueues.has(queue)) queues.push(queue);
    if (queues.length === 0) return this.#askDirectory(pending, now);
    pending.open = queues.length;
    const outputs: AccessOutput[] = [];
    for (const queue of queues) outputs.push(...this.#lookUp(queue, pending, now));
    return outputs;
  }

  #lookUp(queue: string, pending: PendingAssignment, now: number): AccessOutput[] {
    const { lot } = pending.request;
    const command: QueueCommand = { kind: "results", lot, from: PAST_ALL_RESULTS };
    const onResult = (outcome: QueueOutcome, later: number): AccessOutput[] =>
      this.#lookedUp(queue, pending, outcome, later);
    const patience = constants.assignTimeoutMs;
    return this.#pendingCalls.start({ queue, command, patience, onResult }, now);
  }

  #lookedUp(
    queue: string,
    pending: PendingAssignment,
    outcome: QueueOutcome,
    now: number,
  ): AccessOutput[] {
    if (outcome.kind === "confirmed" && outcome.value.kind === "UNKNOWN_LOT") {
      if (outcome.value.isDirectoryComplete === true) this.#completeQueues.add(queue);
      if (outcome.value.wasAccepted === true) pending.foundIn = queue;
    } else if (outcome.kind === "confirmed") pending.foundIn = queue;
    else return refuse(pending, "a queue that may know the lot cannot be reached");
    pending.open -= 1;
    return pending.open === 0 ? this.#askDirectory(pending, now) : [];
  }

  #askDirectory(pending: PendingAssignment, now: number): AccessOutput[] {
    if (pending.hasEnded) return [];
    const { lot, group, queue, keeps } = pending.request;
    // A queue that was never placed would keep its lots waiting for ever, so it is not proposed.
    const proposed = queue !== undefined && this.#isPlaced(queue) ? queue : undefined;
    const placed = pending.foundIn ?? proposed;
    const command: AssignLotCommand = {
      kind: "assign-lot",
      lot,
      group,
      ...(placed === undefined ? {} : { queue: placed }),
      ...(pending.foundIn === undefined ? {} : { isFixed: true }),
      keeps,
    };
    const onResult = (outcome: QueueOutcome, later: number): AccessOutput[] =>
      assigned(pending, outcome, later);
    const patience = Math.max(0, pending.until - now);
    return this.#pendingCalls.start({ queue: lotDirectoryQueue, command, patience, onResult }, now);
  }

  #isPlaced(queue: string): boolean {
    return this.#pendingCalls.ownerOf(queue) !== undefined;
  }
}

function assigned(pending: PendingAssignment, outcome: QueueOutcome, now: number): AccessOutput[] {
  if (pending.hasEnded) return [];
  if (outcome.kind !== "confirmed") return refuse(pending, "the lot directory cannot be reached");
  if (outcome.value.kind !== "LOT_ASSIGNED")
    return refuse(pending, "the queue of the lot is not placed yet");
  pending.hasEnded = true;
  const { queue, knownFor } = outcome.value;
  return pending.request.onAssigned({ queue, knownFor }, now);
}

function refuse(pending: PendingAssignment, reason: string): AccessOutput[] {
  if (pending.hasEnded) return [];
  pending.hasEnded = true;
  return pending.request.onRefused(reason);
}
