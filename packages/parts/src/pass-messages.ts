/** On whose behalf something is done, where the configuration names tenants. */
export interface Tenancy {
  /** Undefined on a passage that needs no credential, where the caller is not known. */
  readonly tenant: string | undefined;
}

/** One item of a lot, as it was handed in. */
export interface PassEntry {
  /** The caller's id of the item. */
  readonly id: string;
  readonly path: string;
  /** Names and values in turn. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
  /** Prompt's tokens plus the most to be put out. */
  readonly tokens: number;
  readonly model: string | undefined;
  /** Parts of its prompt that others may share, by name and tokens. */
  readonly parts?: readonly { readonly name: string; readonly size: number }[];
}

/** A drawn item; only who holds its newest number may settle it (docs/design.md §5.3). */
export interface Claim {
  readonly lot: string;
  readonly index: number;
  readonly go: number;
}

/** How one claim ended; `text` is what came after event `upTo` of the grant, `events` how many events it holds. */
export type PassEnding =
  | { readonly kind: "solved"; readonly text: string; readonly events: number }
  /** The runner says that it can never be done. */
  | { readonly kind: "never" }
  /** The runner itself failed: counted up to the passage's most. */
  | { readonly kind: "trouble" }
  /** Sent, and the link broke after event `upTo`: back in its place, token spent, what came is kept. */
  | {
      readonly kind: "broken";
      readonly text: string;
      readonly events: number;
      readonly upTo: number | undefined;
    }
  /** Never sent, or refused outright: back in its place, token restored. */
  | { readonly kind: "unsent" };

/** Commands on lots of passages, for a queue's machine. */
export type PassCommand =
  /** allowance in tokens, 0 for none; keeps and within in ms. These and goesMost are entered by the owner from its configuration. */
  | {
      kind: "hand-in";
      lot: string;
      way: string;
      host: string;
      /** Whose lot it is; nobody's where it is left out, and so from an earlier release. */
      tenant?: string;
      entries: readonly PassEntry[];
      allowance: number;
      goesMost: number;
      keeps: number;
      within?: number;
      /** Refused before for longer than it may take to be in time: it lets others pass from the start. */
      late?: boolean;
      /** One sending of it, and whether earlier ones of the same may be on their way still: then a refusal holds for all of them. */
      ticket?: string;
      final?: boolean;
    }
  /** One batch: the source's step for each prompt. able: passages whose runners have room at the dispatcher; others keep their place. */
  /** holder: address of the dispatcher; by: this life of it. */
  | { kind: "draw"; holder: string; by?: string; most: number; able: readonly string[] }
  | { kind: "settle"; endings: readonly { claim: Claim; ending: PassEnding }[] }
  /** reader: who asks for a lot, to whom another tenant's is not there; left out where the configuration names none, and by an earlier release. */
  | { kind: "end"; lot: string; reader?: Tenancy }
  /** The passage is gone from the configuration: its items end with it. */
  | { kind: "drop-way"; way: string }
  | { kind: "results"; lot: string; from: number; reader?: Tenancy }
  | { kind: "read-item"; lot: string; item: string; reader?: Tenancy };

/** A prompt that was drawn, with all that its run needs. */
export interface PassTask extends Claim {
  readonly way: string;
  readonly host: string;
  /** Whose lot it is of. */
  readonly tenant?: string;
  readonly entry: PassEntry;
  /** The run goes on after this event. */
  readonly upTo: number | undefined;
  /** ms until it may be given up, from the stamping. */
  readonly remaining: number;
}

/** What becomes of a command on lots of passages. */
export type PassResult =
  | { kind: "HANDED"; lot: string; again: boolean }
  /** final: no earlier sending of the same ticket will be taken. wait in ms, an estimate of the owner's. */
  | {
      kind: "NO_ROOM";
      tokens: number;
      waiting: number;
      allowance: number;
      final?: boolean;
      wait?: number;
    }
  | {
      kind: "DRAWN";
      tasks: readonly PassTask[];
      more: "some" | "EMPTY" | "RATE_LIMITED";
      wait: number | undefined;
    }
  /** freed: tokens that no longer wait. */
  | { kind: "SETTLED"; listed: readonly string[]; stale: number; freed: number }
  | { kind: "ENDED"; lot: string; holders: readonly string[] }
  | { kind: "RESULTS"; lot: string; total: number; open: boolean; results: readonly ListedResult[] }
  | { kind: "BODY"; body: Uint8Array }
  | { kind: "UNKNOWN_LOT" };

/** An item that ended, at its position in the lot. */
export interface ListedResult {
  readonly item: string;
  readonly state: "solved" | "failed";
  readonly text: string;
}
