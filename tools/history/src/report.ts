import { isAnswered, unanswered, type History, type Operation } from "./history.js";
import { search, type FailingWindow, type SearchOptions } from "./search.js";
import type { Specification } from "./specification.js";

/** One fault of a history, for people to read. */
export interface Fault {
  /** The rule that broke, as the specification names it. */
  readonly rule: string;
  /** What contradicts what, one operation a line. */
  readonly facts: string;
}

/** The rule of a history that the search could not decide within its bound. */
export const undecidedRule = "undecided";

/** Steps for each try to do without an outcome; a try that needs more counts as one that cannot. */
const SHRINK_STEPS_MOST = 20_000;
/** Operations of a window beyond which only the blocked one is shown. */
const SHRINK_OPERATIONS_MOST = 400;

/** Judges one history; none where some order of its operations is allowed. */
export function judge<State, Input, Output>(
  specification: Specification<State, Input, Output>,
  history: History<Input, Output>,
  options: SearchOptions<State> = {},
): Fault[] {
  const { faults, undecided } = search(specification, history, options);
  const found = faults.map((window) => ({
    rule: specification.diagnose(window.stateAtReturn, window.blocked, history),
    facts: factsOf(specification, window),
  }));
  if (undecided !== undefined) found.push({ rule: undecidedRule, facts: undecided });
  return found;
}

function factsOf<State, Input, Output>(
  specification: Specification<State, Input, Output>,
  window: FailingWindow<State, Input, Output>,
): string {
  const lines = contradicting(specification, window).map((operation) =>
    lineOf(specification, operation),
  );
  const before = window.statesBefore.map((state) => specification.describeState(state));
  return `${lines.join("; ")}; the window began with ${before.slice(0, 3).join(" or ")}`;
}

function lineOf<State, Input, Output>(
  specification: Specification<State, Input, Output>,
  operation: Operation<Input, Output>,
): string {
  const from = Math.round(operation.calledAt);
  const to = isAnswered(operation) ? String(Math.round(operation.returnedAt)) : "unknown";
  return `[${from}-${to}] ${operation.client} ${specification.describeOperation(operation)}`;
}

/**
 * The operations of a window whose outcomes cannot all stand: each outcome that the contradiction does not need is
 * taken away, which only ever allows more, and the rest is kept. The blocked operation comes last.
 */
export function contradicting<State, Input, Output>(
  specification: Specification<State, Input, Output>,
  { operations, statesBefore, blocked }: FailingWindow<State, Input, Output>,
): Operation<Input, Output>[] {
  const answered = operations.filter(
    (operation) =>
      operation !== blocked && isAnswered(operation) && operation.returnedAt <= blocked.returnedAt,
  );
  if (answered.length > SHRINK_OPERATIONS_MOST) return [blocked];
  let kept: Operation<Input, Output>[] = [...operations];
  const needed: Operation<Input, Output>[] = [];
  for (const operation of answered) {
    const weaker = kept.map((other) => (other === operation ? unanswered(other) : other));
    if (fails(specification, weaker, statesBefore)) kept = weaker;
    else needed.push(operation);
  }
  return [...needed, blocked];
}

function fails<State, Input, Output>(
  specification: Specification<State, Input, Output>,
  history: History<Input, Output>,
  initial: readonly State[],
): boolean {
  const options = { initial, faultsMost: 1, stepsMost: SHRINK_STEPS_MOST };
  return search(specification, history, options).faults.length > 0;
}
