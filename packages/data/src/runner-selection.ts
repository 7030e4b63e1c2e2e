/** Which runner a live request or a drawn prompt goes to (docs/design.md §8.3). */
import { constants, season, type RunnerCard, type Selector } from "@chutewick/parts";
import { configuration } from "@chutewick/control";
import type { Attempts } from "./attempts.js";
import type { Membership } from "./membership.js";
import { weightedKey } from "./weighted-choice.js";

/** Weight of a runner that looks full by one, beside 1 for one free seat. */
const FULL_RUNNER_WEIGHT = 0.01;
/** How much more a free seat in this node's own zone counts. */
const OWN_ZONE_FACTOR = 1.2;

/** What a runner has to offer. */
export interface RunnerDemand {
  readonly kind: RunnerCard["kind"];
  readonly model: string | undefined;
  readonly adapter: string | undefined;
  /** Labels with the values that a runner has to carry. */
  readonly labels: Readonly<Record<string, string>>;
  /** Which runners the season of a lot chose; all of them where it is left out. */
  readonly selectors?: readonly Selector[];
  /** Runners that are not to be tried again. */
  readonly tried: ReadonlySet<string>;
  /** Part of a runner's seats up to which this kind of work fills them. */
  readonly seatPart: number;
  /** Runners tried already though they looked full. */
  readonly fullRunnersTried?: number;
}

/** Chooses among the runners that this node knows. */
export class RunnerSelection {
  #membership: Membership;
  #attempts: Attempts;

  constructor(membership: Membership, attempts: Attempts) {
    this.#membership = membership;
    this.#attempts = attempts;
  }

  /** Drawn by free seats, not the freest always: nodes that see the same loads would all go to the same runner. */
  choose(demand: RunnerDemand, now: number): RunnerCard | undefined {
    const { identity } = this.#membership;
    let best: RunnerCard | undefined;
    let bestKey = Number.NEGATIVE_INFINITY;
    for (const card of this.#membership.runners(now)) {
      if (!meets(card, demand)) continue;
      const free = card.seats * demand.seatPart - this.#attempts.load(card, now);
      if (free <= 0 && !mayTryFull(demand)) continue;
      const seed = `${identity}/${this.#attempts.lastNumber}/${card.id}`;
      const key = weightedKey(seed, this.#weight(card, free));
      if (key > bestKey) {
        best = card;
        bestKey = key;
      }
    }
    return best;
  }

  #weight(card: RunnerCard, free: number): number {
    if (free <= 0) return FULL_RUNNER_WEIGHT / (1 - free);
    return free * (card.zone === this.#membership.zone ? OWN_ZONE_FACTOR : 1);
  }
}

function meets(card: RunnerCard, demand: RunnerDemand): boolean {
  if (card.kind !== demand.kind || demand.tried.has(card.id)) return false;
  if (!serves(card, demand)) return false;
  if (!carries(card.labels, demand.labels)) return false;
  return season.matches(demand.selectors ?? [], card.labels);
}

/** A runner of a model serves its adapters as well. */
function serves({ models }: RunnerCard, { model, adapter }: RunnerDemand): boolean {
  return (
    model === undefined ||
    models.includes(configuration.queueOf(model, adapter)) ||
    models.includes(model)
  );
}

/** A live request may try some that look full, last of all: loads are up to a second old. */
function mayTryFull({ seatPart, fullRunnersTried = 0 }: RunnerDemand): boolean {
  return seatPart >= 1 && fullRunnersTried < constants.fullTried;
}

function carries(
  labels: Readonly<Record<string, string>>,
  wanted: Readonly<Record<string, string>>,
): boolean {
  for (const [key, value] of Object.entries(wanted)) if (labels[key] !== value) return false;
  return true;
}
