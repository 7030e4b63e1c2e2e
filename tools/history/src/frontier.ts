import type { Operation } from "./history.js";
import type { Specification } from "./specification.js";

/** One way in which the operations so far can have taken effect. */
export interface Configuration<State> {
  readonly state: State;
  /** Operations that took effect already and may be placed no more, by their number in the history. */
  readonly placed: ReadonlySet<number>;
}

/** Operations that may still take effect, by their number in the history. */
export type Pending<Input, Output> = ReadonlyMap<number, Operation<Input, Output>>;

/** The search came to its bound before it could tell. */
export class SearchBoundError extends Error {
  constructor(bound: number) {
    super(`undecided after ${bound} steps between two quiescent points`);
  }
}

/** Counts steps between two quiescent points, and ends a search that comes to its bound. */
export class StepCounter {
  #bound: number;
  #inWindow = 0;
  /** Steps of the whole search. */
  total = 0;

  constructor(bound: number) {
    this.#bound = bound;
  }

  count(): void {
    this.total += 1;
    this.#inWindow += 1;
    if (this.#inWindow > this.#bound) throw new SearchBoundError(this.#bound);
  }

  beginWindow(): void {
    this.#inWindow = 0;
  }
}

/**
 * All configurations that a history allows up to one moment, each of them once (just-in-time linearization: Lowe,
 * "Testing for linearizability"). An operation that changes nothing is placed as soon as it can stand; one that does
 * is placed when it returns, or when another that returns needs it.
 */
export class Frontier<State, Input, Output> {
  #specification: Specification<State, Input, Output>;
  #counter: StepCounter;

  constructor(specification: Specification<State, Input, Output>, counter: StepCounter) {
    this.#specification = specification;
    this.#counter = counter;
  }

  /** Places a newly called operation wherever it can stand without a change. */
  called(
    configurations: readonly Configuration<State>[],
    pending: Pending<Input, Output>,
  ): Configuration<State>[] {
    return configurations.map((configuration) => this.#absorb(configuration, pending));
  }

  /** The configurations in which the operation has taken effect; none where it cannot have. */
  returned(
    configurations: readonly Configuration<State>[],
    pending: Pending<Input, Output>,
    number: number,
  ): Configuration<State>[] {
    const reached = new Map<string, Configuration<State>>();
    const visited = new Set<string>();
    const open = [...configurations];
    for (let next = open.pop(); next !== undefined; next = open.pop()) {
      const configuration = this.#absorb(next, pending);
      const key = this.#key(configuration);
      if (visited.has(key)) continue;
      visited.add(key);
      if (configuration.placed.has(number)) {
        const without = new Set(configuration.placed);
        without.delete(number);
        const found = { state: configuration.state, placed: without };
        reached.set(this.#key(found), found);
      } else open.push(...this.#successors(configuration, pending));
    }
    return [...reached.values()];
  }

  #successors(
    { state, placed }: Configuration<State>,
    pending: Pending<Input, Output>,
  ): Configuration<State>[] {
    const found: Configuration<State>[] = [];
    for (const [number, operation] of pending) {
      if (placed.has(number)) continue;
      this.#counter.count();
      const after = this.#specification.step(state, operation);
      if (after === undefined || after === state) continue;
      found.push({ state: after, placed: this.#withPlaced(placed, number, operation, after) });
    }
    return found;
  }

  /** What can have no second effect need not be remembered. */
  #withPlaced(
    placed: ReadonlySet<number>,
    number: number,
    operation: Operation<Input, Output>,
    after: State,
  ): ReadonlySet<number> {
    if (operation.output === undefined && this.#specification.isSpent(after, operation))
      return placed;
    return new Set(placed).add(number);
  }

  #absorb(
    configuration: Configuration<State>,
    pending: Pending<Input, Output>,
  ): Configuration<State> {
    const { state, placed } = configuration;
    let more: Set<number> | undefined;
    for (const [number, operation] of pending) {
      if (operation.output === undefined || placed.has(number)) continue;
      this.#counter.count();
      if (this.#specification.step(state, operation) !== state) continue;
      more ??= new Set(placed);
      more.add(number);
    }
    return more === undefined ? configuration : { state, placed: more };
  }

  #key({ state, placed }: Configuration<State>): string {
    const numbers = [...placed].sort((left, right) => left - right);
    return `${this.#specification.key(state)}|${numbers.join(",")}`;
  }
}
