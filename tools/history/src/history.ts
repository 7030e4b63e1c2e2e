/**
 * Histories of operations as their clients saw them: what was called, when, and what came back.
 *
 * An operation takes effect at one moment between its call and its return, or, where its outcome is unknown, at any
 * moment after its call or never (Herlihy and Wing, "Linearizability: a correctness condition for concurrent objects").
 */
export interface Operation<Input, Output> {
  /** Who called; only told in reports. */
  readonly client: string;
  readonly input: Input;
  /** ms, of any clock that all operations of the history share. */
  readonly calledAt: number;
  /** ms of the same clock; not looked at where the outcome is unknown. */
  readonly returnedAt: number;
  /** What was answered; undefined where the client never learnt the outcome. */
  readonly output: Output | undefined;
}

/** All operations on one object, in any order. */
export type History<Input, Output> = readonly Operation<Input, Output>[];

/** Whether the client learnt what came of its call. */
export function isAnswered(operation: Operation<unknown, unknown>): boolean {
  return operation.output !== undefined;
}

/** The same call by a client that never learnt its outcome: it allows everything that the answered one allows. */
export function unanswered<Input, Output>(
  operation: Operation<Input, Output>,
): Operation<Input, Output> {
  return { ...operation, returnedAt: Number.POSITIVE_INFINITY, output: undefined };
}
