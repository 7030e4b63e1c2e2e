import type { History, Operation } from "./history.js";

/**
 * The sequential behaviour of one object: which operations may follow each other when none overlap.
 *
 * The search relies on one property: an operation that leaves one state unchanged leaves every later state unchanged
 * in which it is allowed. Reads, refusals and repeated sendings of what was applied already are of this kind.
 */
export interface Specification<State, Input, Output> {
  readonly initial: State;
  /**
   * The state after the operation, the same reference where it changes nothing, undefined where it cannot stand here.
   * An operation of unknown outcome is asked for its effect, and cannot stand where it would have none.
   */
  step(state: State, operation: Operation<Input, Output>): State | undefined;
  /** Equal keys, equal behaviour from here on. */
  key(state: State): string;
  /** Whether an operation of unknown outcome can have no effect in this state or any later one. */
  isSpent(state: State, operation: Operation<Input, Output>): boolean;
  /**
   * Whether an answered operation that has not taken effect yet can stand neither in this state nor in any later one.
   * May say no where it cannot tell; the search then only takes longer.
   */
  isExcluded(state: State, operation: Operation<Input, Output>): boolean;
  /** The rule that an operation breaks which can stand in none of the states that the history allows. */
  diagnose(
    state: State,
    operation: Operation<Input, Output>,
    history: History<Input, Output>,
  ): string;
  /**
   * The state that the object seems to be in after an operation that could not stand, so that the search can go on and
   * what follows from one fault is not told as another; the same reference where the operation tells nothing of it.
   */
  resume(state: State, operation: Operation<Input, Output>): State;
  describeState(state: State): string;
  describeOperation(operation: Operation<Input, Output>): string;
}
