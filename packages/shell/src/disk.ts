/** The data folder of one process: a synced lmdb database of votes, chain states, records and log entries (docs/design.md §10.2). */
import { randomUUID } from "node:crypto";
import { statSync, truncate } from "node:fs";
import { join } from "node:path";
import { promisify } from "node:util";
import {
  constants,
  outcome,
  type Change,
  type PersistedChain,
  type ChainState,
  type ChainWrite,
  type DiskCondition,
  type LogEntry,
  type Outcome,
  type VoteState,
} from "@chutewick/parts";
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

/** Record that identifies a data folder; it is written first. */
interface FolderMetadata {
  readonly product: string;
  /** Format version of the folder. */
  readonly mark: number;
  /** Kind of machine that owns the folder: control or storage. */
  readonly kind: string;
  readonly identity: string;
  /** Whether an earlier database of this folder was lost. */
  readonly isReplacement?: boolean;
}

/** The machine that owns a data folder. */
export interface DiskOwner {
  /** Kind of machine: control or storage. */
  readonly kind: string;
  /** Name in the deployment. */
  readonly name: string;
}

/** Receives the events of a disk. */
export interface DiskListener {
  /** The condition of the disk changed; `error` is that of the last failed commit. */
  changed(condition: DiskCondition, error: Error | undefined): void;
  /** An attempt to open the folder failed and will be repeated. */
  waiting(reason: string): void;
}

/** State in the folder at the time it was opened. */
interface PersistedState {
  readonly votes: VoteState | undefined;
  readonly holdings: ReadonlyMap<string, PersistedChain>;
}

/** What an initialized database contains. */
interface DatabaseContents {
  readonly meta: FolderMetadata;
  readonly persisted: PersistedState;
}

/** An open database with its contents. */
interface OpenedDatabase extends DatabaseContents {
  readonly database: RootDatabase;
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
      self.#database.put("votes", state);
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

const metadataKey = "meta";

const emptyState: PersistedState = { votes: undefined, holdings: new Map() };

/** Imports lmdb only here, so that processes without a data folder do not load its native code. */
async function openDatabase(folder: string): Promise<RootDatabase> {
  const { open } = await import("lmdb");
  return open({
    path: folder,
    // With overlapping syncs, the promise of a write would resolve before the write is synced to disk.
    overlappingSync: false,
    // The promises of batched turns are not accessible, and an unhandled rejection after a failed commit would end the process.
    eventTurnBatching: false,
    compression: false,
    cache: false,
  });
}

/** Opens and reads an existing database. The outcome is bad if its contents cannot be read; other errors are thrown. */
async function openExisting(folder: string): Promise<Outcome<OpenedDatabase>> {
  let database: RootDatabase | undefined;
  try {
    database = await openDatabase(folder);
    return outcome.success({ ...readAll(database), database });
  } catch (error) {
    await database?.close().catch(ignore);
    if (isSystemError(error as Error)) throw error;
    return outcome.failure((error as Error).message);
  }
}

/** Creates a database whose first transaction, which makes the folder this machine's, is durable. */
async function createDatabase(folder: string, meta: FolderMetadata): Promise<OpenedDatabase> {
  const database = await openDatabase(folder);
  try {
    await database.put(metadataKey, meta);
  } catch (error) {
    const cause = await causeOf(error as Error);
    await database.close().catch(ignore);
    throw cause;
  }
  return { database, meta, persisted: emptyState };
}

/** Metadata of a new database, with a new identity. */
function newMetadata({ kind, name }: DiskOwner, isReplacement: boolean): FolderMetadata {
  return {
    product: "chutewick",
    mark: constants.diskFormatVersion,
    kind,
    identity: `${name}-${randomUUID()}`,
    ...(isReplacement ? { isReplacement: true } : {}),
  };
}

/** Why a machine must not use a folder with this metadata; undefined if it may. */
function refusalOf({ product, mark, kind }: FolderMetadata, owner: DiskOwner): string | undefined {
  if (product !== "chutewick") return `belongs to ${product}`;
  if (mark > constants.diskFormatVersion || mark < constants.oldestDiskFormatVersion)
    return `has disk mark ${mark}; this program knows ${constants.diskFormatVersion}`;
  return kind === owner.kind ? undefined : `belongs to a ${kind} machine, not to ${owner.kind}`;
}

/** Reads the contents of a database; throws if they cannot be read. */
function readAll(database: RootDatabase): DatabaseContents {
  const meta = database.get(metadataKey) as FolderMetadata | undefined;
  if (meta === undefined) throw new Error("has no metadata record: is not chutewick's");
  const holdings = new Map<string, PersistedChain>();
  for (const { key, value } of database.getRange({ start: ["state"], end: ["state", "\uffff"] })) {
    const chain = (key as string[])[1]!;
    holdings.set(chain, readHolding(database, chain, value as ChainState));
  }
  const votes = database.get("votes") as VoteState | undefined;
  return { meta, persisted: { votes, holdings } };
}

function readHolding(database: RootDatabase, chain: string, state: ChainState): PersistedChain {
  const records: Change[] = [];
  for (const { key, value } of database.getRange(recordKeyRange(chain)))
    records.push([(key as string[])[2]!, value]);
  const entries: LogEntry[] = [];
  for (const { value } of database.getRange(entryKeyRange(chain))) entries.push(value as LogEntry);
  return { state, records, entries };
}

function recordKeyRange(chain: string): { start: string[]; end: string[] } {
  return { start: ["record", chain], end: ["record", chain, "\uffff"] };
}

function entryKeyRange(chain: string): { start: string[]; end: (string | number)[] } {
  return { start: ["entry", chain], end: ["entry", chain, Number.MAX_SAFE_INTEGER] };
}

/** Must run inside a transaction. Only puts and removes keys, so the same write can be applied again after a failed commit. */
function applyChainWrite(database: RootDatabase, chain: string, write: ChainWrite): void {
  if (write.clear) {
    for (const key of [...database.getKeys(recordKeyRange(chain))]) database.remove(key);
    for (const key of [...database.getKeys(entryKeyRange(chain))]) database.remove(key);
  }
  for (const [key, value] of write.changes) {
    if (value === undefined || value === null) database.remove(["record", chain, key]);
    else database.put(["record", chain, key], value);
  }
  for (const entry of write.entries) database.put(["entry", chain, entry.place], entry);
  for (const place of write.drop) database.remove(["entry", chain, place]);
  database.put(["state", chain], write.state);
}

/** lmdb reports the cause of a failed commit in a separate promise; if its rejection is not handled, the process ends. */
async function causeOf(error: Error): Promise<Error> {
  const { commitError } = error as { commitError?: Promise<unknown> };
  if (commitError === undefined) return error;
  try {
    await commitError;
  } catch (cause) {
    return cause as Error;
  }
  return error;
}

/** Whether an error comes from the operating system, such as a lack of memory, and says nothing about the contents of the database. */
function isSystemError(error: Error): boolean {
  const { errno, code } = error as { errno?: unknown; code?: unknown };
  return typeof errno === "number" || (typeof code === "number" && code > 0);
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

function ignore(): void {
  // The error that made the caller close the database is reported instead.
}
