/** Types of the passages: relayed live requests, and lots (batch jobs) of items (docs/design.md §13). */
import type { PassEntry } from "@chutewick/parts";
import type { PassageWork } from "./dialect.js";

/** Commands and replies of the passages, carried out by the I/O layer of an access node. */
export type PassageOutput =
  | {
      readonly kind: "pass-run";
      readonly go: number;
      readonly address: string;
      readonly work: PassageWork;
    }
  | { readonly kind: "pass-abandon"; readonly go: number }
  | { readonly kind: "pass-pause"; readonly go: number }
  | { readonly kind: "pass-resume"; readonly go: number }
  /** The response head of the runner, forwarded unchanged. */
  | {
      readonly kind: "pass-head";
      readonly ticket: string;
      readonly status: number;
      readonly headers: readonly string[];
    }
  | { readonly kind: "pass-bytes"; readonly ticket: string; readonly bytes: Uint8Array }
  | { readonly kind: "pass-end"; readonly ticket: string }
  /** The response is aborted; the caller must be able to tell that it is incomplete. */
  | { readonly kind: "pass-cut"; readonly ticket: string }
  /** The final reply of the access node itself; 408, 429 and 503 guarantee that the request never runs. retryAfter in seconds. */
  | {
      readonly kind: "pass-refused";
      readonly ticket: string;
      readonly status: 401 | 404 | 408 | 413 | 429 | 502 | 503 | 504;
      readonly retryAfter: number | undefined;
      readonly reason: string;
    }
  | { readonly kind: "lot-told"; readonly ticket: string; readonly told: LotReply };

/** One item of a submitted lot, as the queue stores it. */
export type LotEntry = PassEntry;

/** A submitted lot. */
export interface SubmittedLot {
  readonly lot: string;
  readonly host: string;
  readonly path: string;
  readonly entries: readonly LotEntry[];
  /** See `PassageRequest.credential`. */
  readonly credential: string | undefined;
}

/** A call that concerns a submitted lot. */
export interface LotCall {
  readonly lot: string;
  readonly host: string;
  /** See `PassageRequest.credential`. */
  readonly credential: string | undefined;
}

/** A read of the results of a lot. */
export interface LotResultsQuery {
  /** Position of the first result. */
  readonly from: number;
  /** Long-poll timeout in ms: how long the reply may wait for a result at that position. */
  readonly hold: number;
}

/** The result of one item. */
export interface LotResult {
  readonly item: string;
  readonly state: "solved" | "failed";
  /** Data of all events in order, joined by line feeds. */
  readonly text: string;
}

/** The reply to a call on a lot. */
export type LotReply =
  /** The lot is accepted as a whole and stored durably. */
  | { readonly kind: "taken" }
  /** The lot is rejected and no item runs. `room`: no free capacity; otherwise no owner is available. retryAfter in seconds. */
  | {
      readonly kind: "refused";
      readonly room: boolean;
      readonly retryAfter: number | undefined;
      readonly reason: string;
    }
  /** Results from a position on; `next` is the position to continue from. */
  | {
      readonly kind: "results";
      readonly total: number;
      readonly results: readonly LotResult[];
      readonly next: number;
    }
  /** The submitted body of an item. */
  | { readonly kind: "body"; readonly bytes: Uint8Array }
  | { readonly kind: "ended" }
  /** The credential belongs to no tenant. */
  | { readonly kind: "unauthorized" }
  /** The lot or the item certainly does not exist. */
  | { readonly kind: "missing" }
  /** The state is unknown for now; retryAfter in seconds. */
  | { readonly kind: "later"; readonly retryAfter: number };

/** Whether an output of an access node belongs to the passages. */
export function isPassageOutput(output: { readonly kind: string }): output is PassageOutput {
  return output.kind.startsWith("pass-") || output.kind === "lot-told";
}
