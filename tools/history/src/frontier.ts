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

/** Steps for telling which of the open operations shows best that a history is wrong. */
const BLAME_STEPS_MOST = 20_000;

/** How configurations are followed until an operation has taken effect. */
interface Advance<Input, Output> {
  readonly pending: Pending<Input, Output>;
  readonly counter: StepCounter;
  /** Whether a configuration that leaves an open operation no place is dropped. */
  readonly dropsDoomed: boolean;
}

/**
 * All configurations that a history allows up to one moment, each of them once (just-in-time linearization: Lowe,
 * "Testing for linearizability"). An operation that changes nothing is placed as soon as it can stand; one that does
 * is placed when it returns, or when another that returns needs it.
 *
 * A configuration in which an operation that was called and returns later can stand no more is dropped at once, since
 * it has no future; else each way in which orders of unknown outcome can pass by that operation would be followed.
 */
export class Frontier<State, Input, Output> {
  #specification: Specification<State, Input, Output>;
  #counter: StepCounter;
  /** Whether at some return every configuration was found to have no future, so that a fault must follow. */
  isDoomed = false;

  constructor(specification: Specification<State, Input, Output>, counter: StepCounter) {
    this.#specification = specification;
    this.#counter = counter;
  }

  /** Places a newly called operation wherever it can stand without a change. */
  called(
    configurations: readonly Configuration<State>[],
    number: number,
    operation: Operation<Input, Output>,
  ): Configuration<State>[] {
    return configurations.map((configuration) => {
      const { state, placed } = configuration;
      this.#counter.count();
      if (this.#specification.step(state, operation) !== state) return configuration;
      return { state, placed: new Set(placed).add(number) };
    });
  }

  /** The configurations in which the operation has taken effect; none where it cannot have. */
  returned(
    configurations: readonly Configuration<State>[],
    pending: Pending<Input, Output>,
    number: number,
  ): Configuration<State>[] {
    const advance = { pending, counter: this.#counter, dropsDoomed: true };
    const reached = this.#reach(configurations, number, advance);
    if (reached.length > 0) return reached;
    this.isDoomed = true;
    return this.#reachDoomed(configurations, pending, number);
  }

  /**
   * Where no configuration has a future the history is wrong. The operation that returns is not to be blamed if only
   * others that are open still have no place: then the search goes on until one of those returns.
   */
  #reachDoomed(
    configurations: readonly Configuration<State>[],
    pending: Pending<Input, Output>,
    number: number,
  ): Configuration<State>[] {
    const counter = new StepCounter(BLAME_STEPS_MOST);
    try {
      return this.#reach(configurations, number, { pending, counter, dropsDoomed: false });
    } catch (error) {
      if (!(error instanceof SearchBoundError)) throw error;
      return [];
    }
  }

  #reach(
    configurations: readonly Configuration<State>[],
    number: number,
    advance: Advance<Input, Output>,
  ): Configuration<State>[] {
    const reached = new Map<string, Configuration<State>>();
    const visited = new Set<string>();
    const open = [...configurations];
    for (let next = open.pop(); next !== undefined; next = open.pop()) {
      const configuration = this.#absorb(next, advance);
      if (configuration === undefined) continue;
      const key = this.#key(configuration);
      if (visited.has(key)) continue;
      visited.add(key);
      if (configuration.placed.has(number)) {
        const without = new Set(configuration.placed);
        without.delete(number);
        const found = { state: configuration.state, placed: without };
        reached.set(this.#key(found), found);
      } else open.push(...this.#successors(configuration, advance));
    }
    return [...reached.values()];
  }

  #successors(
    { state, placed }: Configuration<State>,
    { pending, counter }: Advance<Input, Output>,
  ): Configuration<State>[] {
    const found: Configuration<State>[] = [];
    for (const [number, operation] of pending) {
      if (placed.has(number)) continue;
      counter.count();
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

  /** The configuration with all placed that changes nothing; undefined where it is doomed and to be dropped. */
  #absorb(
    configuration: Configuration<State>,
    { pending, counter, dropsDoomed }: Advance<Input, Output>,
  ): Configuration<State> | undefined {
    const { state, placed } = configuration;
    let more: Set<number> | undefined;
    for (const [number, operation] of pending) {
      if (operation.output === undefined || placed.has(number)) continue;
      counter.count();
      if (this.#specification.step(state, operation) === state) {
        more ??= new Set(placed);
        more.add(number);
      } else if (dropsDoomed && this.#specification.isExcluded(state, operation)) return undefined;
    }
    return more === undefined ? configuration : { state, placed: more };
  }

  #key({ state, placed }: Configuration<State>): string {
    const numbers = [...placed].sort((left, right) => left - right);
    return `${this.#specification.key(state)}|${numbers.join(",")}`;
  }
}
