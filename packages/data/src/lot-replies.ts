/** HTTP replies to lot requests, built from the result that the queue owner returned (docs/interface.md). */
import { constants, type QueueResult } from "@chutewick/parts";
import type { AccessOutput } from "./access-output.js";
import { errorReply, notRunReply, type ErrorBody, type ErrorReply } from "./error-reply.js";
import type { CheckedLot } from "./lot-submission.js";
import type { QueueOutcome } from "./queue-messages.js";

/** The queue result of one kind. */
export type QueueResultOf<Kind extends QueueResult["kind"]> = Extract<QueueResult, { kind: Kind }>;

/** When a full queue is expected to have free capacity. */
export interface ExpectedCapacity {
  /** Time until then, in ms; undefined if it is not known. */
  readonly wait: number | undefined;
  /** Wall clock time (ms) at which a season provides the capacity; undefined if the queue's own rate provides it. */
  readonly seasonAt: number | undefined;
}

type LotState = "cancelled" | "cancelling" | "done" | "open";

/**
 * The lot was accepted.
 * @param elapsed time in ms since the request was sent to the owner
 */
export function admittedReply(
  ticket: string,
  lot: CheckedLot,
  value: QueueResultOf<"ADMITTED">,
  elapsed: number,
): AccessOutput {
  const remaining = Math.min(lot.lasts, value.remaining - elapsed);
  const body = {
    lot: value.lot,
    items: lot.count,
    lookUp: `/lots/${value.lot}`,
    endsWithin: Math.max(0, remaining) / 1_000,
  };
  return { kind: "reply", ticket, status: 202, body };
}

/** The owner did not answer: the lot may have been accepted. */
export function unknownOutcomeReply(ticket: string, lot: string): ErrorReply {
  return errorReply(ticket, 504, {
    trouble: "unknown",
    reason:
      "whether the lot was accepted is not known yet; look it up, or hand it in again under the same key",
    lot,
    lookUp: `/lots/${lot}`,
  });
}

/** The key was already used for a lot with another body. */
export function conflictReply(ticket: string, lot: string): ErrorReply {
  return errorReply(ticket, 409, {
    trouble: "conflict",
    reason: "this key was used with another body",
    lot,
  });
}

/** The queue has too little free capacity for the lot's items. */
export function queueFullReply(
  ticket: string,
  count: number,
  value: QueueResultOf<"FULL">,
  { wait, seasonAt }: ExpectedCapacity,
): ErrorReply {
  const reason =
    count > value.allowance
      ? `a lot of ${count} items is more than the ${value.allowance} that may wait in this queue now`
      : `the queue may hold ${value.allowance} waiting items now and holds ${value.waiting}, those under way included`;
  return errorReply(ticket, 429, {
    trouble: "refused",
    reason,
    ...(wait === undefined ? {} : { retryAfter: Math.max(constants.retryAfter, wait / 1_000) }),
    ...(seasonAt === undefined ? {} : { roomAt: new Date(seasonAt).toISOString() }),
  });
}

/** The lot ended and its results are no longer retained. */
export function goneReply(ticket: string, value: QueueResultOf<"GONE">): ErrorReply {
  const body: ErrorBody = {
    trouble: "gone",
    reason:
      "this lot was accepted and ended; its results are no longer kept, and it does not run again",
    lot: value.lot,
    way: value.way,
    of: value.items,
    state: value.cancelled ? "cancelled" : "done",
    endedBefore: Math.round(value.endedBefore / 1_000),
  };
  return errorReply(ticket, 410, body);
}

/** The lot is certain not to exist. */
export function unknownLotReply(ticket: string, reason = "there is no such lot"): ErrorReply {
  return errorReply(ticket, 404, { trouble: "unknown-lot", reason });
}

/** Replies with a lot's state and the states and results of its items. */
export function lookUpReply(ticket: string, outcome: QueueOutcome): AccessOutput {
  if (outcome.kind !== "confirmed") return notRunReply(ticket, "the lot's owner cannot answer now");
  const { value } = outcome;
  if (value.kind === "GONE") return goneReply(ticket, value);
  if (value.kind !== "LOT")
    return unknownLotReply(ticket, "there is no such lot, or it ended more than a day ago");
  const { id, way, items, open, cancelled } = value.lot;
  const state = stateOf(open, cancelled);
  const body = { lot: id, way, items: value.items, of: items, open, state };
  return { kind: "reply", ticket, status: 200, body };
}

function stateOf(open: number, isCancelled: boolean): LotState {
  if (open === 0) return isCancelled ? "cancelled" : "done";
  return isCancelled ? "cancelling" : "open";
}

/** Replies whether a lot is cancelled and how many items that stopped. */
export function cancelReply(ticket: string, lot: string, outcome: QueueOutcome): AccessOutput {
  if (outcome.kind === "elsewhere") return notRunReply(ticket, outcome.reason);
  if (outcome.kind === "unknown")
    return errorReply(ticket, 504, {
      trouble: "unknown",
      reason: "whether the lot is cancelled is not known yet; cancel it again",
      lot,
    });
  if (outcome.value.kind !== "CANCELLED") return unknownLotReply(ticket);
  const { stopped } = outcome.value;
  const body = { lot, stopped, newItemsWithin: constants.grantDurationMs / 1_000 };
  return { kind: "reply", ticket, status: 200, body };
}
