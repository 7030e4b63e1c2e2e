/** Kinds of faults, of which one machine, network or runner is struck at a time. */
export type Fault =
  | "kill-access"
  | "freeze-access"
  | "kill-storage"
  | "freeze-storage"
  | "wipe-storage"
  | "cut-storage"
  | "power"
  | "kill-control"
  | "loss"
  | "runners"
  | "cut-access";

/** Options of one seeded run of lots on passages; times are ms of virtual time. */
export interface PassPlayOptions {
  readonly seed: number;
  /** ms of traffic, with faults where they are wanted, and then of calm. */
  readonly stormy: number;
  readonly calm: number;
  readonly faults: readonly Fault[];
  /** Tokens that may wait on the passage; without it none are bounded. */
  readonly allowance?: number;
  /** ms between two lots, on average. */
  readonly lotEvery?: number;
  /** Access nodes. */
  readonly access?: number;
  /** Items of a lot, on average. */
  readonly items?: number;
  /** The passage moves between pools, goes and comes back. */
  readonly moves?: boolean;
  /** The second pool has no models, so that a move changes where the configuration places new lots. */
  readonly hasPlainPool?: boolean;
  /** Other clients hand in accepted lots again, seconds after their acceptance. */
  readonly resubmits?: boolean;
  /** Share of lots that their clients end early; a tenth by default. */
  readonly endedShare?: number;
  /** Lots are tenants', whose credentials change all the while. */
  readonly tenants?: boolean;
}
