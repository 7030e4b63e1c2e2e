import { Frontier, SearchBoundError, StepCounter, type Configuration } from "./frontier.js";
import { unanswered, type History, type Operation } from "./history.js";
import type { Specification } from "./specification.js";

/** Bounds of a search. */
export interface SearchOptions<State> {
  /** Steps between two quiescent points before the search gives up. */
  readonly stepsMost?: number;
  /** Faults after which no more are looked for. */
  readonly faultsMost?: number;
  /** States in which the object may be at the beginning; the specification's own where absent. */
  readonly initial?: readonly State[];
}

/** A stretch of history from a quiescent point to the return that cannot be explained. */
export interface FailingWindow<State, Input, Output> {
  /** The operation that can stand nowhere. */
  readonly blocked: Operation<Input, Output>;
  /** States that the history before the window allows. */
  readonly statesBefore: readonly State[];
  /** A state that the history allows just before the blocked operation returns. */
  readonly stateAtReturn: State;
  /** Everything called in the window or still without effect at its beginning, the blocked operation included. */
  readonly operations: History<Input, Output>;
}

/** What a search found. */
export interface SearchResult<State, Input, Output> {
  readonly faults: readonly FailingWindow<State, Input, Output>[];
  /** Set where the search came to its bound; the history is then neither right nor wrong. */
  readonly undecided: string | undefined;
  readonly steps: number;
}

const STEPS_MOST = 2_000_000;
const FAULTS_MOST = 8;

interface Event {
  readonly at: number;
  readonly number: number;
  readonly isReturn: boolean;
}

/** Whether some order of the operations, each between its call and its return, is one that the specification allows. */
export function search<State, Input, Output>(
  specification: Specification<State, Input, Output>,
  history: History<Input, Output>,
  options: SearchOptions<State> = {},
): SearchResult<State, Input, Output> {
  return new Search(specification, history, options).run();
}

class Search<State, Input, Output> {
  #specification: Specification<State, Input, Output>;
  #history: History<Input, Output>;
  #faultsMost: number;
  #counter: StepCounter;
  #frontier: Frontier<State, Input, Output>;
  #configurations: Configuration<State>[];
  #pending = new Map<number, Operation<Input, Output>>();
  /** Called and not returned yet, of those that return. */
  #open = 0;
  #statesBefore: readonly State[];
  #window: Operation<Input, Output>[] = [];
  #faults: FailingWindow<State, Input, Output>[] = [];

  constructor(
    specification: Specification<State, Input, Output>,
    history: History<Input, Output>,
    options: SearchOptions<State>,
  ) {
    this.#specification = specification;
    this.#history = history;
    this.#faultsMost = options.faultsMost ?? FAULTS_MOST;
    this.#counter = new StepCounter(options.stepsMost ?? STEPS_MOST);
    this.#frontier = new Frontier(specification, this.#counter);
    this.#statesBefore = options.initial ?? [specification.initial];
    this.#configurations = this.#statesBefore.map((state) => ({ state, placed: new Set() }));
  }

  run(): SearchResult<State, Input, Output> {
    try {
      for (const event of eventsOf(this.#history)) {
        if (this.#faults.length >= this.#faultsMost) break;
        if (event.isReturn) this.#return(event.number);
        else this.#call(event.number);
      }
    } catch (error) {
      if (!(error instanceof SearchBoundError)) throw error;
      return { faults: this.#faults, undecided: error.message, steps: this.#counter.total };
    }
    if (this.#frontier.isDoomed && this.#faults.length === 0)
      throw new Error("the specification excluded an operation that could stand after all");
    return { faults: this.#faults, undecided: undefined, steps: this.#counter.total };
  }

  #call(number: number): void {
    const operation = this.#history[number]!;
    if (this.#open === 0) this.#beginWindow();
    this.#pending.set(number, operation);
    this.#window.push(operation);
    if (operation.output === undefined) return;
    this.#open += 1;
    this.#configurations = this.#frontier.called(this.#configurations, number, operation);
  }

  #return(number: number): void {
    const operation = this.#history[number]!;
    const next = this.#frontier.returned(this.#configurations, this.#pending, number);
    this.#open -= 1;
    if (next.length === 0) return this.#fail(number, operation);
    this.#configurations = next;
    this.#pending.delete(number);
    this.#forgetSpent();
  }

  #forgetSpent(): void {
    for (const [number, operation] of this.#pending)
      if (operation.output === undefined && this.#isSpent(operation)) this.#pending.delete(number);
  }

  #isSpent(operation: Operation<Input, Output>): boolean {
    return this.#configurations.every(({ state }) => this.#specification.isSpent(state, operation));
  }

  /** The search goes on from where the object seems to be, so that one fault neither hides the next nor repeats. */
  #fail(number: number, blocked: Operation<Input, Output>): void {
    this.#faults.push({
      blocked,
      statesBefore: this.#statesBefore,
      stateAtReturn: this.#configurations[0]!.state,
      operations: [...this.#window],
    });
    this.#pending.set(number, unanswered(blocked));
    this.#configurations = this.#configurations.map(({ state, placed }) => ({
      state: this.#specification.resume(state, blocked),
      placed,
    }));
    this.#forgetSpent();
  }

  /** Nothing that returns is under way: what comes next depends on the states and on unknown outcomes alone. */
  #beginWindow(): void {
    this.#counter.beginWindow();
    this.#forgetSpent();
    this.#window = [...this.#pending.values()];
    const states = new Map<string, State>();
    for (const { state } of this.#configurations) states.set(this.#specification.key(state), state);
    this.#statesBefore = [...states.values()];
  }
}

/** Calls come before returns of the same moment, so that operations that touch count as overlapping. */
function eventsOf(history: History<unknown, unknown>): Event[] {
  const events: Event[] = [];
  for (const [number, { calledAt, returnedAt, output }] of history.entries()) {
    events.push({ at: calledAt, number, isReturn: false });
    if (output !== undefined) events.push({ at: returnedAt, number, isReturn: true });
  }
  return events.sort(
    (left, right) => left.at - right.at || Number(left.isReturn) - Number(right.isReturn),
  );
}
