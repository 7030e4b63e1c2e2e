import type { Limits } from "./bucket.js";
import type { ShareClass } from "./lot-shares.js";
import type { PassCommand, PassResult } from "./pass-messages.js";
import type { Selector } from "./season.js";

/** State of an item; the last three are final (docs/design.md §5.3). */
export type ItemState = "queued" | "processing" | "solved" | "failed" | "cancelled";

/** A lot, as its queue keeps it. */
export interface Lot {
  readonly id: string;
  readonly way: string;
  readonly body: string;
  readonly items: number;
  readonly open: number;
  readonly cancelled: boolean;
  readonly admittedAt: number;
  readonly deadline: number;
  readonly finishedAt?: number;
  readonly labels: Readonly<Record<string, string>>;
  /** The season that governs it from its admission on, or "" for the model's own waiting (§8.4). */
  readonly season?: string;
  /** Which runners it may use. */
  readonly runners?: readonly Selector[];
}

/** An item with its prompt, and with its result once it has ended. */
export interface Item {
  readonly lot: string;
  readonly index: number;
  readonly sequence: number;
  readonly state: ItemState;
  /** Number of the claim; only the go that holds the claim may record. */
  readonly go: number;
  readonly troubles: number;
  readonly prompt: unknown;
  readonly holder?: string;
  readonly result?: unknown;
  readonly reason?: string;
}

/** Commands of a queue's machine. */
export type QueueCommand =
  | { kind: "limit"; limits: Limits; share: number; mark: number; classes?: readonly ShareClass[] }
  | {
      kind: "admit";
      lot: string;
      way: string;
      body: string;
      prompts: unknown[];
      labels: Record<string, string>;
      lasts: number;
      allowance: number;
    }
  /** unable: seasons whose runners have no room at the dispatcher; their lots keep their place. */
  | { kind: "pop"; holder: string; unable?: readonly string[] }
  | { kind: "record"; lot: string; index: number; go: number; ending: Ending }
  | { kind: "cancel"; lot: string }
  | { kind: "reset"; items: { lot: string; index: number; go: number }[] }
  | { kind: "expire" }
  | { kind: "status"; lot: string }
  | { kind: "count" }
  | PassCommand;

/** How a claim ended. */
export type Ending =
  | { kind: "solved"; result: unknown }
  /** The runner itself said that it failed: one of three gos. */
  | { kind: "trouble"; reason: string }
  /** Sent, and the link or the dispatcher broke: back in its place, token spent. */
  | { kind: "broken" }
  /** Never sent, or refused outright: back in its place, token restored. */
  | { kind: "unsent" };

/** What became of a command. */
export type QueueResult =
  /** remaining: ms until the lot's time runs out, from the stamping of this result. */
  | { kind: "ADMITTED"; lot: string; again: boolean; remaining: number }
  | { kind: "CONFLICT"; lot: string }
  /** Accepted once and ended long ago: its results are no longer kept, and it does not run again. */
  | {
      kind: "GONE";
      lot: string;
      way: string;
      items: number;
      cancelled: boolean;
      endedBefore: number;
    }
  /** wait in ms until that many items have been drawn off at the full rate; undefined: no wait can be told. */
  | {
      kind: "FULL";
      items: number;
      waiting: number;
      allowance: number;
      season: string;
      wait: number | undefined;
    }
  | {
      kind: "TAKEN";
      lot: string;
      index: number;
      go: number;
      prompt: unknown;
      way: string;
      remaining: number;
      season: string;
      runners: readonly Selector[];
    }
  | { kind: "EMPTY" }
  | { kind: "RATE_LIMITED"; wait: number | undefined }
  | { kind: "RECORDED"; state: ItemState }
  | { kind: "STALE" }
  | { kind: "UNKNOWN_LOT" }
  | { kind: "CANCELLED"; lot: string; stopped: number }
  | { kind: "DONE"; count: number }
  | { kind: "LOT"; lot: Lot; items: ItemView[]; now: number }
  | {
      kind: "COUNT";
      waiting: number;
      processing: number;
      lots: number;
      tokens: number;
      limits: Limits | undefined;
      open: Readonly<Record<string, number>>;
    }
  | PassResult;

/** What a caller is shown of an item. */
export interface ItemView {
  readonly index: number;
  readonly state: ItemState;
  readonly result?: unknown;
  readonly reason?: string;
}
