import type { Sight, Violation } from "../checker.js";

/** A range of which a value is drawn evenly; the unit stands with each use. */
export type Range = readonly [least: number, most: number];

/** Operators who race each other with orders that are sent again after a lost answer. */
export interface RacingOptions {
  /** Orders under way at once. */
  readonly operators: number;
  /** Share of the answers that never reach their operator. */
  readonly lostAnswers: number;
}

/** Options of one seeded run; what is left out takes the usual value. Times are ms of virtual time. */
export interface CampaignOptions {
  readonly seed: number;
  /** Whether faults strike at random, beside a targeted one. */
  readonly faults: boolean;
  /** ms of traffic with faults, then of mended calm. */
  readonly stormy?: number;
  readonly calm?: number;
  /** Access nodes. */
  readonly access?: number;
  /** Items that may wait in each queue. */
  readonly allowance?: number;
  /** Tokens per second of each queue's bucket. */
  readonly tokens?: number;
  readonly windowSeconds?: number;
  /** Waiting items that a season over all queues allows; the queues it selects then change all the time. */
  readonly season?: number;
  /** Beside the season over all queues another one, half as large, over lots with a label of their own and runners of one pool. */
  readonly labelled?: boolean;
  /** ms that the control group is out of every node's reach, from 10 s on. */
  readonly away?: number;
  /** Sizes: model runners, plain runners and seats of each model runner. */
  readonly modelRunners?: number;
  readonly plainRunners?: number;
  readonly seats?: number;
  /** ms between two live requests. */
  readonly requestEvery?: Range;
  /** Items of a lot at most, tries of a refused one, ms between two lots, and the time that a lot has. */
  readonly lotItems?: number;
  readonly lotTries?: number;
  readonly lotEvery?: Range;
  readonly deadlineSeconds?: number;
  /** Storms of losses: above all power, processes and disks, of many machines at one moment, and machines replaced again and again. */
  readonly losses?: boolean;
  /** Two machines may be lost at once with their disks: five control and five storage machines, four copies. */
  readonly twoLost?: boolean;
  /**
   * Operators who work beside the usual ones, each with one order at a time, on bases that they share; with the share of
   * answers that are lost on their way (docs/testing.md §3). Their moments come from a seed of their own.
   */
  readonly racing?: RacingOptions;
  /** ms that a disk takes to sync. */
  readonly syncTakes?: Range;
}

/** What one seeded run showed. */
export interface CampaignResult {
  readonly violations: Violation[];
  readonly sight: Sight;
  /** Each fault with the ms at which it struck. */
  readonly faults: string[];
  readonly counts: Record<string, number>;
  /** How often the targeted fault struck. */
  readonly strikes: number;
}

/** ms of traffic with faults, and of calm, where the options name none. */
export const USUAL_STORMY = 30_000;
export const USUAL_CALM = 26_000;
/** Items that may wait in a queue where the options name no number. */
export const USUAL_ALLOWANCE = 1_000;
/** Tokens per second where the options name none. */
export const USUAL_TOKENS = 40;
/** ms. When clients begin, once the first configuration is in force. */
export const TRAFFIC_STARTS_AT = 5_000;

/** ms. When the storm ends and all is mended. */
export function stormEndsAt(options: CampaignOptions): number {
  return TRAFFIC_STARTS_AT + (options.stormy ?? USUAL_STORMY);
}
