import {
  Agreement,
  Chain,
  Feed,
  type ChainHolding,
  type Member,
  type Policy,
  type VoteState,
} from "@chutewick/parts";
import { DutyRecords } from "./duties/duty-records.js";
import { ControlMachine } from "./machine.js";
import { published } from "./published.js";

/** What a control machine starts from. */
export interface ControlOrigin {
  readonly member: Member;
  /** Where it stands; undefined where nobody told. */
  readonly zone?: string;
  readonly seeds: readonly string[];
  /** Differs with each start, so a result meant for an earlier life is not taken for one of this. */
  readonly life: string;
  readonly votes?: VoteState;
  readonly holding?: ChainHolding;
  readonly policy?: Policy;
  /** True only at the very first start of the whole system. */
  readonly founding?: boolean;
}

/** The agreement on views, as the votes on disk have it. */
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

/** The chain of control records, as the disk has it. */
export function chainFrom(origin: ControlOrigin, policy: Policy, now: number): Chain {
  const machine = new ControlMachine();
  return new Chain("control", origin.member, machine, now, origin.holding, policy.copiesLeast);
}

/** The records of duties, as far as all on the disk of a member was confirmed. */
export function dutyRecordsFrom({ holding }: ControlOrigin, isMember: boolean): DutyRecords {
  const records = new DutyRecords();
  if (isMember && holding !== undefined && isConfirmed(holding)) records.restore(holding.records);
  return records;
}

function isConfirmed({ state }: ChainHolding): boolean {
  return state.place === state.confirmed;
}

/** The feed to nodes: a member goes on from its disk where all on it was confirmed. */
export function feedFrom({ holding }: ControlOrigin, isMember: boolean): Feed {
  const feed = new Feed(published);
  if (isMember && holding !== undefined && isConfirmed(holding))
    feed.restore(holding.state.place, holding.records);
  return feed;
}
