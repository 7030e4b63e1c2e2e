/** Error responses of the HTTP interface (docs/interface.md). */
import { constants } from "@chutewick/parts";

/** Machine-readable error code, sent as the field `trouble` of the body. */
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

/** The body of an error response. */
export type ErrorBody = {
  readonly trouble: ErrorCode;
  readonly reason: string;
  /** Time (s) after which the caller should retry. */
  readonly retryAfter?: number;
  /** Time (ISO 8601) at which a season gives the queue free capacity. */
  readonly roomAt?: string;
  /** Id of the lot (the batch job). */
  readonly lot?: string;
  /** Path at which the state of the lot can be read. */
  readonly lookUp?: string;
  /** Name of the route. */
  readonly way?: string;
  /** Number of items of the lot. */
  readonly of?: number;
  readonly state?: "cancelled" | "done";
  /** Minimum time (s) since the lot ended. */
  readonly endedBefore?: number;
};

/** A reply that ends a request with an error. */
export interface ErrorReply {
  readonly kind: "reply";
  readonly ticket: string;
  readonly status: number;
  readonly body: ErrorBody;
}

/** Builds the reply that ends the request of a ticket with an HTTP error status. */
export function errorReply(ticket: string, status: number, body: ErrorBody): ErrorReply {
  return { kind: "reply", ticket, status, body };
}

/** Builds the reply that promises that a request did not run and never will. retryAfter in s. */
export function notRunReply(
  ticket: string,
  reason: string,
  retryAfter: number = constants.retryAfter,
): ErrorReply {
  return errorReply(ticket, 503, { trouble: "not-run", reason, retryAfter });
}
