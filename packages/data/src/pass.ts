import type { PassEntry } from "@chutewick/parts";
import type { PassWork } from "./dialect.js";

/** What passages tell the shell of an access node (docs/design.md §13). */
export type PassOutput =
  | {
      readonly kind: "pass-run";
      readonly go: number;
      readonly address: string;
      readonly work: PassWork;
    }
  | { readonly kind: "pass-abandon"; readonly go: number }
  | { readonly kind: "pass-pause"; readonly go: number }
  | { readonly kind: "pass-resume"; readonly go: number }
  /** The runner's own result, byte for byte. */
  | {
      readonly kind: "pass-head";
      readonly ticket: string;
      readonly status: number;
      readonly headers: readonly string[];
    }
  | { readonly kind: "pass-bytes"; readonly ticket: string; readonly bytes: Uint8Array }
  | { readonly kind: "pass-end"; readonly ticket: string }
  /** The result breaks off and must not look whole. */
  | { readonly kind: "pass-cut"; readonly ticket: string }
  /** Our own final word; 429, 503 and 408 promise that it did not run and never will. retryAfter in s. */
  | {
      readonly kind: "pass-refused";
      readonly ticket: string;
      readonly status: 401 | 404 | 408 | 413 | 429 | 502 | 503 | 504;
      readonly retryAfter: number | undefined;
      readonly reason: string;
    }
  | { readonly kind: "lot-told"; readonly ticket: string; readonly told: LotTold };

/** One item of a lot as it was handed in: what the queue keeps of it. */
export type LotEntry = PassEntry;

export interface LotHandedIn {
  readonly lot: string;
  readonly host: string;
  readonly path: string;
  readonly entries: readonly LotEntry[];
  /** As with a request. */
  readonly credential: string | undefined;
}

/** What a call on a lot that was handed in says of itself. */
export interface LotCall {
  readonly lot: string;
  readonly host: string;
  /** As with a request. */
  readonly credential: string | undefined;
}

/** Which results are read: from which position on, and for how many ms the answer may wait for one there. */
export interface LotReading {
  readonly from: number;
  readonly hold: number;
}

export interface LotResult {
  readonly item: string;
  readonly state: "solved" | "failed";
  /** Data of all events in order, with line feeds between. */
  readonly text: string;
}

export type LotTold =
  /** From here on the whole lot is ours to keep. */
  | { readonly kind: "taken" }
  /** No part of it runs. `room`: it does not fit now; else nobody can take it now. retryAfter in s. */
  | {
      readonly kind: "refused";
      readonly room: boolean;
      readonly retryAfter: number | undefined;
      readonly reason: string;
    }
  | {
      readonly kind: "results";
      readonly total: number;
      readonly results: readonly LotResult[];
      readonly next: number;
    }
  | { readonly kind: "body"; readonly bytes: Uint8Array }
  | { readonly kind: "ended" }
  /** No tenant holds the credential. */
  | { readonly kind: "unauthorized" }
  /** There surely is no such lot, or no such item. */
  | { readonly kind: "missing" }
  /** It cannot be said now. */
  | { readonly kind: "later"; readonly retryAfter: number };

export function isPassing(output: { readonly kind: string }): output is PassOutput {
  return output.kind.startsWith("pass-") || output.kind === "lot-told";
}
