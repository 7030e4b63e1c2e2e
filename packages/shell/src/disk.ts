/** The data folder of one process: a database whose writes are synced before they are reported (docs/design.md §10.2). */
import { statSync, truncate } from "node:fs";
import { join } from "node:path";
import { promisify } from "node:util";
import {
  constants,
  outcome,
  type PersistedChain,
  type ChainWrite,
  type DiskCondition,
  type Outcome,
  type VoteState,
} from "@chutewick/parts";
import {
  applyChainWrite,
  causeOf,
  createDatabase,
  emptyState,
  ignore,
  newMetadata,
  openDatabase,
  openExisting,
  refusalOf,
  type DiskOwner,
  type OpenedDatabase,
  type PersistedState,
} from "./database.js";
import { DatabaseReadError } from "./database-file.js";
import {
  databaseFile,
  markInitialized,
  releaseFolder,
  retireUnreadable,
  acquireFolder,
} from "./data-folder.js";
import { WriteQueue, type JobStore, type WriteJob } from "./write-queue.js";
import type { RootDatabase } from "lmdb";

export type { DiskOwner } from "./database.js";

/** Receives the events of a disk. */
export interface DiskListener {
  /** The condition of the disk changed; `error` is that of the last failed commit. */
  changed(condition: DiskCondition, error: Error | undefined): void;
  /** An attempt to open the folder failed and will be repeated. */
  waiting(reason: string): void;
}

/** A folder whose database is open and checked. */
interface OpenedFolder extends OpenedDatabase {
  readonly folder: string;
  /** Why an earlier database of the folder was set aside, if it was. */
  readonly damage: string | undefined;
}

const truncateFile = promisify(truncate);

/** MDB_PANIC of lmdb: the environment can no longer be used, as after a failed write of a meta page. */
const lmdbPanicCode = -30_795;

/** Codes of errors that end once the disk has free space or responds again: names from the file system, numbers from lmdb. */
const transientErrorCodes: ReadonlySet<unknown> = new Set([
  "ENOSPC",
  "EDQUOT",
  "EFBIG",
  "EIO",
  28,
  122,
  27,
  5,
  lmdbPanicCode,
]);

/** Thrown when a data folder cannot be written now but may become writable later. */
class FolderNotWritableError extends Error {}

/** Data folder of one process. A write is reported as done only after it is synced to disk (docs/design.md §10.2). */
export class Disk implements JobStore {
  /** Name of the machine with a random part that changes when the database is lost. */
  readonly identity: string;
  /** Whether an earlier database of this folder was lost, in which case this machine must not found a group (docs/design.md §2.2). */
  readonly isReplacement: boolean;
  /** Why the existing database was set aside when the folder was opened; undefined if it was not. */
  readonly damage: string | undefined;
  #folder: string;
  #database: RootDatabase;
  #persisted: PersistedState;
  #queue: WriteQueue;
  /** Length in bytes to which the database file was last extended. */
  #reservedBytes = 0;

  private constructor(
    { folder, database, meta, persisted, damage }: OpenedFolder,
    listener: DiskListener,
  ) {
    this.#folder = folder;
    this.#database = database;
    this.identity = meta.identity;
    this.isReplacement = meta.isReplacement === true;
    this.damage = damage;
    this.#persisted = persisted;
    this.#queue = new WriteQueue(this, listener.changed.bind(listener));
  }

  /**
   * Opens a folder. Retries with an exponential delay while the disk refuses writes. A damaged database is set aside and replaced by an
   * empty one with a new identity.
   */
  static async open(
    folder: string,
    owner: DiskOwner,
    listener: DiskListener,
  ): Promise<Outcome<Disk>> {
    let retryDelayMs: number = constants.minDiskRetryMs;
    let failedReads = 0;
    for (;;) {
      const isUnreadable = failedReads >= constants.maxDatabaseReadAttempts;
      try {
        return await Disk.#tryOpen({ folder, isUnreadable }, owner, listener);
      } catch (error) {
        if (error instanceof DatabaseReadError) failedReads += 1;
        else if (!(error instanceof FolderNotWritableError))
          return outcome.failure(`${folder}: cannot be opened: ${(error as Error).message}`);
        listener.waiting(error.message);
      }
      await sleep(retryDelayMs);
      retryDelayMs = Math.min(retryDelayMs * 2, constants.maxDiskRetryMs);
    }
  }

  static async #tryOpen(
    { folder, isUnreadable }: { folder: string; isUnreadable: boolean },
    owner: DiskOwner,
    listener: DiskListener,
  ): Promise<Outcome<Disk>> {
    let opened: OpenedDatabase | undefined;
    try {
      let acquired = acquireFolder(folder, isUnreadable);
      if (!acquired.ok) return acquired;
      if (!acquired.value.isFresh) {
        const existing = await openExisting(folder);
        if (existing.ok) opened = existing.value;
        else acquired = retireUnreadable(folder, existing.reason);
      }
      if (!acquired.ok) return acquired;
      const { isReplacement, damage } = acquired.value;
      opened ??= await createDatabase(folder, newMetadata(owner, isReplacement));
      const refusal = refusalOf(opened.meta, owner);
      if (refusal !== undefined) {
        await opened.database.close();
        return outcome.failure(`${folder}: ${refusal}`);
      }
      markInitialized(folder);
      const disk = new Disk({ ...opened, folder, damage }, listener);
      await disk.#reserveSpace();
      return outcome.success(disk);
    } catch (error) {
      const cause = await causeOf(error as Error);
      await opened?.database.close().catch(ignore);
      if (cause instanceof DatabaseReadError) throw cause;
      if (isTransient(cause)) throw new FolderNotWritableError(cause.message);
      throw cause;
    }
  }

  /** Whether the disk accepts writes, judged by the most recent commits. */
  get condition(): DiskCondition {
    return this.#queue.condition;
  }

  /** Commits that became durable since the start. */
  get syncs(): number {
    return this.#queue.commits;
  }

  /** Must be called at each tick of the process. */
  tick(now: number): void {
    this.#queue.tick(now);
  }

  /** Persisted votes at the time the folder was opened. */
  votes(): VoteState | undefined {
    return this.#persisted.votes;
  }

  /** Names of the chains persisted at the time the folder was opened. */
  chains(): string[] {
    return [...this.#persisted.holdings.keys()];
  }

  /** Persisted state of a chain at the time the folder was opened. */
  holding(chain: string): PersistedChain | undefined {
    return this.#persisted.holdings.get(chain);
  }

  /** Releases the state that was read at opening; call it once the cores have loaded that state. */
  releasePersistedState(): void {
    this.#persisted = emptyState;
  }

  /** Queues a write of the votes; `done` runs once it is durable. */
  writeVotes(state: VoteState, done: () => void): void {
    const self = this;
    function apply(): void {
      void self.#database.put("votes", state);
    }
    this.#queue.add({ apply, done });
  }

  /** Queues a write to a chain; `done` runs once it is durable. */
  writeChain(chain: string, write: ChainWrite, done: () => void): void {
    const self = this;
    function apply(): void {
      applyChainWrite(self.#database, chain, write);
    }
    this.#queue.add({ apply, done });
  }

  /** Commits all jobs in one synced transaction. lmdb runs it in a thread of its own, so the event loop is not blocked. */
  async commit(jobs: readonly WriteJob[]): Promise<void> {
    function applyAll(): void {
      for (const job of jobs) job.apply();
    }
    try {
      await this.#database.transaction(applyAll);
      await this.#reserveSpace();
    } catch (error) {
      const cause = await causeOf(error as Error);
      if ((cause as { code?: unknown }).code === lmdbPanicCode) await this.#reopen();
      throw cause;
    }
  }

  /** After a failed write of a meta page lmdb refuses every operation until the environment is opened again. */
  async #reopen(): Promise<void> {
    await this.#database.close();
    this.#database = await openDatabase(this.#folder);
  }

  /**
   * Keeps the file longer than its last used page: lmdb does not write pages that one transaction allocated and freed again, and a file
   * that ends before them looks truncated.
   */
  async #reserveSpace(): Promise<void> {
    const { lastPageNumber, pageSize } = this.#database.getStats() as {
      lastPageNumber: number;
      pageSize: number;
    };
    const used = (lastPageNumber + 1) * pageSize;
    if (used + constants.diskPreallocationBytes / 2 <= this.#reservedBytes) return;
    const file = join(this.#folder, databaseFile);
    const length = Math.max(statSync(file).size, used + constants.diskPreallocationBytes);
    await truncateFile(file, length);
    this.#reservedBytes = length;
  }

  /** Stops all writes and releases the folder for other processes. */
  async close(): Promise<void> {
    this.#queue.close();
    // Closing lmdb waits for the commit in flight, which never ends on a stalled disk.
    if (this.condition === "writable") await this.#database.close();
    releaseFolder(this.#folder);
  }
}

function isTransient(error: Error): boolean {
  return transientErrorCodes.has((error as { code?: unknown }).code);
}

function sleep(milliseconds: number): Promise<void> {
  function begin(resolve: () => void): void {
    setTimeout(resolve, milliseconds);
  }
  return new Promise<void>(begin);
}
