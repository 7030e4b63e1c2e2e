import { apply } from "./actions.js";
import { format, type Action } from "./schedule.js";
import { enabledActions, isFault } from "./enabled.js";
import { fingerprint } from "./fingerprint.js";
import type { Violation } from "./history.js";
import { checkRecovery } from "./liveness.js";
import { isWhole } from "./recovery.js";
import type { World } from "./world.js";

/** Every schedule of actions up to a depth and a number of faults, each state visited once. */
export interface SearchOptions {
  readonly depth: number;
  /** Faults in one schedule. */
  readonly faults: number;
  /** Liveness is checked in each so many-th state; 0 for none. */
  readonly sampleEvery: number;
  readonly statesMost: number;
}

export interface Counterexample extends Violation {
  readonly schedule: readonly string[];
}

export interface SearchResult {
  readonly states: number;
  readonly sampled: number;
  /** Steps that led to a state that was known. */
  readonly merged: number;
  readonly isComplete: boolean;
  readonly counterexample: Counterexample | undefined;
}

export class Search {
  readonly #options: SearchOptions;
  /** Steps that were still to go when a state was last visited, by fingerprint. */
  readonly #visited = new Map<string, number>();
  readonly #path: Action[] = [];
  #states = 0;
  #sampled = 0;
  #merged = 0;
  #counterexample: Counterexample | undefined;

  constructor(options: SearchOptions) {
    this.#options = options;
  }

  /** Each depth in turn, so that what is found first is short. */
  run(start: World): SearchResult {
    for (let depth = 1; depth <= this.#options.depth; depth += 1) {
      this.#visited.clear();
      this.#explore(start, depth, this.#options.faults);
      if (this.#isOver) break;
    }
    return {
      states: this.#states,
      sampled: this.#sampled,
      merged: this.#merged,
      isComplete: this.#states < this.#options.statesMost,
      counterexample: this.#counterexample,
    };
  }

  get #isOver(): boolean {
    return this.#counterexample !== undefined || this.#states >= this.#options.statesMost;
  }

  #explore(world: World, depth: number, faults: number): void {
    for (const action of enabledActions(world)) {
      if (this.#isOver) return;
      const left = isFault(action) ? faults - 1 : faults;
      if (left < 0) continue;
      const next = world.fork();
      apply(next, action);
      forgetLosses(next);
      this.#path.push(action);
      this.#visit(next, depth - 1, left);
      this.#path.pop();
    }
  }

  #visit(world: World, depth: number, faults: number): void {
    const { violation } = world.history;
    if (violation !== undefined) return this.#found(violation);
    const key = `${faults} ${fingerprint(world)}`;
    if ((this.#visited.get(key) ?? -1) >= depth) {
      this.#merged += 1;
      return;
    }
    this.#visited.set(key, depth);
    this.#states += 1;
    if (depth === 0) this.#sample(world);
    else this.#explore(world, depth, faults);
  }

  #sample(world: World): void {
    const { sampleEvery } = this.#options;
    if (sampleEvery === 0 || this.#states % sampleEvery !== 0) return;
    this.#sampled += 1;
    const violation = checkRecovery(world);
    if (violation !== undefined) this.#found(violation);
  }

  #found(violation: Violation): void {
    this.#counterexample = { ...violation, schedule: this.#path.map(format) };
  }
}

/** Once the group is whole again, others may be lost. */
export function forgetLosses(world: World): void {
  if (world.lost.size > 0 && isWhole(world)) world.lost.clear();
}
