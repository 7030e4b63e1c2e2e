/** Group commit of writes to a disk that may fail or stall (docs/design.md §10.2). */
import { DiskHealth, type DiskCondition } from "@chutewick/parts";
import { metrics } from "./metrics.js";

/** One write: `apply` runs inside a transaction, and again after a failed commit; `done` runs once the write is durable. */
export interface WriteJob {
  readonly apply: () => void;
  readonly done: () => void;
}

/** Store to which the queue commits. */
export interface JobStore {
  /** Applies all jobs in one transaction: resolves once all of them are durable, rejects if none of them is. */
  commit(jobs: readonly WriteJob[]): Promise<void>;
}

/** Called whenever the condition of the disk changes, with the error of the last failed commit. */
export type ConditionListener = (condition: DiskCondition, error: Error | undefined) => void;

/**
 * Group commit: writes that are added while a transaction is being synced form the next transaction. A failed commit loses nothing: its
 * jobs stay at the head of the queue, and the oldest of them alone is retried after an increasing delay.
 */
export class WriteQueue {
  readonly #store: JobStore;
  readonly #changed: ConditionListener;
  readonly #health = new DiskHealth();
  #jobs: WriteJob[] = [];
  #isBusy = false;
  #isClosed = false;
  #reportedCondition: DiskCondition = "writable";
  #lastError: Error | undefined;
  /** Commits that became durable. */
  commits = 0;

  constructor(store: JobStore, changed: ConditionListener) {
    this.#store = store;
    this.#changed = changed;
  }

  /** Whether the disk accepts writes, as far as its last commits show. */
  get condition(): DiskCondition {
    return this.#health.condition;
  }

  /** Appends a write and starts committing if no commit is in progress. */
  add(job: WriteJob): void {
    this.#jobs.push(job);
    if (!this.#isBusy) void this.#drain();
  }

  /** Must be called at each tick of the process; detects a commit that does not end. */
  tick(now: number): void {
    this.#health.tick(now);
    this.#reportCondition();
  }

  /** Stops retries. Jobs that are not durable yet are dropped; none of them has been acknowledged. */
  close(): void {
    this.#isClosed = true;
  }

  async #drain(): Promise<void> {
    this.#isBusy = true;
    while (this.#jobs.length > 0 && !this.#isClosed) {
      const pause = await this.#commitNext();
      if (pause > 0) await sleep(pause);
    }
    this.#isBusy = false;
  }

  /** Commits the next batch and returns the delay in ms before the commit after it. */
  async #commitNext(): Promise<number> {
    const batch = this.#jobs.slice(0, this.#health.maxBatchWrites);
    const start = performance.now();
    this.#health.commitStarted(start);
    try {
      await this.#store.commit(batch);
    } catch (error) {
      this.#lastError = error as Error;
      const pause = this.#health.commitFailed(performance.now());
      this.#reportCondition();
      return pause;
    }
    const now = performance.now();
    this.#jobs.splice(0, batch.length);
    this.#health.commitSucceeded(now, this.#jobs.length === 0);
    this.commits += 1;
    metrics.committed(now - start);
    this.#reportCondition();
    for (const job of batch) job.done();
    return 0;
  }

  #reportCondition(): void {
    const { condition } = this.#health;
    if (condition === this.#reportedCondition) return;
    this.#reportedCondition = condition;
    this.#changed(condition, this.#lastError);
  }
}

function sleep(milliseconds: number): Promise<void> {
  function begin(resolve: () => void): void {
    setTimeout(resolve, milliseconds);
  }
  return new Promise<void>(begin);
}
