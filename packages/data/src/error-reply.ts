/** Errors as callers of the HTTP interface are told them (docs/interface.md). */
import { constants } from "@chutewick/parts";

/** Tells errors apart for programs; the field `trouble` of the body. */
export type ErrorCode =
  | "bad-body"
  | "conflict"
  | "gone"
  | "internal"
  | "lot-too-large"
  | "may-have-run"
  | "not-run"
  | "older-incarnation"
  | "refused"
  | "runner-failed"
  | "said-goodbye"
  | "unknown"
  | "unknown-lot"
  | "unknown-way"
  | "wrong-kind";

/** The body of an error. */
export type ErrorBody = {
  readonly trouble: ErrorCode;
  readonly reason: string;
  /** s until it is worth trying again. */
  readonly retryAfter?: number;
  /** Moment (ISO 8601) at which a season gives the queue room. */
  readonly roomAt?: string;
  readonly lot?: string;
  /** Path at which the lot's state can be read. */
  readonly lookUp?: string;
  readonly way?: string;
  /** Number of items of a lot. */
  readonly of?: number;
  readonly state?: "cancelled" | "done";
  /** s since the lot ended, at least. */
  readonly endedBefore?: number;
};

/** An answer that ends a request with an error. */
export interface ErrorReply {
  readonly kind: "reply";
  readonly ticket: string;
  readonly status: number;
  readonly body: ErrorBody;
}

/** Ends the request of a ticket with an HTTP status and an error. */
export function errorReply(ticket: string, status: number, body: ErrorBody): ErrorReply {
  return { kind: "reply", ticket, status, body };
}

/** Ends a request with the promise that it did not run and never will. retryAfter in s. */
export function notRunReply(
  ticket: string,
  reason: string,
  retryAfter: number = constants.retryAfter,
): ErrorReply {
  return errorReply(ticket, 503, { trouble: "not-run", reason, retryAfter });
}
