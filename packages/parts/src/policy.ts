import { constants } from "./constants.js";

/** What follows from the deployment's own bounds; constants are what holds where none are told (docs/design.md §13.3). */
export interface Policy {
  /** Live work on passages goes on by what a node knows, also while it holds no lease: where bounds hold only for nodes in touch with control. */
  readonly goesOnAlone: boolean;
  /** ms. A runner not heard of for this long gets no work. */
  readonly runnerLasts: number;
  /** copies. Nothing is confirmed on fewer; what chains are mended to. */
  readonly copiesLeast: number;
  readonly copiesWanted: number;
  /** ms. After the telling of an end no item of the lot begins later than this. */
  readonly cancelWithin: number;
  /** ms. A planned stop ends within this. */
  readonly stopWithin: number;
  /** items/s and items. Bucket of a pool's queue where its pool names none. */
  readonly poolRate: number;
  readonly poolBurst: number;
  /** Megabytes that this process may use, and descriptors. */
  readonly memory: number;
  readonly descriptors: number;
}

const usual: Policy = {
  goesOnAlone: false, runnerLasts: constants.runnerLasts, copiesLeast: constants.copiesLeast, copiesWanted: constants.copiesWanted,
  cancelWithin: constants.grantLasts, stopWithin: constants.drainPatience, poolRate: 1_000, poolBurst: 200, memory: 512, descriptors: 1_024,
};

export const policy = { usual };
