import { constants, type ChainView, type Feed, type Policy, type Sessions } from "@chutewick/parts";
import { configuration } from "./configuration.js";
import { emptying } from "./emptying.js";
import { FleetPlan } from "./fleet-plan.js";
import { keys } from "./keys.js";
import type { ControlCommand, Deregistration, FleetRecord } from "./machine.js";
import { Pacer, type Surroundings } from "./pace.js";
import { QueuePlacement } from "./queue-placement.js";
import { queuesUnder, surroundingsOf } from "./queue-reports.js";

/** What the head knows when it plans. */
export interface PlanningInput {
  readonly feed: Feed;
  readonly sessions: Sessions;
  /** ms, of the monotonic clock. */
  readonly now: number;
  /** ms, of the wall clock. */
  readonly wall: number;
  /** ms, of the chain: deregistrations are kept by it. */
  readonly chainTime: number;
  /** Whether a place of the feed is in force at all lease holders. */
  isInForce(this: void, place: number): boolean;
}

/** The head's duty: keep the fleet record, pace queues, place and mend their replicas (docs/design.md §7.4, §8.2, §8.4). */
export class HeadPlanner {
  readonly #policy: Policy;
  readonly #fleetPlan = new FleetPlan();
  readonly #pacer: Pacer;

  constructor(policy: Policy) {
    this.#policy = policy;
    this.#pacer = new Pacer(policy);
  }

  /** Commands to be entered now, in this order. */
  plan(input: PlanningInput): ControlCommand[] {
    const surroundings = surroundingsOf(input);
    const placement = this.#placementOf(input);
    return [
      ...this.#fleetCommands(input),
      ...forgetCommands(input),
      ...this.#placeCommands(placement, surroundings, input.feed),
      ...this.#paceCommands(surroundings),
      ...reviewCommands(placement, input.feed),
    ];
  }

  #placementOf({ feed, sessions, now }: PlanningInput): QueuePlacement {
    const storage = sessions.live("storage", now);
    return new QueuePlacement({
      views: queuesUnder<ChainView>(feed, keys.queue),
      live: new Map(storage.map((card) => [card.identity, card])),
      /** Also under the identity that a machine got with a new disk. */
      toEmpty: new Set(emptying.machines(feed, storage).keys()),
      policy: this.#policy,
    });
  }

  #fleetCommands({ feed, sessions, isInForce, now }: PlanningInput): ControlCommand[] {
    if (this.#policy.goesOnAlone) return [];
    const nodes = [...sessions.live("access", now), ...sessions.live("storage", now)];
    const known = { record: feed.read<FleetRecord>(keys.fleet), place: feed.place };
    const fleet = this.#fleetPlan.next(known, nodes, isInForce, now);
    return fleet === undefined ? [] : [{ kind: "fleet", fleet }];
  }

  #placeCommands(placement: QueuePlacement, { value }: Surroundings, feed: Feed): ControlCommand[] {
    const wanted = new Set<string>();
    for (const { queue } of configuration.queues(value, this.#policy)) wanted.add(queue);
    const commands: ControlCommand[] = [];
    for (const queue of wanted) {
      if (feed.read(keys.queue + queue) !== undefined) continue;
      const view = placement.firstView(queue);
      if (view !== undefined) commands.push({ kind: "place", queue, view });
    }
    return commands;
  }

  #paceCommands(surroundings: Surroundings): ControlCommand[] {
    const commands: ControlCommand[] = [];
    for (const [queue, standing] of this.#pacer.plan(surroundings))
      commands.push({ kind: "stand", queue, standing });
    return commands;
  }
}

function reviewCommands(placement: QueuePlacement, feed: Feed): ControlCommand[] {
  const commands: ControlCommand[] = [];
  for (const [queue, view] of queuesUnder<ChainView>(feed, keys.queue)) {
    const next = placement.nextView(queue, view);
    if (next !== undefined) commands.push({ kind: "review", queue, view: next });
  }
  return commands;
}

/** Records of deregistered runners are forgotten once the oldest was kept for long enough. */
function forgetCommands({ feed, chainTime }: PlanningInput): ControlCommand[] {
  for (const [, { at }] of feed.under<Deregistration>(keys.goodbye))
    if (at + constants.deregistrationKept <= chainTime) return [{ kind: "forget-goodbyes" }];
  return [];
}
