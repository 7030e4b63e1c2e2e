/** Messages about lots (batch jobs) on passages (configured routes), between access nodes and the owner of a queue. */

/** The tenant on whose behalf a request is made, if the configuration defines tenants. */
export interface Tenancy {
  /** Undefined for anonymous callers, on a passage that needs no credential. */
  readonly tenant: string | undefined;
}

/** One item of a lot, as submitted. */
export interface PassEntry {
  /** The caller's id of the item. */
  readonly id: string;
  readonly path: string;
  /** Alternating header names and values. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
  /** Tokens of the prompt plus the maximum number of output tokens. */
  readonly tokens: number;
  readonly model: string | undefined;
  /** Parts of the prompt that other prompts may share, each with its name and size in tokens. */
  readonly parts?: readonly { readonly name: string; readonly size: number }[];
}

/** A claim on a dequeued item. Only the holder of the item's newest claim may settle it (docs/design.md §5.3). */
export interface Claim {
  readonly lot: string;
  /** Position of the item in the submitted lot. */
  readonly index: number;
  /** Number of the attempt, which grows with each claim on the item. */
  readonly go: number;
}

/**
 * How one claim ended. `text` is the output received in this attempt (after event `upTo` of the claimed task), `events` the
 * number of events in it.
 */
export type PassEnding =
  | { readonly kind: "solved"; readonly text: string; readonly events: number }
  /** The runner reports that the item can never succeed; it fails at once. */
  | { readonly kind: "never" }
  /** The runner itself failed; the item fails after the passage's maximum number of such attempts. */
  | { readonly kind: "trouble" }
  /** Sent, but the connection broke after event `upTo`: requeued at its position, token spent, partial output kept. */
  | {
      readonly kind: "broken";
      readonly text: string;
      readonly events: number;
      readonly upTo: number | undefined;
    }
  /** Never sent, or refused by the runner: requeued at its position, token returned. */
  | { readonly kind: "unsent" };

/** Commands on lots of passages, for a queue's state machine. */
export type PassCommand =
  /**
   * Submits a lot. The owner fills in these fields from its configuration: `allowance`, the maximum number of unfinished
   * tokens (0: unlimited); `goesMost`, the maximum number of attempts in which the runner fails; `keeps`, the time in ms after
   * which unfinished items fail; `within`, the target time in ms.
   */
  | {
      kind: "hand-in";
      lot: string;
      way: string;
      host: string;
      /** Owner of the lot; undefined if no tenants are configured, and from earlier releases. */
      tenant?: string;
      entries: readonly PassEntry[];
      allowance: number;
      goesMost: number;
      keeps: number;
      within?: number;
      /** It was refused for so long that it will miss its target time: its items yield to others from the start. */
      late?: boolean;
      /** Id of this request; retransmissions have the same one. */
      ticket?: string;
      /** Earlier transmissions may still arrive: a refusal then holds for all of them. */
      final?: boolean;
      /** Time in ms for which the lot directory keeps the id; undefined from releases without a directory. */
      knownFor?: number;
    }
  /**
   * Dequeues up to `most` items, one token each. `able`: passages whose runners have free capacity as seen by the dispatcher;
   * items of other passages stay queued. `holder`: address of the dispatcher; `by`: identity of its process (incarnation).
   */
  | { kind: "draw"; holder: string; by?: string; most: number; able: readonly string[] }
  /** Ends claims. */
  | { kind: "settle"; endings: readonly { claim: Claim; ending: PassEnding }[] }
  /**
   * Ends a lot early. `reader`: the caller's tenant, which can't see the lots of other tenants; undefined if no tenants are
   * configured, and from earlier releases.
   */
  | { kind: "end"; lot: string; reader?: Tenancy }
  /** The passage was removed from the configuration: its items fail. */
  | { kind: "drop-way"; way: string }
  /** Reads listed results, beginning at position `from`. */
  | { kind: "results"; lot: string; from: number; reader?: Tenancy }
  /** Reads the body of an unfinished item by the caller's id. */
  | { kind: "read-item"; lot: string; item: string; reader?: Tenancy };

/** A dequeued item with everything that is needed to run it. */
export interface PassTask extends Claim {
  readonly way: string;
  readonly host: string;
  /** Owner of the lot. */
  readonly tenant?: string;
  readonly entry: PassEntry;
  /** The run resumes after this event; undefined if it starts from the beginning. */
  readonly upTo: number | undefined;
  /** Time in ms until the item may be given up, counted from the ledger time of this result. */
  readonly remaining: number;
}

/** Results of commands on lots of passages. */
export type PassResult =
  /** The lot is accepted; `again`: it was known before. */
  | { kind: "HANDED"; lot: string; again: boolean }
  /**
   * Refused for lack of capacity. `final`: no earlier transmission of the same ticket will be accepted either. `wait`: the
   * owner's estimate in ms until there is free capacity.
   */
  | {
      kind: "NO_ROOM";
      tokens: number;
      waiting: number;
      allowance: number;
      final?: boolean;
      wait?: number;
    }
  /** `more`: why the batch ended; `wait`: time in ms until the next token, if known. */
  | {
      kind: "DRAWN";
      tasks: readonly PassTask[];
      more: "some" | "EMPTY" | "RATE_LIMITED";
      wait: number | undefined;
    }
  /** `listed`: lots with new results; `stale`: number of outdated claims; `freed`: tokens of the items that are now final. */
  | { kind: "SETTLED"; listed: readonly string[]; stale: number; freed: number }
  /** `holders`: dispatchers that must abort running items of the lot. */
  | { kind: "ENDED"; lot: string; holders: readonly string[] }
  | { kind: "RESULTS"; lot: string; total: number; open: boolean; results: readonly ListedResult[] }
  | { kind: "BODY"; body: Uint8Array }
  /**
   * No such lot for this reader. `wasAccepted`: the queue remembers the id of a lot that ended. `isDirectoryComplete`: the lot
   * directory knows every lot that this queue has accepted; earlier releases don't say.
   */
  | { kind: "UNKNOWN_LOT"; wasAccepted?: boolean; isDirectoryComplete?: boolean };

/** The result of a finished item, at its position in the lot's list. */
export interface ListedResult {
  readonly item: string;
  readonly state: "solved" | "failed";
  readonly text: string;
}
