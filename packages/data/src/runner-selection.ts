/** Chooses the runner that a live request or a dequeued prompt of a route is sent to (docs/design.md §8.3). */
import { constants, season, type RunnerDescriptor, type Selector } from "@chutewick/parts";
import { configuration } from "@chutewick/control";
import type { Attempts } from "./attempts.js";
import type { Membership } from "./membership.js";
import { weightedKey } from "./weighted-choice.js";

/** Weight of a runner without a free slot, less with each job beyond; a runner with one free slot has weight 1. */
const FULL_RUNNER_WEIGHT = 0.01;
/** Factor for the free slots of runners in the zone of this node. */
const OWN_ZONE_FACTOR = 1.2;

/** The requirements that a runner has to meet. */
export interface RunnerDemand {
  readonly kind: RunnerDescriptor["kind"];
  readonly model: string | undefined;
  readonly adapter: string | undefined;
  /** Labels that the runner must have, with their values. */
  readonly labels: Readonly<Record<string, string>>;
  /** Runner selectors of the season that a lot (a batch job) falls into; without them any runner matches. */
  readonly selectors?: readonly Selector[];
  /** Ids of the runners that were tried already and are excluded. */
  readonly tried: ReadonlySet<string>;
  /** Part of a runner's slots that this kind of work may fill. */
  readonly slotFraction: number;
  /** Number of runners tried already although they had no free slot. */
  readonly fullRunnersTried?: number;
}

/** Chooses among the runners known to this node. */
export class RunnerSelection {
  #membership: Membership;
  #attempts: Attempts;

  constructor(membership: Membership, attempts: Attempts) {
    this.#membership = membership;
    this.#attempts = attempts;
  }

  /**
   * Chooses at random, weighted by free slots. Always taking the runner with the most free slots would send the work of all
   * nodes that see the same loads to the same runner.
   */
  choose(demand: RunnerDemand, now: number): RunnerDescriptor | undefined {
    const { identity } = this.#membership;
    let best: RunnerDescriptor | undefined;
    let bestKey = Number.NEGATIVE_INFINITY;
    for (const card of this.#membership.runners(now)) {
      if (!meetsDemand(card, demand)) continue;
      const free = card.seats * demand.slotFraction - this.#attempts.load(card, now);
      if (free <= 0 && !mayTryFullRunner(demand)) continue;
      const seed = `${identity}/${this.#attempts.lastNumber}/${card.id}`;
      const key = weightedKey(seed, this.#weight(card, free));
      if (key > bestKey) {
        best = card;
        bestKey = key;
      }
    }
    return best;
  }

  #weight(card: RunnerDescriptor, free: number): number {
    if (free <= 0) return FULL_RUNNER_WEIGHT / (1 - free);
    return free * (card.zone === this.#membership.zone ? OWN_ZONE_FACTOR : 1);
  }
}

function meetsDemand(card: RunnerDescriptor, demand: RunnerDemand): boolean {
  if (card.kind !== demand.kind || demand.tried.has(card.id)) return false;
  if (!servesModel(card, demand)) return false;
  if (!hasLabels(card.labels, demand.labels)) return false;
  return season.matches(demand.selectors ?? [], card.labels);
}

/** Whether a runner serves the model; a runner of a model also serves the adapters of that model. */
function servesModel({ models }: RunnerDescriptor, { model, adapter }: RunnerDemand): boolean {
  return (
    model === undefined ||
    models.includes(configuration.queueOf(model, adapter)) ||
    models.includes(model)
  );
}

/** A live request may try some runners without a free slot as a last resort, because reported loads are up to a second old. */
function mayTryFullRunner({ slotFraction, fullRunnersTried = 0 }: RunnerDemand): boolean {
  return slotFraction >= 1 && fullRunnersTried < constants.maxFullRunnersTried;
}

function hasLabels(
  labels: Readonly<Record<string, string>>,
  required: Readonly<Record<string, string>>,
): boolean {
  for (const [key, value] of Object.entries(required)) if (labels[key] !== value) return false;
  return true;
}
