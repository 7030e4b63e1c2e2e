/** Files of a data folder: its lock, its database, and the handling of a damaged database (docs/design.md §10.2). */
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

/** Name that lmdb gives to its database file. */
export const databaseFile = "data.mdb";
const lmdbLockFile = "lock.mdb";
/** Marker that exists once the first transaction of the database is durable. */
const initializedMarkerFile = "begun";
/** Lock file with the process id and the start time of its owner. */
const ownerFile = "process";
/** A damaged database that was set aside for the operator. */
const damagedFile = "data.mdb.damaged";

/** Written and removed at each start to check that the disk accepts writes. */
const probeFile = "probe";
/** As many bytes as lmdb writes when it opens a folder: a write that fails there would end the process with a signal. */
const probeBytes = 65_536;

const ownFiles: ReadonlySet<string> = new Set([
  databaseFile,
  lmdbLockFile,
  initializedMarkerFile,
  ownerFile,
  damagedFile,
  probeFile,
]);

/** Bytes of one page of an lmdb file. */
const pageSize = 4_096;
/** Magic number of the two meta pages at the start of an lmdb file. */
const metaPageMagic = 0xbeefc0de;
/** Byte offset of the magic number in a meta page; the next two offsets count from it. */
const magicOffset = 24;
const lastPageOffset = 120;
const transactionOffset = 128;
/** Bytes per read when a whole file is checked. */
const readChunkBytes = 1_048_576;

/** A data folder that this process has locked. */
export interface AcquiredFolder {
  /** Whether a new database must be created. */
  readonly isFresh: boolean;
  /** Whether a database of this product has ever been durable in this folder. */
  readonly wasInitialized: boolean;
  /** Whether an earlier database of this folder was lost; a machine with its replacement must not found a group (docs/design.md §2.2). */
  readonly isReplacement: boolean;
  /** Why the earlier database was set aside; undefined if it was not. */
  readonly damage: string | undefined;
}

/** Creates and locks the folder, and sets a damaged database aside. Errors of the file system are thrown unchanged. */
export function acquireFolder(folder: string): Outcome<AcquiredFolder> {
  mkdirSync(folder, { recursive: true });
  const foreign = readdirSync(folder).find(isForeign);
  if (foreign !== undefined)
    return outcome.failure(`${folder}: holds files that are not chutewick's, such as ${foreign}`);
  const holder = lock(folder);
  if (holder !== undefined) return outcome.failure(`${folder}: is in use by process ${holder}`);
  probeWrite(join(folder, probeFile));
  const database = join(folder, databaseFile);
  const wasInitialized = existsSync(join(folder, initializedMarkerFile));
  const hasQuarantined = existsSync(join(folder, damagedFile));
  if (!existsSync(database)) return outcome.success(newDatabase(wasInitialized || hasQuarantined));
  const damage = findDamage(database);
  if (damage === undefined)
    return outcome.success({
      isFresh: false,
      wasInitialized,
      isReplacement: false,
      damage: undefined,
    });
  if (wasInitialized) {
    quarantineDatabase(folder);
    return outcome.success({ ...newDatabase(true), damage });
  }
  // Power was lost before the first transaction of this folder was durable, so nothing in it was ever acknowledged.
  if (!hasNoTransaction(database)) return outcome.failure(`${database}: ${damage}`);
  rmSync(database);
  rmSync(join(folder, lmdbLockFile), { force: true });
  return outcome.success(newDatabase(hasQuarantined));
}

/** Outcome for a folder in which a new database must be created. */
function newDatabase(isReplacement: boolean): AcquiredFolder {
  return { isFresh: true, wasInitialized: false, isReplacement, damage: undefined };
}

/**
 * Sets a damaged database aside for the operator, replacing an earlier one. Each step is durable before the next begins, so after a
 * power loss in between the folder holds either the damaged database or none.
 */
export function quarantineDatabase(folder: string): void {
  renameSync(join(folder, databaseFile), join(folder, damagedFile));
  syncFolder(folder);
  rmSync(join(folder, lmdbLockFile), { force: true });
  rmSync(join(folder, initializedMarkerFile), { force: true });
  syncFolder(folder);
}

/** Records that the first transaction is durable, after syncing the directory entries of the folder and its files. */
export function markInitialized(folder: string): void {
  const marker = join(folder, initializedMarkerFile);
  if (existsSync(marker)) return;
  syncFolder(folder);
  syncFolder(dirname(folder));
  const descriptor = openSync(marker, "w");
  fsyncSync(descriptor);
  closeSync(descriptor);
  syncFolder(folder);
}

/** Removes the lock, so that another process can use the folder. */
export function releaseFolder(folder: string): void {
  rmSync(join(folder, ownerFile), { force: true });
}

/** Syncs a folder: the directory entry of a new file is durable only after that. */
function syncFolder(folder: string): void {
  const descriptor = openSync(folder, "r");
  fsyncSync(descriptor);
  closeSync(descriptor);
}

function isForeign(file: string): boolean {
  return !ownFiles.has(file);
}

/** Start time of a process in clock ticks, which tells a reused process id from the earlier process; undefined if there is none. */
function processStartTicks(process: number | "self"): string | undefined {
  try {
    const line = readFileSync(`/proc/${process}/stat`, "utf8");
    return line.slice(line.lastIndexOf(")") + 2).split(" ")[19];
  } catch {
    return undefined;
  }
}

/** Locks the folder for this process and returns undefined, or returns the id of the running process that has locked it. */
function lock(folder: string): string | undefined {
  const file = join(folder, ownerFile);
  if (existsSync(file)) {
    const [holder, start] = readFileSync(file, "utf8").split(" ");
    if (
      holder !== undefined &&
      start !== undefined &&
      Number(holder) !== process.pid &&
      processStartTicks(Number(holder)) === start
    )
      return holder;
  }
  writeFileSync(file, `${process.pid} ${processStartTicks("self") ?? "0"}`);
  return undefined;
}

/** Writes, syncs and removes a file, to check that the disk accepts writes. */
function probeWrite(file: string): void {
  const descriptor = openSync(file, "w");
  try {
    writeSync(descriptor, Buffer.alloc(probeBytes));
    fsyncSync(descriptor);
  } finally {
    closeSync(descriptor);
    rmSync(file);
  }
}

/** Whether the file has no durable transaction: it is shorter than its two meta pages, or neither of them is valid. */
function hasNoTransaction(file: string): boolean {
  return statSync(file).size < pageSize * 2 || readLastPage(file) === undefined;
}

/** The last used page of the newest transaction, from the two meta pages of the file; undefined if neither is valid. */
function readLastPage(file: string): bigint | undefined {
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
    const magic = page + magicOffset;
    if (bytes.readUInt32LE(magic) !== metaPageMagic) continue;
    const transaction = bytes.readBigUInt64LE(magic + transactionOffset);
    if (transaction <= newest) continue;
    newest = transaction;
    last = bytes.readBigUInt64LE(magic + lastPageOffset);
  }
  return last;
}

/**
 * Describes the damage of a database file; undefined if there is none. The file is mapped into memory later, where a missing or
 * unreadable page would end the process with a signal, so its length is checked and its pages are read first.
 */
function findDamage(file: string): string | undefined {
  const { size } = statSync(file);
  if (size < pageSize * 2) return "is cut off";
  try {
    const last = readLastPage(file);
    if (last === undefined) return "is not an lmdb file";
    const used = (last + 1n) * BigInt(pageSize);
    if (BigInt(size) < used) return `is cut off: ${size} bytes, and page ${last} is used`;
    readEveryByte(file, Number(used));
    return undefined;
  } catch (error) {
    return `cannot be read: ${(error as Error).message}`;
  }
}

/** Reads the first `bytes` bytes of a file; throws if any of them cannot be read. */
function readEveryByte(file: string, bytes: number): void {
  const descriptor = openSync(file, "r");
  try {
    const chunk = Buffer.alloc(Math.min(readChunkBytes, bytes));
    for (let position = 0; position < bytes; position += chunk.length)
      readSync(descriptor, chunk, 0, chunk.length, position);
  } finally {
    closeSync(descriptor);
  }
}
