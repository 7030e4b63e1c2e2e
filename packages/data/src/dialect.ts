/**
 * Types of the protocol between access nodes and the runners of passages (routes on which requests are relayed unchanged).
 * Header names are left to a protocol adapter, because they depend on the deployment (docs/design.md §13.2).
 */

import type { Tenancy } from "@chutewick/parts";

/** One part of a prompt. Prompts that have a part of the same name share its content. */
export interface PromptPart {
  readonly name: string;
  /** Size in tokens. */
  readonly size: number;
}

/** A request on a passage, as parsed by the HTTP interface that received it. */
export interface PassageRequest {
  /** The caller's id of this attempt, forwarded to the runner unchanged. */
  readonly id: string;
  readonly method: string;
  readonly host: string;
  /** Path and query string, unchanged. */
  readonly path: string;
  /** Alternating names and values as received, without hop-by-hop headers. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
  /** Timeout of the caller in ms, counted from the arrival; undefined if it set none. */
  readonly patience: number | undefined;
  readonly model: string | undefined;
  /** Prompt tokens and maximum output tokens; undefined if not given. */
  readonly tokensIn: number | undefined;
  readonly tokensOut: number | undefined;
  readonly parts: readonly PromptPart[];
  /** The caller resumes a stream after the event with this number. */
  readonly resumeAfter: number | undefined;
  /** Credential that identifies the tenant; undefined if the caller presents none, or an ambiguous one. */
  readonly credential: string | undefined;
}

/** A request to be sent to a runner. */
export interface PassageWork {
  readonly request: PassageRequest;
  /** The runner incarnation that is addressed; any other one refuses the request. */
  readonly runner: string;
  /** Priority in the queue of the runner, from 0 (first) to 9 (last). */
  readonly rank: number;
  /** Deadline in ms of the monotonic clock, after which the runner may stop working. */
  readonly until: number;
  /** The stream resumes after the event with this number. */
  readonly resumeAfter: number | undefined;
  /** Whether the result is parsed as server-sent events: each complete event is reported as `event` instead of `data`. */
  readonly events: boolean;
  /** Whether it may run more than once. It may then use a keep-alive connection that might just be closing. */
  readonly repeatable: boolean;
  /**
   * If set, neither the credential of the caller nor a tenant header that it sent is forwarded. Undefined if the configuration
   * has no tenants; such headers are then forwarded unchanged.
   */
  readonly tenancy: Tenancy | undefined;
}

/** The response head of a runner, as parsed by the protocol adapter. */
export interface ResponseHead {
  /** Id of the request that it answers; undefined if the header is missing. */
  readonly id: string | undefined;
  /** Whether it carries the stamp header of the runner; without it a success status does not count. */
  readonly stamped: boolean;
  /** The runner guarantees that it did not run the request and never will. */
  readonly notRun: boolean;
  /** Another runner incarnation than the addressed one answered. */
  readonly otherRunner: boolean;
  /** Seconds. */
  readonly retryAfter: number | undefined;
}

/** Protocol adapter: maps requests to HTTP headers and response headers to a `ResponseHead`. */
export interface RunnerProtocol {
  /** Returns alternating names and values of all headers of a request sent at `now` (ms, monotonic). */
  headers(work: PassageWork, now: number): string[];
  read(
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ): ResponseHead;
}

/** An event of one attempt, reported by the connections to runners. */
export type PassageEvent =
  /** No byte was sent, so the request did not run. */
  | { readonly kind: "unsent"; readonly reason: string }
  /** The runner guarantees that it did not run the request. */
  | {
      readonly kind: "refused";
      readonly status: number;
      readonly retryAfter: number | undefined;
      readonly otherRunner: boolean;
    }
  /** The response head. Headers alternate names and values, without hop-by-hop headers. */
  | {
      readonly kind: "head";
      readonly status: number;
      readonly headers: readonly string[];
      readonly stamped: boolean;
    }
  | { readonly kind: "data"; readonly bytes: Uint8Array }
  /** A complete server-sent event: its number (undefined if it has none), its data, and its bytes as received. */
  | {
      readonly kind: "event";
      readonly number: number | undefined;
      readonly data: string;
      readonly bytes: Uint8Array;
    }
  /** The body is complete, including the end marker of the protocol. */
  | { readonly kind: "end" }
  /** Bytes were sent, but no complete result of this request came back: it may have run. */
  | { readonly kind: "broken"; readonly reason: string };

/** Connections to runners, kept alive and shared by all attempts of this process. */
export interface PassageConnections {
  run(go: number, address: string, work: PassageWork): void;
  /** Closes the connection of an attempt whose caller left or that was given up, so that the runner cancels it. */
  abandon(go: number): void;
  /** Backpressure: stops reading from the runner until `resume`. */
  pause(go: number): void;
  resume(go: number): void;
}
