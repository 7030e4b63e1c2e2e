/**
 * Messages, persisted state and commands of the Paxos-style agreement on the view of the control chain (docs/design.md §2). In every
 * message `mark` is the epoch of the view that is being decided.
 */
import type { ChainView, Member } from "./chain.js";

/** Proposal number: ordered by round, and within a round by the identity of the proposer. */
export interface Ballot {
  readonly round: number;
  readonly identity: string;
}

/** Persisted state of a voter, synced to disk before any message that depends on it is sent. */
export interface VoteState {
  readonly view: ChainView | undefined;
  /** Members of the first view that this machine is ready to form, before there is a view. */
  readonly founding: readonly Member[] | undefined;
  readonly promised: Ballot | undefined;
  readonly accepted: { readonly ballot: Ballot; readonly view: ChainView } | undefined;
}

/** Heartbeat between control machines. */
export interface ControlHeartbeat {
  readonly kind: "greet";
  readonly member: Member;
  readonly view: ChainView | undefined;
  readonly founding: readonly Member[] | undefined;
  /** Epoch of the view in which the sender, as a learner, holds a complete copy of the chain, or 0. */
  readonly copiedMark: number;
  /** The sender is about to shut down as planned (docs/design.md §8.6). */
  readonly leaving?: boolean;
  /** Identities from which the sender receives heartbeats; absent from an earlier release, and right after a start or a suspension. */
  readonly hears?: readonly string[];
}

/** Messages by which control machines agree on the next view. */
export type ViewMessage =
  | ControlHeartbeat
  /** Phase 1 request: asks the voter to promise to accept no lower ballot. */
  | { readonly kind: "prepare"; readonly mark: number; readonly ballot: Ballot }
  /** Phase 1 reply, with the view that the voter accepted last, if any. */
  | {
      readonly kind: "promise";
      readonly mark: number;
      readonly ballot: Ballot;
      readonly member: string;
      readonly accepted: VoteState["accepted"];
    }
  /** Phase 2 request: asks the voter to accept a view. */
  | {
      readonly kind: "accept";
      readonly mark: number;
      readonly ballot: Ballot;
      readonly view: ChainView;
    }
  /** Phase 2 reply. */
  | {
      readonly kind: "accepted";
      readonly mark: number;
      readonly ballot: Ballot;
      readonly member: string;
    }
  /** Rejects a request because of a promise to the higher ballot in this message. */
  | { readonly kind: "overtaken"; readonly mark: number; readonly ballot: Ballot };

/** Effects that the agreement requests from its host. */
export type ViewCommand =
  | { readonly kind: "send"; readonly to: string; readonly message: ViewMessage }
  /** Persist the state, then call `writeCompleted(ticket)`. */
  | { readonly kind: "vote"; readonly ticket: number; readonly state: VoteState }
  | { readonly kind: "decided"; readonly view: ChainView };
