import {
  closeSync,
  existsSync,
  fsyncSync,
  mkdirSync,
  openSync,
  readFileSync,
  readSync,
  readdirSync,
  renameSync,
  rmSync,
  statSync,
  writeFileSync,
  writeSync,
} from "node:fs";
import { dirname, join } from "node:path";
import { outcome, type Outcome } from "@chutewick/parts";

/** Files of a data folder: who uses it, whether its database is whole, and what becomes of a damaged one (docs/design.md §10.2). */

/** The database; lmdb's name for it. */
export const databaseFile = "data.mdb";
const lmdbLockFile = "lock.mdb";
/** Exists once the first transaction of the database is durable. */
const begunFile = "begun";
/** Process id and start of the holder. */
const holderFile = "process";
/** A database that was found damaged, kept for the operator. */
const damagedFile = "data.mdb.damaged";

/** Written and removed at each start, to find out whether the disk takes writes. */
const probeFile = "probe";
/** bytes. As much as lmdb writes when it opens a folder, where a refused write would end the process by a signal. */
const probeSize = 65_536;

const ownFiles: ReadonlySet<string> = new Set([
  databaseFile,
  lmdbLockFile,
  begunFile,
  holderFile,
  damagedFile,
  probeFile,
]);

/** bytes. Page of an lmdb file. */
const pageSize = 4_096;
/** Marks a head page of an lmdb file. */
const headMagic = 0xbeefc0de;
/** bytes. Offsets within a head page. */
const headStart = 24;
const lastPageOffset = 120;
const transactionOffset = 128;
/** bytes. Read at once when a file is looked through. */
const readChunk = 1_048_576;

/** A folder that was taken into use. */
export interface TakenFolder {
  /** Whether a database is to be made. */
  readonly isFresh: boolean;
  /** Whether a database of this product was durable here. */
  readonly hasBegun: boolean;
  /** Whether an earlier database of this folder is lost: what is made now must not found a group (§2.2). */
  readonly isReplacement: boolean;
  /** Why the earlier database was set aside. */
  readonly damage: string | undefined;
}

/** Makes and locks the folder, and sets a damaged database aside. Throws what the file system throws. */
export function takeFolder(folder: string): Outcome<TakenFolder> {
  mkdirSync(folder, { recursive: true });
  const foreign = readdirSync(folder).find(isForeign);
  if (foreign !== undefined)
    return outcome.bad(`${folder}: holds files that are not chutewick's, such as ${foreign}`);
  const holder = lock(folder);
  if (holder !== undefined) return outcome.bad(`${folder}: is in use by process ${holder}`);
  probe(join(folder, probeFile));
  const database = join(folder, databaseFile);
  const hasBegun = existsSync(join(folder, begunFile));
  const wasSetAside = existsSync(join(folder, damagedFile));
  if (!existsSync(database)) return outcome.good(fresh(hasBegun || wasSetAside));
  const damage = inspect(database);
  if (damage === undefined)
    return outcome.good({ isFresh: false, hasBegun, isReplacement: false, damage: undefined });
  if (hasBegun) {
    setAside(folder);
    return outcome.good({ ...fresh(true), damage });
  }
  /** Power went before the first transaction of this folder was durable: nothing was ever promised from it. */
  if (!isUnfinished(database)) return outcome.bad(`${database}: ${damage}`);
  rmSync(database);
  rmSync(join(folder, lmdbLockFile), { force: true });
  return outcome.good(fresh(wasSetAside));
}

function fresh(isReplacement: boolean): TakenFolder {
  return { isFresh: true, hasBegun: false, isReplacement, damage: undefined };
}

/**
 * Takes a damaged database out of use and keeps it for the operator, in place of one kept before. Each step is durable before the next,
 * so that after a loss of power between them the folder is either damaged as before or without a database.
 */
export function setAside(folder: string): void {
  renameSync(join(folder, databaseFile), join(folder, damagedFile));
  syncFolder(folder);
  rmSync(join(folder, lmdbLockFile), { force: true });
  rmSync(join(folder, begunFile), { force: true });
  syncFolder(folder);
}

/** Says that the folder's first transaction is durable, and so are the names of the folder and its files. */
export function markBegun(folder: string): void {
  const marker = join(folder, begunFile);
  if (existsSync(marker)) return;
  syncFolder(folder);
  syncFolder(dirname(folder));
  const descriptor = openSync(marker, "w");
  fsyncSync(descriptor);
  closeSync(descriptor);
  syncFolder(folder);
}

/** Lets another process take the folder. */
export function releaseFolder(folder: string): void {
  rmSync(join(folder, holderFile), { force: true });
}

/** A new file's name counts only once its folder is synced too. */
function syncFolder(folder: string): void {
  const descriptor = openSync(folder, "r");
  fsyncSync(descriptor);
  closeSync(descriptor);
}

function isForeign(file: string): boolean {
  return !ownFiles.has(file);
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

/** The process that holds the folder, or undefined where it is this one's now. */
function lock(folder: string): string | undefined {
  const file = join(folder, holderFile);
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

function probe(file: string): void {
  const descriptor = openSync(file, "w");
  try {
    writeSync(descriptor, Buffer.alloc(probeSize));
    fsyncSync(descriptor);
  } finally {
    closeSync(descriptor);
    rmSync(file);
  }
}

/** Whether no transaction of it was ever durable: shorter than its two heads, or they name no transaction with pages. */
function isUnfinished(file: string): boolean {
  return statSync(file).size < pageSize * 2 || lastPage(file) === undefined;
}

/** The last page of the newest transaction that the file's two heads tell of; undefined where neither is one. */
function lastPage(file: string): bigint | undefined {
  const bytes = Buffer.alloc(pageSize * 2);
  const descriptor = openSync(file, "r");
  try {
    readSync(descriptor, bytes, 0, bytes.length, 0);
  } finally {
    closeSync(descriptor);
  }
  let last: bigint | undefined;
  let newest = -1n;
  for (const page of [0, pageSize]) {
    const head = page + headStart;
    if (bytes.readUInt32LE(head) !== headMagic) continue;
    const transaction = bytes.readBigUInt64LE(head + transactionOffset);
    if (transaction <= newest) continue;
    newest = transaction;
    last = bytes.readBigUInt64LE(head + lastPageOffset);
  }
  return last;
}

/**
 * What is wrong with a database file, if anything. It is mapped into memory later, where a missing or unreadable page would end the
 * process by a signal, so it is measured and read through first.
 */
function inspect(file: string): string | undefined {
  const { size } = statSync(file);
  if (size < pageSize * 2) return "is cut off";
  try {
    const last = lastPage(file);
    if (last === undefined) return "is not an lmdb file";
    const used = (last + 1n) * BigInt(pageSize);
    if (BigInt(size) < used) return `is cut off: ${size} bytes, and page ${last} is used`;
    readThrough(file, Number(used));
    return undefined;
  } catch (error) {
    return `cannot be read: ${(error as Error).message}`;
  }
}

function readThrough(file: string, bytes: number): void {
  const descriptor = openSync(file, "r");
  try {
    const chunk = Buffer.alloc(Math.min(readChunk, bytes));
    for (let position = 0; position < bytes; position += chunk.length)
      readSync(descriptor, chunk, 0, chunk.length, position);
  } finally {
    closeSync(descriptor);
  }
}
