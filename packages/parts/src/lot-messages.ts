/** Messages about lots (batch jobs), between access nodes and the owner of a queue, and the records behind them. */
import type { Limits } from "./bucket.js";
import type { AssignLotCommand, LotAssignedResult } from "./lot-directory.js";
import type { ShareClass } from "./lot-shares.js";
import type { PassCommand, PassResult } from "./pass-messages.js";
import type { Selector } from "./season.js";

/** State of an item; the last three are final (docs/design.md §5.3). */
export type ItemState = "queued" | "processing" | "solved" | "failed" | "cancelled";

/** A lot (batch job), as stored by its queue. */
export interface Lot {
  readonly id: string;
  /** Name of the route that it was submitted on. */
  readonly way: string;
  /** Digest of the submitted body, which tells retries from conflicting submissions. */
  readonly body: string;
  readonly items: number;
  /** Number of unfinished items. */
  readonly open: number;
  readonly cancelled: boolean;
  readonly admittedAt: number;
  readonly deadline: number;
  readonly finishedAt?: number;
  readonly labels: Readonly<Record<string, string>>;
  /** The season whose share applied on admission, or "" if no season selected the lot (docs/design.md §8.4). */
  readonly season?: string;
  /** Selectors of the runners that it may use; undefined for all. */
  readonly runners?: readonly Selector[];
}

/** An item with its prompt while it is unfinished, and with its result afterwards. */
export interface Item {
  readonly lot: string;
  readonly index: number;
  readonly sequence: number;
  readonly state: ItemState;
  /** Number of the newest claim (attempt); only that attempt may record a result. */
  readonly go: number;
  /** Attempts in which the runner itself failed. */
  readonly troubles: number;
  readonly prompt: unknown;
  /** Address of the dispatcher that holds the claim. */
  readonly holder?: string;
  readonly result?: unknown;
  readonly reason?: string;
}

/** Commands of a queue's state machine. */
export type QueueCommand =
  /** Assigns limits and shares; `mark`: version of the control state. */
  | { kind: "limit"; limits: Limits; share: number; mark: number; classes?: readonly ShareClass[] }
  /** Submits a lot; `lasts`: time in ms until its deadline. */
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
  /** Dequeues one item. `unable`: seasons whose runners have no free capacity as seen by the dispatcher; their lots stay queued. */
  | { kind: "pop"; holder: string; unable?: readonly string[] }
  /** Ends a claim. */
  | { kind: "record"; lot: string; index: number; go: number; ending: ClaimEnding }
  | { kind: "cancel"; lot: string }
  /** Requeues items whose claims lost their dispatcher. */
  | { kind: "reset"; items: { lot: string; index: number; go: number }[] }
  | { kind: "expire" }
  | { kind: "status"; lot: string }
  | { kind: "count" }
  | AssignLotCommand
  | PassCommand;

/** How a claim ended. */
export type ClaimEnding =
  | { kind: "solved"; result: unknown }
  /** The runner itself reported a failure; the item fails after three such attempts. */
  | { kind: "trouble"; reason: string }
  /** Sent, but the connection or the dispatcher failed: requeued at its position, token spent. */
  | { kind: "broken" }
  /** Never sent, or refused by the runner: requeued at its position, token returned. */
  | { kind: "unsent" };

/** Results of commands. */
export type QueueResult =
  /** `again`: the lot was known before; `remaining`: time in ms to the lot's deadline, counted from the ledger time of this result. */
  | { kind: "ADMITTED"; lot: string; again: boolean; remaining: number }
  /** A lot of this id has another body. */
  | { kind: "CONFLICT"; lot: string }
  /** The lot ended and its results were deleted; it is not run again. `endedBefore`: ms since its end. */
  | {
      kind: "GONE";
      lot: string;
      way: string;
      items: number;
      cancelled: boolean;
      endedBefore: number;
    }
  /** `wait`: time in ms until enough items have been dequeued at the full rate; undefined if it can't be estimated. */
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
  | LotAssignedResult
  | PassResult;

/** The part of an item that callers see. */
export interface ItemView {
  readonly index: number;
  readonly state: ItemState;
  readonly result?: unknown;
  readonly reason?: string;
}
