/** Messages, kept state and commands of the agreement on the view of the control chain (docs/design.md §2). */
import type { ChainView, Member } from "./chain.js";

/** A proposal number; of two of the same round the higher identity wins. */
export interface Ballot {
  readonly round: number;
  readonly identity: string;
}

/** Kept synced before any word about it leaves this machine. */
export interface VoteState {
  readonly view: ChainView | undefined;
  readonly founding: readonly Member[] | undefined;
  readonly promised: Ballot | undefined;
  readonly accepted: { readonly ballot: Ballot; readonly view: ChainView } | undefined;
}

/** Heartbeat between control machines. */
export interface Greeting {
  readonly kind: "greet";
  readonly member: Member;
  readonly view: ChainView | undefined;
  readonly founding: readonly Member[] | undefined;
  /** Of the view whose chain the sender has copied whole. */
  readonly copiedMark: number;
  /** About to stop as planned (§8.6). */
  readonly leaving?: boolean;
  /** Identities that the sender hears; an earlier release, or one that woke up just now, does not say. */
  readonly hears?: readonly string[];
}

/** What control machines tell each other to agree on the next view. */
export type ViewMessage =
  | Greeting
  | { readonly kind: "prepare"; readonly mark: number; readonly ballot: Ballot }
  | {
      readonly kind: "promise";
      readonly mark: number;
      readonly ballot: Ballot;
      readonly member: string;
      readonly accepted: VoteState["accepted"];
    }
  | {
      readonly kind: "accept";
      readonly mark: number;
      readonly ballot: Ballot;
      readonly view: ChainView;
    }
  | {
      readonly kind: "accepted";
      readonly mark: number;
      readonly ballot: Ballot;
      readonly member: string;
    }
  | { readonly kind: "overtaken"; readonly mark: number; readonly ballot: Ballot };

/** What the agreement asks of its surroundings. */
export type ViewCommand =
  | { readonly kind: "send"; readonly to: string; readonly message: ViewMessage }
  | { readonly kind: "vote"; readonly ticket: number; readonly state: VoteState }
  | { readonly kind: "decided"; readonly view: ChainView };
