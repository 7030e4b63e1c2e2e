/**
 * Files of a data folder: its database, and what tells which databases it held before (docs/design.md §10.2).
 *
 * A database belongs to this product once its first transaction, which writes the metadata record, is durable. Nothing is promised before
 * that, so a database without a transaction is discarded. The marker and the damaged database outlive the database: while one of
 * them is there, a new database is a replacement.
 */
import {
  closeSync,
  existsSync,
  fsyncSync,
  mkdirSync,
  openSync,
  readdirSync,
  renameSync,
  rmSync,
  writeSync,
} from "node:fs";
import { dirname, join } from "node:path";
import { outcome, type Outcome } from "@chutewick/parts";
import { inspectDatabaseFile, type DatabaseFileCondition } from "./database-file.js";
import { lockFolder } from "./folder-lock.js";

/** Name that lmdb gives to its database file. */
export const databaseFile = "data.mdb";
const lmdbLockFile = "lock.mdb";
/** Marker that exists once the first transaction of a database is durable. */
const initializedMarkerFile = "begun";
/** Lock file that names the process that uses the folder. */
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

const unreadableDatabase: DatabaseFileCondition = {
  hasContent: true,
  hasTransaction: true,
  damage: "cannot be read",
};

/** A data folder that this process has locked. */
export interface AcquiredFolder {
  /** Whether a new database must be created. */
  readonly isFresh: boolean;
  /** Whether an earlier database of this folder was lost; a machine with its replacement must not found a group (docs/design.md §2.2). */
  readonly isReplacement: boolean;
  /** Why the earlier database can no longer be used; undefined if it can, or if there was none. */
  readonly damage: string | undefined;
}

/**
 * Creates and locks the folder, and makes room for a new database where the present one cannot be used. Errors of the file system are
 * thrown unchanged, and so is a DatabaseReadError unless `isUnreadable` says that the database has failed to be read often enough.
 */
export function acquireFolder(folder: string, isUnreadable: boolean): Outcome<AcquiredFolder> {
  mkdirSync(folder, { recursive: true });
  const foreign = readdirSync(folder).find(isForeign);
  if (foreign !== undefined)
    return outcome.failure(`${folder}: holds files that are not chutewick's, such as ${foreign}`);
  const holder = lockFolder(join(folder, ownerFile));
  if (holder !== undefined) return outcome.failure(`${folder}: is in use by process ${holder}`);
  probeWrite(join(folder, probeFile));
  const database = join(folder, databaseFile);
  if (!existsSync(database)) return outcome.success(prepareNewDatabase(folder, undefined));
  const condition = isUnreadable ? unreadableDatabase : inspectDatabaseFile(database);
  if (condition.damage === undefined && condition.hasTransaction)
    return outcome.success({ isFresh: false, isReplacement: false, damage: undefined });
  return retireInspected(folder, condition);
}

/**
 * Makes room for a new database after lmdb could not read the present one: it is set aside if it was in use, and discarded if it never
 * was. Fails if nothing shows that the database is this product's.
 */
export function retireUnreadable(folder: string, damage: string): Outcome<AcquiredFolder> {
  return retireInspected(folder, { ...unreadableDatabase, damage });
}

function retireInspected(
  folder: string,
  { hasContent, hasTransaction, damage = "holds no transaction" }: DatabaseFileCondition,
): Outcome<AcquiredFolder> {
  if (existsSync(join(folder, initializedMarkerFile))) {
    if (hasContent) quarantineDatabase(folder);
    else discardDatabase(folder);
    return outcome.success(prepareNewDatabase(folder, damage));
  }
  // Without the marker it was never in use. Beside a database that was set aside it is the replacement of that one.
  if (hasTransaction && !existsSync(join(folder, damagedFile)))
    return outcome.failure(`${join(folder, databaseFile)}: ${damage}`);
  discardDatabase(folder);
  return outcome.success(prepareNewDatabase(folder, undefined));
}

/**
 * Prepares a folder without a database. Beside a database that was set aside the marker is of no more use, and it would make the
 * beginnings of the next database replace the one set aside if this start is cut short.
 */
function prepareNewDatabase(folder: string, damage: string | undefined): AcquiredFolder {
  const hasQuarantined = existsSync(join(folder, damagedFile));
  const wasInitialized = existsSync(join(folder, initializedMarkerFile));
  if (hasQuarantined && wasInitialized) removeMarker(folder);
  return { isFresh: true, isReplacement: hasQuarantined || wasInitialized, damage };
}

/**
 * Sets a damaged database aside for the operator, replacing an earlier one. Each step is durable before the next begins, so after a
 * power loss in between the folder holds either the damaged database or none.
 */
function quarantineDatabase(folder: string): void {
  renameSync(join(folder, databaseFile), join(folder, damagedFile));
  syncFolder(folder);
  rmSync(join(folder, lmdbLockFile), { force: true });
  removeMarker(folder);
}

/** Removes a database in which nothing was ever promised. */
function discardDatabase(folder: string): void {
  rmSync(join(folder, databaseFile));
  rmSync(join(folder, lmdbLockFile), { force: true });
  syncFolder(folder);
}

function removeMarker(folder: string): void {
  rmSync(join(folder, initializedMarkerFile));
  syncFolder(folder);
}

/**
 * Records that the first transaction is durable, after syncing the directory entries of the folder and its files. A marker that is
 * there already is synced again, since the process that wrote it may have been killed before it did so.
 */
export function markInitialized(folder: string): void {
  const marker = join(folder, initializedMarkerFile);
  if (!existsSync(marker)) {
    syncFolder(folder);
    syncFolder(dirname(folder));
  }
  const descriptor = openSync(marker, "a");
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
