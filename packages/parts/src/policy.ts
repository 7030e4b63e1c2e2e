import { constants } from "./constants.js";
import { outcome, type Outcome } from "./outcome.js";

/** What a deployment tells of itself; all times in ms (docs/design.md §13.3). */
export interface Bounds {
  /** Runners report this often. */
  readonly reportsEvery: number;
  /** A node that was in touch with control for this long is bound by what control confirmed. */
  readonly contactWithin: number;
  /** An order of an operator is told as confirmed within this. */
  readonly acknowledgeWithin: number;
  /** After the telling of a deregistration no new work reaches the runner later than this. */
  readonly drainWithin: number;
  /** After the telling of a change nothing is done as only an older one allows later than this. */
  readonly applyWithin: number;
  /** After the telling of the end of a lot no item of it begins later than this. */
  readonly cancelWithin: number;
  /** A planned stop ends within this. */
  readonly stopWithin: number;
  /** A machine that is back counts as lost for this long, in which it is to be brought up to date. */
  readonly syncWithin: number;
  /** After the loss of everything at once, work is served again within this. */
  readonly recoverWithin: number;
  /** What may be lost at once, disks included. */
  readonly losses: { readonly machines: number; readonly zones: number; readonly regions: number };
  /** Megabytes of memory of this process, descriptors, and megabytes of its disk, 0 for none. */
  readonly memory: number;
  readonly descriptors: number;
  readonly disk: number;
  /** Live work goes on at a node out of touch, by what it knows. */
  readonly goesOnAlone: boolean;
  /** Usage is reported for windows of this length; none is counted where it is left out (§14.2). */
  readonly usageWindow?: number | undefined;
}

/** What follows from the deployment's own bounds; constants are what holds where none are told (docs/design.md §13.3). */
export interface Policy {
  /** Live work on passages goes on by what a node knows, also while it holds no lease: where bounds hold only for nodes in touch with control. */
  readonly goesOnAlone: boolean;
  /** ms. A runner not heard of for this long gets no work. */
  readonly runnerLasts: number;
  /** copies. Nothing is confirmed on fewer; what chains are mended to. */
  readonly copiesLeast: number;
  readonly copiesWanted: number;
  /** machines. Others that must be left to take the queues of one that is emptied. */
  readonly othersLeast: number;
  /** machines. What the control group is mended to. */
  readonly controlsWanted: number;
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
  /** ms. Windows of usage; undefined where none is reported. */
  readonly usageWindow?: number | undefined;
}

const usual: Policy = {
  goesOnAlone: false,
  runnerLasts: constants.runnerLasts,
  copiesLeast: constants.copiesLeast,
  copiesWanted: constants.copiesWanted,
  othersLeast: constants.copiesWanted,
  controlsWanted: constants.copiesWanted,
  cancelWithin: constants.grantLasts,
  stopWithin: constants.drainPatience,
  poolRate: 1_000,
  poolBurst: 200,
  memory: 512,
  descriptors: 1_024,
};

/** The least that one bound may be, and why: the reason stands before the number in a refusal. */
interface Least {
  readonly name: Exclude<keyof Bounds, "losses" | "goesOnAlone" | "disk" | "usageWindow">;
  readonly least: number;
  readonly why: string;
}

const leasts: readonly Least[] = [
  { name: "reportsEvery", least: 1, why: "it must be at least" },
  {
    name: "acknowledgeWithin",
    /** A frozen node keeps its lease to its end, one that lags gets the next until it is known to lag. */
    least: constants.leaseLasts + constants.lagLasts + constants.resendAfter,
    why: "a frozen node's lease holds a change up, ms at least",
  },
  {
    name: "contactWithin",
    least: constants.sessionLasts,
    why: "a node is bound once its session stands, ms at least",
  },
  {
    name: "drainWithin",
    least: constants.connectPatience,
    why: "a runner may be picked just before and connected to, ms at least",
  },
  { name: "applyWithin", least: constants.beatEvery, why: "nodes look at each beat, ms at least" },
  {
    name: "cancelWithin",
    least: constants.cancelLeast,
    why: "an item just granted must begin or come back, ms at least",
  },
  {
    name: "stopWithin",
    least: constants.stopLeast,
    why: "what is under way ends or is handed over, ms at least",
  },
  {
    name: "syncWithin",
    least: constants.sessionLasts,
    why: "a machine that is back is known by its session and copied to, ms at least",
  },
  {
    name: "recoverWithin",
    least: constants.memberSilence + constants.leaseLasts + constants.sessionLasts,
    why: "silence, a lease and a session pass first, ms at least",
  },
  { name: "memory", least: constants.memoryLeast, why: "a process needs megabytes:" },
  { name: "descriptors", least: constants.descriptorsLeast, why: "a process needs descriptors:" },
];

/** Reasons for which bounds cannot hold. */
function refusals(bounds: Bounds): string[] {
  const found: string[] = [];
  for (const { name, least, why } of leasts)
    if (!(bounds[name] >= least))
      found.push(`bounds.${name}: ${bounds[name]} is too little: ${why} ${least}`);
  for (const [kind, count] of Object.entries(bounds.losses))
    if (!Number.isInteger(count) || count < 0)
      found.push(`bounds.losses.${kind}: ${count} must be a whole number, 0 or more`);
  if (bounds.losses.machines > constants.lossesMost)
    found.push(
      `bounds.losses.machines: ${bounds.losses.machines} is too many: chains of copies stand up to ${constants.lossesMost} losses at once`,
    );
  return found;
}

/** Worked out and checked: a combination that cannot hold is refused with all its reasons. */
function from(bounds: Bounds): Outcome<Policy> {
  const found = refusals(bounds);
  if (found.length > 0) return outcome.bad(found.join("; "));
  const losses = Math.max(1, bounds.losses.machines);
  return outcome.good({
    goesOnAlone: bounds.goesOnAlone,
    /** Silence of a runner is told from a late report after three that did not come. */
    runnerLasts: bounds.reportsEvery * 4,
    copiesLeast: losses + 1,
    copiesWanted: losses + 2,
    othersLeast: losses + 1,
    controlsWanted: losses * 2 + 1,
    cancelWithin: bounds.cancelWithin,
    stopWithin: bounds.stopWithin,
    poolRate: usual.poolRate,
    poolBurst: usual.poolBurst,
    memory: bounds.memory,
    descriptors: bounds.descriptors,
    usageWindow: bounds.usageWindow,
  });
}

export const policy = { usual, from };
