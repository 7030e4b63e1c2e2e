import { randomUUID } from "node:crypto";
import { statSync, truncate } from "node:fs";
import { join } from "node:path";
import { promisify } from "node:util";
import {
  constants,
  outcome,
  type Change,
  type ChainHolding,
  type ChainState,
  type ChainWrite,
  type DiskCondition,
  type Entry,
  type Outcome,
  type VoteState,
} from "@chutewick/parts";
import {
  databaseFile,
  markBegun,
  releaseFolder,
  setAside,
  takeFolder,
  type TakenFolder,
} from "./data-folder.js";
import { WriteQueue, type JobStore, type WriteJob } from "./write-queue.js";
import type { RootDatabase } from "lmdb";

/** First record of a data folder. */
interface Meta {
  readonly product: string;
  readonly mark: number;
  readonly kind: string;
  readonly identity: string;
  /** Set where an earlier database of this folder was lost. */
  readonly isReplacement?: boolean;
}

/** Whose folder it is. */
export interface DiskOwner {
  /** Kind of machine: control or storage. */
  readonly kind: string;
  /** Name in the deployment. */
  readonly name: string;
}

/** What is told of a disk. */
export interface DiskListener {
  /** The disk's condition changed; with the error of the last failed commit. */
  changed(condition: DiskCondition, error: Error | undefined): void;
  /** An attempt to open the folder failed, and another one follows. */
  waiting(reason: string): void;
}

/** What the folder held when it was opened. */
interface Found {
  readonly votes: VoteState | undefined;
  readonly holdings: ReadonlyMap<string, ChainHolding>;
}

interface OpenedFolder {
  readonly folder: string;
  readonly base: RootDatabase;
  readonly meta: Meta;
  readonly found: Found;
  readonly damage: string | undefined;
}

const truncateFile = promisify(truncate);

/** lmdb's code for an environment that can no longer be used, as after a failed write of its head page. */
const lmdbPanic = -30_795;

/** Codes of errors that pass once the disk has room or answers again: of the file system by name, of lmdb by number. */
const passingCodes: ReadonlySet<unknown> = new Set([
  "ENOSPC",
  "EDQUOT",
  "EFBIG",
  "EIO",
  28,
  122,
  27,
  5,
  lmdbPanic,
]);

/** Thrown where a data folder cannot be written now, but may be later. */
class FolderUnwritable extends Error {}

/** One data folder, one process; a write counts only once it is synced (docs/design.md §10.2). */
export class Disk implements JobStore {
  readonly identity: string;
  /** Whether an earlier database of this folder was lost, so that this machine must not found a group (§2.2). */
  readonly isReplacement: boolean;
  /** Why the database found here was set aside when the folder was opened. */
  readonly damage: string | undefined;
  #folder: string;
  #base: RootDatabase;
  #found: Found;
  #queue: WriteQueue;
  /** bytes. Length that the file surely has. */
  #reserved = 0;

  private constructor({ folder, base, meta, found, damage }: OpenedFolder, listener: DiskListener) {
    this.#folder = folder;
    this.#base = base;
    this.identity = meta.identity;
    this.isReplacement = meta.isReplacement === true;
    this.damage = damage;
    this.#found = found;
    this.#queue = new WriteQueue(this, listener.changed.bind(listener));
  }

  /**
   * Opens a folder, and waits with a growing pause while its disk takes no writes. A damaged database is set aside and a blank one with
   * a new identity made.
   */
  static async open(
    folder: string,
    owner: DiskOwner,
    listener: DiskListener,
  ): Promise<Outcome<Disk>> {
    let pause: number = constants.diskRetryLeast;
    for (;;) {
      try {
        return await Disk.#tryOpen(folder, owner, listener);
      } catch (error) {
        if (!(error instanceof FolderUnwritable))
          return outcome.bad(`${folder}: cannot be opened: ${(error as Error).message}`);
        listener.waiting(error.message);
      }
      await elapsed(pause);
      pause = Math.min(pause * 2, constants.diskRetryMost);
    }
  }

  static async #tryOpen(
    folder: string,
    owner: DiskOwner,
    listener: DiskListener,
  ): Promise<Outcome<Disk>> {
    let base: RootDatabase | undefined;
    try {
      let taken = takeFolder(folder);
      if (!taken.ok) return taken;
      let damage = taken.value.damage;
      base = await openBase(folder);
      let found = readAll(base);
      if (typeof found === "string") {
        if (!taken.value.hasBegun) return outcome.bad(`${folder}: ${found}`);
        damage = found;
        await base.close();
        setAside(folder);
        taken = takeFolder(folder);
        if (!taken.ok) return taken;
        base = await openBase(folder);
        found = nothingFound;
      }
      const meta = await metaOf(base, folder, owner, taken.value);
      if (!meta.ok) {
        await base.close();
        return meta;
      }
      const disk = new Disk({ folder, base, meta: meta.value, found, damage }, listener);
      await disk.#reserve();
      return outcome.good(disk);
    } catch (error) {
      const cause = await causeOf(error as Error);
      await base?.close().catch(ignore);
      if (isPassing(cause)) throw new FolderUnwritable(cause.message);
      throw cause;
    }
  }

  get condition(): DiskCondition {
    return this.#queue.condition;
  }

  get syncs(): number {
    return this.#queue.commits;
  }

  /** To be called with each beat of the process. */
  beat(now: number): void {
    this.#queue.beat(now);
  }

  /** Votes that were held when the folder was opened. */
  votes(): VoteState | undefined {
    return this.#found.votes;
  }

  /** Names of the chains that were held when the folder was opened. */
  chains(): string[] {
    return [...this.#found.holdings.keys()];
  }

  /** What was held of a chain when the folder was opened. */
  holding(chain: string): ChainHolding | undefined {
    return this.#found.holdings.get(chain);
  }

  /** Drops what was read at opening, once the cores have taken it. */
  forgetFound(): void {
    this.#found = nothingFound;
  }

  writeVotes(state: VoteState, done: () => void): void {
    const self = this;
    function apply(): void {
      self.#base.put("votes", state);
    }
    this.#queue.add({ apply, done });
  }

  writeChain(chain: string, write: ChainWrite, done: () => void): void {
    const self = this;
    function apply(): void {
      applyChain(self.#base, chain, write);
    }
    this.#queue.add({ apply, done });
  }

  /** One synced transaction in a thread of its own; this process's loop goes on meanwhile. */
  async commit(jobs: readonly WriteJob[]): Promise<void> {
    function all(): void {
      for (const job of jobs) job.apply();
    }
    try {
      await this.#base.transaction(all);
      await this.#reserve();
    } catch (error) {
      const cause = await causeOf(error as Error);
      if ((cause as { code?: unknown }).code === lmdbPanic) await this.#reopen();
      throw cause;
    }
  }

  /** After a failed write of a head page lmdb refuses everything until it is opened anew. */
  async #reopen(): Promise<void> {
    await this.#base.close();
    this.#base = await openBase(this.#folder);
  }

  /**
   * Keeps the file longer than its last page: lmdb does not write pages that a transaction took and gave back, and a file that ends
   * before them looks cut off.
   */
  async #reserve(): Promise<void> {
    const { lastPageNumber, pageSize } = this.#base.getStats() as {
      lastPageNumber: number;
      pageSize: number;
    };
    const used = (lastPageNumber + 1) * pageSize;
    if (used + constants.diskAhead / 2 <= this.#reserved) return;
    const file = join(this.#folder, databaseFile);
    const length = Math.max(statSync(file).size, used + constants.diskAhead);
    await truncateFile(file, length);
    this.#reserved = length;
  }

  async close(): Promise<void> {
    this.#queue.close();
    /** Closing waits for the commit in flight, which a stalled disk does not end. */
    if (this.condition === "writable") await this.#base.close();
    releaseFolder(this.#folder);
  }
}

const nothingFound: Found = { votes: undefined, holdings: new Map() };

/** Only processes with a folder load lmdb's native code. */
async function openBase(folder: string): Promise<RootDatabase> {
  const { open } = await import("lmdb");
  return open({
    path: folder,
    /** It would resolve writes before they are synced. */
    overlappingSync: false,
    /** Its promises cannot be reached, and one that is rejected by a failed commit would end the process. */
    eventTurnBatching: false,
    compression: false,
    cache: false,
  });
}

async function metaOf(
  base: RootDatabase,
  folder: string,
  { kind, name }: DiskOwner,
  taken: TakenFolder,
): Promise<Outcome<Meta>> {
  let meta = base.get("meta") as Meta | undefined;
  if (meta === undefined) {
    if (!taken.isFresh) return outcome.bad(`${folder}: ${databaseFile} is not chutewick's`);
    meta = {
      product: "chutewick",
      mark: constants.diskMark,
      kind,
      identity: `${name}-${randomUUID()}`,
      ...(taken.isReplacement ? { isReplacement: true } : {}),
    };
    await base.put("meta", meta);
  }
  markBegun(folder);
  if (meta.product !== "chutewick") return outcome.bad(`${folder}: belongs to ${meta.product}`);
  if (meta.mark > constants.diskMark || meta.mark < constants.diskMarkOldest)
    return outcome.bad(
      `${folder}: has disk mark ${meta.mark}; this program knows ${constants.diskMark}`,
    );
  if (meta.kind !== kind)
    return outcome.bad(`${folder}: belongs to a ${meta.kind} machine, not to ${kind}`);
  return outcome.good(meta);
}

/** All that the folder holds, or what is wrong with it where it cannot be read. */
function readAll(base: RootDatabase): Found | string {
  try {
    const holdings = new Map<string, ChainHolding>();
    for (const { key, value } of base.getRange({ start: ["state"], end: ["state", "\uffff"] })) {
      const chain = (key as string[])[1]!;
      holdings.set(chain, holdingOf(base, chain, value as ChainState));
    }
    return { votes: base.get("votes") as VoteState | undefined, holdings };
  } catch (error) {
    return `cannot be read: ${(error as Error).message}`;
  }
}

function holdingOf(base: RootDatabase, chain: string, state: ChainState): ChainHolding {
  const records: Change[] = [];
  for (const { key, value } of base.getRange(recordsOf(chain)))
    records.push([(key as string[])[2]!, value]);
  const entries: Entry[] = [];
  for (const { value } of base.getRange(entriesOf(chain))) entries.push(value as Entry);
  return { state, records, entries };
}

function recordsOf(chain: string): { start: string[]; end: string[] } {
  return { start: ["record", chain], end: ["record", chain, "\uffff"] };
}

function entriesOf(chain: string): { start: string[]; end: (string | number)[] } {
  return { start: ["entry", chain], end: ["entry", chain, Number.MAX_SAFE_INTEGER] };
}

/** Within a transaction. Sets and removes by key only, so that the same write can be applied again after a failed commit. */
function applyChain(base: RootDatabase, chain: string, write: ChainWrite): void {
  if (write.clear) {
    for (const key of [...base.getKeys(recordsOf(chain))]) base.remove(key);
    for (const key of [...base.getKeys(entriesOf(chain))]) base.remove(key);
  }
  for (const [key, value] of write.changes) {
    if (value === undefined || value === null) base.remove(["record", chain, key]);
    else base.put(["record", chain, key], value);
  }
  for (const entry of write.entries) base.put(["entry", chain, entry.place], entry);
  for (const place of write.drop) base.remove(["entry", chain, place]);
  base.put(["state", chain], write.state);
}

/** lmdb tells the reason of a failed commit in a promise of its own, which must be taken or it ends the process. */
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

function isPassing(error: Error): boolean {
  return passingCodes.has((error as { code?: unknown }).code);
}

function elapsed(milliseconds: number): Promise<void> {
  function begin(resolve: () => void): void {
    setTimeout(resolve, milliseconds);
  }
  return new Promise<void>(begin);
}

function ignore(): void {
  // Nothing is to be done.
}
