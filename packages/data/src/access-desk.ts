/** The API of an access node towards its protocol adapters (docs/design.md §13.2). */
import type { CallerLimits } from "@chutewick/parts";
import type { PassageRequest } from "./dialect.js";
import type { LotCall, SubmittedLot, LotResultsQuery, LotReply } from "./pass.js";

/** Receives the result of a live request on a passage, part by part. */
export interface PassageCaller {
  /** Response head; header names and values alternate. */
  head(status: number, headers: readonly string[]): void;
  bytes(bytes: Uint8Array): void;
  end(): void;
  /** The result ends early; the adapter must make it recognizable as incomplete. */
  cut(): void;
  /** The node's own final answer in place of a runner's result. retryAfter in s. */
  refused(status: number, retryAfter: number | undefined, reason: string): void;
}

/** Receives the reply to a call on a lot (a batch job). */
export type LotReplyHandler = (reply: LotReply) => void;

/** Calls that a protocol adapter may make. Those that start a request return its ticket. */
export interface AccessApi {
  /** Whether new callers should be routed to this node. */
  isReady(): boolean;
  /** Size and time limits for callers, from the configuration known to this node. */
  callerLimits(): CallerLimits;
  /** Whether a POST to this host and path submits a lot, by the configuration known to this node. */
  takesLots(host: string, path: string): boolean;
  /** Starts a live request on a passage. */
  pass(request: PassageRequest, caller: PassageCaller): string;
  /** Submits a lot. */
  submitLot(lot: SubmittedLot, caller: LotReplyHandler): string;
  /** Reads results of a lot. */
  readLot(call: LotCall, query: LotResultsQuery, caller: LotReplyHandler): string;
  /** Reads the input of one item of a lot. */
  readItem(call: LotCall, item: string, caller: LotReplyHandler): string;
  /** Ends a lot; the rest of it no longer runs. */
  endLot(call: LotCall, caller: LotReplyHandler): string;
  /** The caller disconnected. */
  callerLeft(ticket: string): void;
  /** The caller reads slowly: pauses the result. */
  pause(ticket: string): void;
  /** The caller reads again: resumes the result. */
  resume(ticket: string): void;
}

/** A protocol adapter: an additional interface towards callers. */
export interface AccessAdapter {
  /** Starts to accept callers. */
  open(api: AccessApi): Promise<void>;
  /** Number of requests whose responses are not completely written. */
  readonly underWay: number;
  /** A planned stop begins: each connection is closed after its next response. */
  leave(): void;
  close(): Promise<void>;
}
