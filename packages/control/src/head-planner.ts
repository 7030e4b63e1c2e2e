import {
  constants,
  lotDirectoryQueue,
  type ChainView,
  type Feed,
  type NodeDescriptor,
  type Policy,
  type Sessions,
} from "@chutewick/parts";
import { configuration } from "./configuration.js";
import { drain } from "./emptying.js";
import { FleetPlan } from "./fleet-plan.js";
import { keys } from "./keys.js";
import type { ControlCommand, Deregistration, FleetRecord } from "./machine.js";
import { QuotaPlanner, type PlanningContext } from "./pace.js";
import { QueuePlacement } from "./queue-placement.js";
import { recordsByQueue, planningContextOf } from "./queue-reports.js";

/** Input of one planning round of the head. */
export interface PlanningInput {
  readonly feed: Feed;
  readonly sessions: Sessions;
  /** Monotonic time in ms. */
  readonly now: number;
  /** Wall-clock time in ms. */
  readonly wall: number;
  /** Time of the replicated ledger in ms; the retention of deregistrations is measured by it. */
  readonly chainTime: number;
  /** Whether all lease holders have the feed up to a log index. */
  isInForce(this: void, place: number): boolean;
}

/**
 * Plans the changes that the head of the control group makes: it maintains the fleet record, throttles queues, and places and
 * repairs their replicas (docs/design.md §7.4, §8.2, §8.4).
 */
export class HeadPlanner {
  readonly #policy: Policy;
  readonly #fleetPlan = new FleetPlan();
  readonly #pacer: QuotaPlanner;

  constructor(policy: Policy) {
    this.#policy = policy;
    this.#pacer = new QuotaPlanner(policy);
  }

  /** Commands to submit now, in this order. */
  plan(input: PlanningInput): ControlCommand[] {
    const context = planningContextOf(input);
    const storage = input.sessions.live("storage", input.now);
    const placement = this.#placementOf(input, storage);
    const able = storage.filter(canKeepDirectory);
    const directoryPlacement =
      able.length === storage.length ? placement : this.#placementOf(input, able);
    return [
      ...this.#fleetCommands(input),
      ...forgetCommands(input),
      ...this.#firstViewCommands(placement, context, input.feed),
      // Nodes use the directory once it is placed, so every owner of a queue must know of it by then (docs/design.md §13.11).
      ...(directoryPlacement === placement
        ? firstDirectoryView(placement, context, input.feed)
        : []),
      ...this.#throttleCommands(context),
      ...nextViewCommands(placement, directoryPlacement, input.feed),
    ];
  }

  #placementOf({ feed }: PlanningInput, storage: readonly NodeDescriptor[]): QueuePlacement {
    return new QueuePlacement({
      views: recordsByQueue<ChainView>(feed, keys.queue),
      live: new Map(storage.map((card) => [card.identity, card])),
      // A drained machine whose disk was replaced is also listed under its new identity.
      draining: new Set(drain.machines(feed, storage).keys()),
      policy: this.#policy,
    });
  }

  #fleetCommands({ feed, sessions, isInForce, now }: PlanningInput): ControlCommand[] {
    if (this.#policy.goesOnAlone) return [];
    const nodes = [...sessions.live("access", now), ...sessions.live("storage", now)];
    const current = { record: feed.read<FleetRecord>(keys.fleet), place: feed.place };
    const fleet = this.#fleetPlan.next(current, nodes, isInForce, now);
    return fleet === undefined ? [] : [{ kind: "fleet", fleet }];
  }

  #firstViewCommands(
    placement: QueuePlacement,
    { value }: PlanningContext,
    feed: Feed,
  ): ControlCommand[] {
    const configured = new Set<string>();
    for (const { queue } of configuration.queues(value, this.#policy)) configured.add(queue);
    const commands: ControlCommand[] = [];
    for (const queue of configured) {
      if (feed.read(keys.queue + queue) !== undefined) continue;
      const view = placement.firstView(queue);
      if (view !== undefined) commands.push({ kind: "place", queue, view });
    }
    return commands;
  }

  #throttleCommands(context: PlanningContext): ControlCommand[] {
    const commands: ControlCommand[] = [];
    for (const [queue, standing] of this.#pacer.plan(context))
      commands.push({ kind: "stand", queue, standing });
    return commands;
  }
}

function canKeepDirectory({ telling }: NodeDescriptor): boolean {
  return telling.assignsLots === true;
}

/** Places the lot directory, if lots can be submitted. */
function firstDirectoryView(
  placement: QueuePlacement,
  { value }: PlanningContext,
  feed: Feed,
): ControlCommand[] {
  const isPlaced = feed.read(keys.queue + lotDirectoryQueue) !== undefined;
  if (isPlaced || !configuration.acceptsLots(value)) return [];
  const view = placement.firstView(lotDirectoryQueue);
  return view === undefined ? [] : [{ kind: "place", queue: lotDirectoryQueue, view }];
}

/** Machines of an earlier release count as absent from the lot directory: they could not serve it. */
function nextViewCommands(
  placement: QueuePlacement,
  directoryPlacement: QueuePlacement,
  feed: Feed,
): ControlCommand[] {
  const commands: ControlCommand[] = [];
  for (const [queue, view] of recordsByQueue<ChainView>(feed, keys.queue)) {
    const chosen = queue === lotDirectoryQueue ? directoryPlacement : placement;
    const next = chosen.nextView(queue, view);
    if (next !== undefined) commands.push({ kind: "review", queue, view: next });
  }
  return commands;
}

/** Deletes expired deregistrations once at least one has reached its retention. */
function forgetCommands({ feed, chainTime }: PlanningInput): ControlCommand[] {
  for (const [, { at }] of feed.under<Deregistration>(keys.goodbye))
    if (at + constants.deregistrationRetentionMs <= chainTime) return [{ kind: "forget-goodbyes" }];
  return [];
}
