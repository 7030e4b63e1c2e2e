import type { CallerLimits } from "@chutewick/parts";
import type { PassRequest } from "./dialect.js";
import type { LotCall, LotHandedIn, LotReading, LotTold } from "./pass.js";

/** What an interface (ours or an adapter's) may ask of an access node (docs/design.md §13.2). */
export interface PassCaller {
  head(status: number, headers: readonly string[]): void;
  bytes(bytes: Uint8Array): void;
  end(): void;
  /** The result breaks off: the caller must see that it is not whole. */
  cut(): void;
  /** Our own final word; retryAfter in s. */
  refused(status: number, retryAfter: number | undefined, reason: string): void;
}

export type LotCaller = (told: LotTold) => void;

export interface AccessDesk {
  /** Whether new callers are to be sent here. */
  isReady(): boolean;
  /** What callers may send and how long they may take, by the configuration known here. */
  callerLimits(): CallerLimits;
  /** Whether what is posted there is a lot, by the configuration known here. */
  takesLots(host: string, path: string): boolean;
  pass(request: PassRequest, caller: PassCaller): string;
  handIn(lot: LotHandedIn, caller: LotCaller): string;
  readLot(call: LotCall, reading: LotReading, caller: LotCaller): string;
  readItem(call: LotCall, item: string, caller: LotCaller): string;
  endLot(call: LotCall, caller: LotCaller): string;
  /** The caller left. */
  left(ticket: string): void;
  /** The caller reads slowly, or again. */
  slow(ticket: string): void;
  ready(ticket: string): void;
}

/** An interface towards callers that stands beside our own. */
export interface AccessFront {
  open(desk: AccessDesk): Promise<void>;
  /** Requests whose answers have not been written whole. */
  readonly underWay: number;
  /** A planned stop begins: each connection ends with its next answer. */
  leave(): void;
  close(): Promise<void>;
}
