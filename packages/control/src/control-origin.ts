import {
  Agreement,
  Chain,
  Feed,
  type PersistedChain,
  type Member,
  type Policy,
  type VoteState,
} from "@chutewick/parts";
import { DutyRecords } from "./duties/duty-records.js";
import { ControlStateMachine } from "./machine.js";
import { published } from "./published.js";

/** Initial state and settings of a control machine. */
export interface ControlOrigin {
  readonly member: Member;
  /** Zone of the machine; undefined if it isn't configured. */
  readonly zone?: string;
  readonly seeds: readonly string[];
  /** Incarnation: differs with each start, so that a result for an earlier process is not mistaken for one of this process. */
  readonly life: string;
  /** Persisted votes. */
  readonly votes?: VoteState;
  /** Persisted state of the chain. */
  readonly holding?: PersistedChain;
  readonly policy?: Policy;
  /** True only when the whole system starts for the first time. */
  readonly founding?: boolean;
}

/** Creates the agreement on views from the votes on disk. */
export function agreementFrom(origin: ControlOrigin, policy: Policy, now: number): Agreement {
  return new Agreement(
    origin.member,
    origin.seeds,
    now,
    origin.votes,
    origin.founding ?? true,
    policy.controlsWanted,
    policy.copiesLeast,
  );
}

/** Creates the chain of control records from its state on disk. */
export function chainFrom(origin: ControlOrigin, policy: Policy, now: number): Chain {
  const machine = new ControlStateMachine();
  return new Chain("control", origin.member, machine, now, origin.holding, policy.copiesLeast);
}

/** Creates the duty records; a member restores them from its disk if all entries there are committed. */
export function dutyRecordsFrom({ holding }: ControlOrigin, isMember: boolean): DutyRecords {
  const records = new DutyRecords();
  if (isMember && holding !== undefined && isFullyCommitted(holding))
    records.restore(holding.records);
  return records;
}

function isFullyCommitted({ state }: PersistedChain): boolean {
  return state.place === state.confirmed;
}

/** Creates the feed to nodes; a member restores it from its disk if all entries there are committed. */
export function feedFrom({ holding }: ControlOrigin, isMember: boolean): Feed {
  const feed = new Feed(published);
  if (isMember && holding !== undefined && isFullyCommitted(holding))
    feed.restore(holding.state.place, holding.records);
  return feed;
}
