/** What callers are told of lots, by what the owner of their queue said (docs/interface.md). */
import { constants, type QueueResult } from "@chutewick/parts";
import type { AccessOutput } from "./access-output.js";
import { errorReply, notRunReply, type ErrorBody, type ErrorReply } from "./error-reply.js";
import type { CheckedLot } from "./lot-submission.js";
import type { QueueOutcome } from "./queue-messages.js";

/** A result of the owner by its kind. */
export type QueueResultOf<Kind extends QueueResult["kind"]> = Extract<QueueResult, { kind: Kind }>;

/** When a queue has room again. */
export interface RoomExpected {
  /** ms until then. */
  readonly wait: number | undefined;
  /** Moment (ms, wall clock) at which a season gives it; undefined where the queue's own rate does. */
  readonly seasonAt: number | undefined;
}

type LotState = "cancelled" | "cancelling" | "done" | "open";

/** The lot was accepted. waited: ms since it was asked for. */
export function admittedReply(
  ticket: string,
  lot: CheckedLot,
  value: QueueResultOf<"ADMITTED">,
  waited: number,
): AccessOutput {
  const remaining = Math.min(lot.lasts, value.remaining - waited);
  const body = {
    lot: value.lot,
    items: lot.count,
    lookUp: `/lots/${value.lot}`,
    endsWithin: Math.max(0, remaining) / 1_000,
  };
  return { kind: "reply", ticket, status: 202, body };
}

/** No owner's word came: the lot may have been accepted. */
export function unsureReply(ticket: string, lot: string): ErrorReply {
  return errorReply(ticket, 504, {
    trouble: "unknown",
    reason:
      "whether the lot was accepted is not known yet; look it up, or hand it in again under the same key",
    lot,
    lookUp: `/lots/${lot}`,
  });
}

/** The key names another lot. */
export function conflictReply(ticket: string, lot: string): ErrorReply {
  return errorReply(ticket, 409, {
    trouble: "conflict",
    reason: "this key was used with another body",
    lot,
  });
}

/** The queue has no room for so many items. */
export function fullReply(
  ticket: string,
  count: number,
  value: QueueResultOf<"FULL">,
  { wait, seasonAt }: RoomExpected,
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

/** The lot ended long ago. */
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

/** There surely is no such lot. */
export function unknownLotReply(ticket: string, reason = "there is no such lot"): ErrorReply {
  return errorReply(ticket, 404, { trouble: "unknown-lot", reason });
}

/** A lot's state and the states and results of its items. */
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

/** Whether a lot is cancelled, and how many items were stopped by it. */
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
  const body = { lot, stopped, newItemsWithin: constants.grantLasts / 1_000 };
  return { kind: "reply", ticket, status: 200, body };
}
