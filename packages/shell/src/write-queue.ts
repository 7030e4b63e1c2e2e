import { DiskHealth, type DiskCondition } from "@chutewick/parts";
import { metrics } from "./metrics.js";

/** One write: `apply` runs inside a transaction, perhaps again after a failed commit; `done` runs once it is durable. */
export interface WriteJob {
  readonly apply: () => void;
  readonly done: () => void;
}

/** Where the queue commits to. */
export interface JobStore {
  /** Resolves once all jobs are durable in one transaction; rejects where none of them is. */
  commit(jobs: readonly WriteJob[]): Promise<void>;
}

/** Told whenever the disk's condition changes, with the error of the last failed commit. */
export type ConditionListener = (condition: DiskCondition, error: Error | undefined) => void;

/**
 * Group commit: what comes while one transaction is being synced goes into the next as one (docs/design.md §10.2). A failed commit loses
 * nothing: its jobs stay first in the queue, and the oldest alone is tried after a growing pause.
 */
export class WriteQueue {
  readonly #store: JobStore;
  readonly #changed: ConditionListener;
  readonly #health = new DiskHealth();
  #jobs: WriteJob[] = [];
  #isBusy = false;
  #isClosed = false;
  #told: DiskCondition = "writable";
  #lastError: Error | undefined;
  /** Commits that became durable. */
  commits = 0;

  constructor(store: JobStore, changed: ConditionListener) {
    this.#store = store;
    this.#changed = changed;
  }

  get condition(): DiskCondition {
    return this.#health.condition;
  }

  add(job: WriteJob): void {
    this.#jobs.push(job);
    if (!this.#isBusy) void this.#drain();
  }

  /** To be called with each beat of the process: finds a commit that does not end. */
  beat(now: number): void {
    this.#health.beat(now);
    this.#tell();
  }

  /** Stops retries; jobs that are not durable are dropped, as nothing was promised of them. */
  close(): void {
    this.#isClosed = true;
  }

  async #drain(): Promise<void> {
    this.#isBusy = true;
    while (this.#jobs.length > 0 && !this.#isClosed) {
      const pause = await this.#commitNext();
      if (pause > 0) await elapsed(pause);
    }
    this.#isBusy = false;
  }

  /** Commits what waits, and returns the pause in ms before the next commit. */
  async #commitNext(): Promise<number> {
    const batch = this.#jobs.slice(0, this.#health.batchMost);
    const start = performance.now();
    this.#health.began(start);
    try {
      await this.#store.commit(batch);
    } catch (error) {
      this.#lastError = error as Error;
      const pause = this.#health.failed(performance.now());
      this.#tell();
      return pause;
    }
    const now = performance.now();
    this.#jobs.splice(0, batch.length);
    this.#health.committed(now, this.#jobs.length === 0);
    this.commits += 1;
    metrics.synced(now - start);
    this.#tell();
    for (const job of batch) job.done();
    return 0;
  }

  #tell(): void {
    const { condition } = this.#health;
    if (condition === this.#told) return;
    this.#told = condition;
    this.#changed(condition, this.#lastError);
  }
}

function elapsed(milliseconds: number): Promise<void> {
  function begin(resolve: () => void): void {
    setTimeout(resolve, milliseconds);
  }
  return new Promise<void>(begin);
}
