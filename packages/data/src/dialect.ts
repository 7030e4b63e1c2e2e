/** How runners are spoken to on passages: names of headers belong to whoever deploys, not to the cores (docs/design.md §13.2). */

import type { Tenancy } from "@chutewick/parts";

/** One part of a prompt, shared with other requests where its name is the same. */
export interface PromptPart {
  readonly name: string;
  /** tokens */
  readonly size: number;
}

/** What a request on a passage says of itself, read by the interface that it came in through. */
export interface PassRequest {
  /** The caller's own id of this try; told to the runner unchanged. */
  readonly id: string;
  readonly method: string;
  readonly host: string;
  /** Path with its query, unchanged. */
  readonly path: string;
  /** Names and values in turn, as they came, without those of one connection alone. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
  /** ms that the caller still waits, from the arrival; undefined where it did not say. */
  readonly patience: number | undefined;
  readonly model: string | undefined;
  /** tokens of the prompt, and the most to be put out; undefined where not told. */
  readonly tokensIn: number | undefined;
  readonly tokensOut: number | undefined;
  readonly parts: readonly PromptPart[];
  /** The caller goes on with a stream after this event. */
  readonly resumeAfter: number | undefined;
  /** What the caller presents to be known as a tenant; undefined where it presents nothing of one meaning. */
  readonly credential: string | undefined;
}

/** What goes to a runner. */
export interface PassWork {
  readonly request: PassRequest;
  /** The life of the runner that is meant; any other one refuses it. */
  readonly runner: string;
  /** 0 goes first, 9 last, in the runner's own queue. */
  readonly rank: number;
  /** Moment, by the monotonic clock in ms, at which the runner may cease. */
  readonly until: number;
  /** The stream goes on after this event. */
  readonly resumeAfter: number | undefined;
  /** Whether the result is read as a series of events: `event` is told for each whole one instead of `data`. */
  readonly events: boolean;
  /** Whether it may run more than once: then it may go out on a kept connection that might just be closing. */
  readonly repeatable: boolean;
  /**
   * Where it stands, neither the credential of the caller nor the tenant that it names itself is passed on; undefined where
   * the configuration names no tenants: then such headers are passed on as they came.
   */
  readonly tenancy: Tenancy | undefined;
}

/** What the head of a runner's result says, read through the dialect. */
export interface ResultHead {
  /** The id of the request that it belongs to; undefined where it names none. */
  readonly id: string | undefined;
  /** Bears the runner's stamp: without it a success is none. */
  readonly stamped: boolean;
  /** The runner states that it did not run the request and never will. */
  readonly notRun: boolean;
  /** It is not the life of the runner that was meant. */
  readonly otherRunner: boolean;
  /** s */
  readonly retryAfter: number | undefined;
}

export interface RunnerDialect {
  /** Names and values of all headers of a work as it goes out at a moment (ms, monotonic). */
  headers(work: PassWork, now: number): string[];
  read(
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ): ResultHead;
}

/** What the links to runners tell of one go. */
export type PassEvent =
  /** No byte went out: it did not run. */
  | { readonly kind: "unsent"; readonly reason: string }
  /** The runner states that it did not run it. */
  | {
      readonly kind: "refused";
      readonly status: number;
      readonly retryAfter: number | undefined;
      readonly otherRunner: boolean;
    }
  /** Headers are names and values in turn, without those of one connection alone. */
  | {
      readonly kind: "head";
      readonly status: number;
      readonly headers: readonly string[];
      readonly stamped: boolean;
    }
  | { readonly kind: "data"; readonly bytes: Uint8Array }
  /** A whole event: its number (undefined where it bears none), its data, and its bytes as they came. */
  | {
      readonly kind: "event";
      readonly number: number | undefined;
      readonly data: string;
      readonly bytes: Uint8Array;
    }
  /** The whole body has come, and its end as the protocol has it. */
  | { readonly kind: "end" }
  /** Bytes went out, and no whole result of this request came back: it may have run. */
  | { readonly kind: "broken"; readonly reason: string };

/** Links to runners: connections are kept and shared by all goes of this process. */
export interface PassLinks {
  run(go: number, address: string, work: PassWork): void;
  /** The caller left, or the work is given up: the connection is ended, so that the runner drops it. */
  abandon(go: number): void;
  /** The reader is slow: no more is read until `resume`. */
  pause(go: number): void;
  resume(go: number): void;
}
