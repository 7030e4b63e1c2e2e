/** Bounds that a deployment requires, and the policy that is derived from them (docs/design.md §13.3). */
import { constants } from "./constants.js";
import { outcome, type Outcome } from "./outcome.js";

/** Bounds required by a deployment; all times in ms. */
export interface Bounds {
  /** Interval of the reports of runners. */
  readonly reportsEvery: number;
  /** A node in contact with control for this long must follow what control committed. */
  readonly contactWithin: number;
  /** An operator's order is acknowledged as committed within this time. */
  readonly acknowledgeWithin: number;
  /** Time after the acknowledgement of a deregistration within which new work may still reach the runner. */
  readonly drainWithin: number;
  /** Time after the acknowledgement of a change within which an older configuration may still take effect. */
  readonly applyWithin: number;
  /** Time after the acknowledgement of a lot's cancellation within which an item of it may still begin. */
  readonly cancelWithin: number;
  /** A planned stop ends within this time. */
  readonly stopWithin: number;
  /** A machine that returns counts as lost for this long, in which it must catch up. */
  readonly syncWithin: number;
  /** Service resumes within this time after a simultaneous failure of all machines. */
  readonly recoverWithin: number;
  /** Simultaneous losses to tolerate, disks included. */
  readonly losses: { readonly machines: number; readonly zones: number; readonly regions: number };
  /** Megabytes of memory of this process, its file descriptors, and megabytes of its disk (0: none). */
  readonly memory: number;
  readonly descriptors: number;
  readonly disk: number;
  /** A node without contact to control continues to serve live requests by its last known state. */
  readonly goesOnAlone: boolean;
  /** Length of the windows for which usage is reported; usage is not counted if omitted (docs/design.md §14.2). */
  readonly usageWindow?: number | undefined;
}

/** Settings derived from the bounds of a deployment, or defaults where it sets no bounds. */
export interface Policy {
  /** Whether a node without a lease continues to serve live requests on passages by its last known state: where the bounds apply only to nodes in contact with control. */
  readonly goesOnAlone: boolean;
  /** A runner without a report for this many ms gets no work. */
  readonly runnerLasts: number;
  /** Minimum number of copies of a committed entry, and number of copies to which chains are repaired. */
  readonly copiesLeast: number;
  readonly copiesWanted: number;
  /** Minimum number of other machines that must remain to take over the queues of a drained one. */
  readonly othersLeast: number;
  /** Number of machines to which the control group is repaired. */
  readonly controlsWanted: number;
  /** Time in ms after the acknowledgement of a lot's cancellation within which an item of it may still begin. */
  readonly cancelWithin: number;
  /** A planned stop ends within this many ms. */
  readonly stopWithin: number;
  /** Token bucket of a pool's queue whose pool sets none: items per second, and capacity in items. */
  readonly poolRate: number;
  readonly poolBurst: number;
  /** Megabytes of memory and file descriptors that this process may use. */
  readonly memory: number;
  readonly descriptors: number;
  /** Length of usage windows in ms; undefined where usage is not reported. */
  readonly usageWindow?: number | undefined;
}

/** Policy where a deployment sets no bounds. */
const defaultPolicy: Policy = {
  goesOnAlone: false,
  runnerLasts: constants.runnerLasts,
  copiesLeast: constants.copiesLeast,
  copiesWanted: constants.copiesWanted,
  othersLeast: constants.copiesWanted,
  controlsWanted: constants.copiesWanted,
  cancelWithin: constants.grantDurationMs,
  stopWithin: constants.drainTimeoutMs,
  poolRate: 1_000,
  poolBurst: 200,
  memory: 512,
  descriptors: 1_024,
};

/** Minimum of one bound. The error message puts the reason before the number. */
interface MinimumBound {
  readonly name: Exclude<keyof Bounds, "losses" | "goesOnAlone" | "disk" | "usageWindow">;
  readonly minimum: number;
  readonly reason: string;
}

const minimumBounds: readonly MinimumBound[] = [
  { name: "reportsEvery", minimum: 1, reason: "it must be at least" },
  {
    name: "acknowledgeWithin",
    // A suspended node keeps its lease until it expires; a lagging one gets another until it is known to lag.
    minimum: constants.leaseDurationMs + constants.maxFeedLagForLeaseMs + constants.resendDelayMs,
    reason: "the lease of a suspended node delays a change, minimum in ms:",
  },
  {
    name: "contactWithin",
    minimum: constants.sessionTimeoutMs,
    reason: "a node follows control once its session exists, minimum in ms:",
  },
  {
    name: "drainWithin",
    minimum: constants.connectTimeoutMs,
    reason: "a runner may be chosen just before and still be connecting, minimum in ms:",
  },
  {
    name: "applyWithin",
    minimum: constants.tickIntervalMs,
    reason: "nodes check once per tick, minimum in ms:",
  },
  {
    name: "cancelWithin",
    minimum: constants.minCancelMs,
    reason: "an item just granted must begin or be given back, minimum in ms:",
  },
  {
    name: "stopWithin",
    minimum: constants.minStopMs,
    reason: "work in progress must end or be handed over, minimum in ms:",
  },
  {
    name: "syncWithin",
    minimum: constants.sessionTimeoutMs,
    reason: "a machine that returns needs a session before it is copied to, minimum in ms:",
  },
  {
    name: "recoverWithin",
    minimum:
      constants.memberSilenceTimeoutMs + constants.leaseDurationMs + constants.sessionTimeoutMs,
    reason: "the silence timeout, a lease and a session must expire first, minimum in ms:",
  },
  { name: "memory", minimum: constants.minMemoryMb, reason: "minimum megabytes for a process:" },
  {
    name: "descriptors",
    minimum: constants.minFileDescriptors,
    reason: "minimum file descriptors for a process:",
  },
];

/** Error messages for bounds that cannot be met. */
function violations(bounds: Bounds): string[] {
  const found: string[] = [];
  for (const { name, minimum, reason } of minimumBounds)
    if (!(bounds[name] >= minimum))
      found.push(`bounds.${name}: ${bounds[name]} is too low: ${reason} ${minimum}`);
  for (const [kind, count] of Object.entries(bounds.losses))
    if (!Number.isInteger(count) || count < 0)
      found.push(`bounds.losses.${kind}: ${count} must be an integer of 0 or more`);
  if (bounds.losses.machines > constants.maxMachineLosses)
    found.push(
      `bounds.losses.machines: ${bounds.losses.machines} is too many: replication tolerates up to ${constants.maxMachineLosses} simultaneous losses`,
    );
  return found;
}

/** Derives the policy from checked bounds; a combination that cannot be met is rejected with all reasons. */
function derivePolicy(bounds: Bounds): Outcome<Policy> {
  const found = violations(bounds);
  if (found.length > 0) return outcome.failure(found.join("; "));
  const losses = Math.max(1, bounds.losses.machines);
  return outcome.success({
    goesOnAlone: bounds.goesOnAlone,
    // After three missed reports a runner is considered silent; a shorter gap may be a late report.
    runnerLasts: bounds.reportsEvery * 4,
    copiesLeast: losses + 1,
    copiesWanted: losses + 2,
    othersLeast: losses + 1,
    controlsWanted: losses * 2 + 1,
    cancelWithin: bounds.cancelWithin,
    stopWithin: bounds.stopWithin,
    poolRate: defaultPolicy.poolRate,
    poolBurst: defaultPolicy.poolBurst,
    memory: bounds.memory,
    descriptors: bounds.descriptors,
    usageWindow: bounds.usageWindow,
  });
}

export const policy = { defaults: defaultPolicy, from: derivePolicy };
