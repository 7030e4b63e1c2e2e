import { randomUUID } from "node:crypto";
import {
  closeSync,
  existsSync,
  fsyncSync,
  mkdirSync,
  openSync,
  readFileSync,
  readSync,
  readdirSync,
  rmSync,
  statSync,
  truncateSync,
  writeFileSync,
} from "node:fs";
import { dirname, join } from "node:path";
import {
  constants,
  outcome,
  type Change,
  type ChainHolding,
  type ChainState,
  type ChainWrite,
  type Entry,
  type Outcome,
  type VoteState,
} from "@chutewick/parts";
import { metrics } from "./metrics.js";
import type { RootDatabase } from "lmdb";

/** One data folder, one process; a write counts only once it is synced (docs/design.md §10.2). */
interface Meta {
  readonly product: string;
  readonly mark: number;
  readonly kind: string;
  readonly identity: string;
}

interface Job {
  readonly run: () => void;
  readonly done: () => void;
}

export class Disk {
  readonly identity: string;
  #folder: string;
  #base: RootDatabase;
  #jobs: Job[] = [];
  #busy = false;
  #failed: (error: Error) => void;
  /** bytes. Length that the file surely has. */
  #reserved = 0;
  syncs = 0;

  private constructor(
    folder: string,
    base: RootDatabase,
    identity: string,
    failed: (error: Error) => void,
  ) {
    this.#folder = folder;
    this.#base = base;
    this.identity = identity;
    this.#failed = failed;
  }

  static async open(
    folder: string,
    kind: string,
    name: string,
    failed: (error: Error) => void,
  ): Promise<Outcome<Disk>> {
    try {
      mkdirSync(folder, { recursive: true });
      const found = readdirSync(folder);
      const foreign = found.filter(isForeign);
      if (foreign.length > 0)
        return outcome.bad(
          `${folder}: holds files that are not chutewick's, such as ${foreign[0]}`,
        );
      const holder = lock(folder);
      if (holder !== undefined) return outcome.bad(`${folder}: is in use by process ${holder}`);
      const file = join(folder, "data.mdb");
      const marker = join(folder, "begun");
      let fresh = !existsSync(file);
      if (!fresh) {
        const damage = inspect(file);
        /** Power went before the first transaction of this folder was synced: nothing was ever promised from it. */
        if (damage !== undefined && existsSync(marker)) return outcome.bad(`${file}: ${damage}`);
        if (damage !== undefined && !isUnfinished(file)) return outcome.bad(`${file}: ${damage}`);
        if (damage !== undefined) {
          rmSync(file);
          rmSync(join(folder, "lock.mdb"), { force: true });
          fresh = true;
        }
      }
      /** Only processes with a folder load its native code. */
      const { open } = await import("lmdb");
      /** overlappingSync would resolve writes before they are synced. */
      const base = open({ path: folder, overlappingSync: false, compression: false, cache: false });
      let meta = base.get("meta") as Meta | undefined;
      if (meta === undefined) {
        if (!fresh) return outcome.bad(`${folder}: data.mdb is not chutewick's`);
        meta = {
          product: "chutewick",
          mark: constants.diskMark,
          kind,
          identity: `${name}-${randomUUID()}`,
        };
        await base.put("meta", meta);
        syncFolder(folder);
        syncFolder(dirname(folder));
      }
      if (!existsSync(marker)) mark(folder, marker);
      if (meta.product !== "chutewick") return outcome.bad(`${folder}: belongs to ${meta.product}`);
      if (meta.mark > constants.diskMark || meta.mark < constants.diskMarkOldest)
        return outcome.bad(
          `${folder}: has disk mark ${meta.mark}; this program knows ${constants.diskMark}`,
        );
      if (meta.kind !== kind)
        return outcome.bad(`${folder}: belongs to a ${meta.kind} machine, not to ${kind}`);
      const disk = new Disk(folder, base, meta.identity, failed);
      disk.#reserve();
      return outcome.good(disk);
    } catch (error) {
      return outcome.bad(`${folder}: cannot be opened: ${(error as Error).message}`);
    }
  }

  votes(): VoteState | undefined {
    return this.#base.get("votes") as VoteState | undefined;
  }

  chains(): string[] {
    const names: string[] = [];
    for (const { key } of this.#base.getRange({ start: ["state"], end: ["state", "\uffff"] }))
      names.push((key as string[])[1]!);
    return names;
  }

  holding(chain: string): ChainHolding | undefined {
    const state = this.#base.get(["state", chain]) as ChainState | undefined;
    if (state === undefined) return undefined;
    const records: Change[] = [];
    for (const { key, value } of this.#base.getRange({
      start: ["record", chain],
      end: ["record", chain, "\uffff"],
    }))
      records.push([(key as string[])[2]!, value]);
    const entries: Entry[] = [];
    for (const { value } of this.#base.getRange({
      start: ["entry", chain],
      end: ["entry", chain, Number.MAX_SAFE_INTEGER],
    }))
      entries.push(value as Entry);
    return { state, records, entries };
  }

  writeVotes(state: VoteState, done: () => void): void {
    const base = this.#base;
    function run(): void {
      base.put("votes", state);
    }
    this.#add({ run, done });
  }

  writeChain(chain: string, write: ChainWrite, done: () => void): void {
    const base = this.#base;
    function run(): void {
      if (write.clear) {
        for (const key of [
          ...base.getKeys({ start: ["record", chain], end: ["record", chain, "\uffff"] }),
        ])
          base.remove(key);
        for (const key of [
          ...base.getKeys({
            start: ["entry", chain],
            end: ["entry", chain, Number.MAX_SAFE_INTEGER],
          }),
        ])
          base.remove(key);
      }
      for (const [key, value] of write.changes) {
        if (value === undefined || value === null) base.remove(["record", chain, key]);
        else base.put(["record", chain, key], value);
      }
      for (const entry of write.entries) base.put(["entry", chain, entry.place], entry);
      for (const place of write.drop) base.remove(["entry", chain, place]);
      base.put(["state", chain], write.state);
    }
    this.#add({ run, done });
  }

  #add(job: Job): void {
    this.#jobs.push(job);
    if (!this.#busy) void this.#work();
  }

  /** What came while one transaction was being synced goes into the next as one. */
  async #work(): Promise<void> {
    this.#busy = true;
    while (this.#jobs.length > 0) {
      const jobs = this.#jobs;
      this.#jobs = [];
      const start = performance.now();
      function all(): void {
        for (const job of jobs) job.run();
      }
      try {
        await this.#base.transaction(all);
      } catch (error) {
        this.#failed(error as Error);
        return;
      }
      this.syncs += 1;
      this.#reserve();
      metrics.synced(performance.now() - start);
      for (const job of jobs) job.done();
    }
    this.#busy = false;
  }

  /**
   * Keeps the file longer than its last page: lmdb does not write pages that a transaction took and gave back, and a file that ends
   * before them looks cut off (§10.2).
   */
  #reserve(): void {
    const { lastPageNumber, pageSize } = this.#base.getStats() as {
      lastPageNumber: number;
      pageSize: number;
    };
    const used = (lastPageNumber + 1) * pageSize;
    if (used + constants.diskAhead / 2 <= this.#reserved) return;
    const file = join(this.#folder, "data.mdb");
    this.#reserved = Math.max(statSync(file).size, used + constants.diskAhead);
    truncateSync(file, this.#reserved);
  }

  async close(): Promise<void> {
    await this.#base.close();
    rmSync(join(this.#folder, "process"), { force: true });
  }
}

/** A new file's name counts only once its folder is synced too. */
function syncFolder(folder: string): void {
  const descriptor = openSync(folder, "r");
  fsyncSync(descriptor);
  closeSync(descriptor);
}

/** Says that the folder's first transaction is synced. */
function mark(folder: string, marker: string): void {
  const descriptor = openSync(marker, "w");
  fsyncSync(descriptor);
  closeSync(descriptor);
  syncFolder(folder);
}

/** Whether no transaction of it was ever synced: shorter than its two heads, or they name no transaction with pages. */
function isUnfinished(file: string): boolean {
  return statSync(file).size < pageSize * 2 || newest(file) === undefined;
}

function isForeign(file: string): boolean {
  return file !== "begun" && file !== "data.mdb" && file !== "lock.mdb" && file !== "process";
}

/** Start of a process in clock ticks, so that a number used again is not taken for the old holder. */
function startOf(process: number | "self"): string | undefined {
  try {
    const line = readFileSync(`/proc/${process}/stat`, "utf8");
    return line.slice(line.lastIndexOf(")") + 2).split(" ")[19];
  } catch {
    return undefined;
  }
}

function lock(folder: string): string | undefined {
  const file = join(folder, "process");
  if (existsSync(file)) {
    const [holder, start] = readFileSync(file, "utf8").split(" ");
    if (
      holder !== undefined &&
      start !== undefined &&
      Number(holder) !== process.pid &&
      startOf(Number(holder)) === start
    )
      return holder;
  }
  writeFileSync(file, `${process.pid} ${startOf("self") ?? "0"}`);
  return undefined;
}

const pageSize = 4_096;
const magic = 0xbeefc0de;

/** The last page of the newest transaction that the file's two heads tell of; undefined where neither is one. */
function newest(file: string): bigint | undefined {
  const bytes = Buffer.alloc(pageSize * 2);
  const descriptor = openSync(file, "r");
  readSync(descriptor, bytes, 0, bytes.length, 0);
  closeSync(descriptor);
  let last: bigint | undefined;
  let transaction = -1n;
  for (const start of [0, pageSize]) {
    const at = start + 24;
    if (bytes.readUInt32LE(at) !== magic) continue;
    const found = bytes.readBigUInt64LE(at + 128);
    if (found <= transaction) continue;
    transaction = found;
    last = bytes.readBigUInt64LE(at + 120);
  }
  return last;
}

/** A truncated file would end the process by a signal when its map is read, so it is measured first (§10.2). */
function inspect(file: string): string | undefined {
  const size = statSync(file).size;
  if (size < pageSize * 2) return "is cut off";
  const last = newest(file);
  if (last === undefined) return "is not an lmdb file";
  return BigInt(size) < (last + 1n) * BigInt(pageSize)
    ? `is cut off: ${size} bytes, and page ${last} is used`
    : undefined;
}
