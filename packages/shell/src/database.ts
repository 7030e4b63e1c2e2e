/** The lmdb database of a data folder: its metadata record, votes, chain states, records and log entries (docs/design.md §10.2). */
import { randomUUID } from "node:crypto";
import {
  constants,
  outcome,
  type Change,
  type ChainState,
  type ChainWrite,
  type LogEntry,
  type Outcome,
  type PersistedChain,
  type VoteState,
} from "@chutewick/parts";
import type { RootDatabase } from "lmdb";

/** Record that identifies a data folder; it is written first. */
export interface FolderMetadata {
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

/** State in the folder at the time it was opened. */
export interface PersistedState {
  readonly votes: VoteState | undefined;
  readonly holdings: ReadonlyMap<string, PersistedChain>;
}

/** What an initialized database contains. */
interface DatabaseContents {
  readonly meta: FolderMetadata;
  readonly persisted: PersistedState;
}

/** An open database with its contents. */
export interface OpenedDatabase extends DatabaseContents {
  readonly database: RootDatabase;
}

const metadataKey = "meta";

/** State of a new database. */
export const emptyState: PersistedState = { votes: undefined, holdings: new Map() };

/** Imports lmdb only here, so that processes without a data folder do not load its native code. */
export async function openDatabase(folder: string): Promise<RootDatabase> {
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
export async function openExisting(folder: string): Promise<Outcome<OpenedDatabase>> {
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
export async function createDatabase(
  folder: string,
  meta: FolderMetadata,
): Promise<OpenedDatabase> {
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
export function newMetadata({ kind, name }: DiskOwner, isReplacement: boolean): FolderMetadata {
  return {
    product: "chutewick",
    mark: constants.diskFormatVersion,
    kind,
    identity: `${name}-${randomUUID()}`,
    ...(isReplacement ? { isReplacement: true } : {}),
  };
}

/** Why a machine must not use a folder with this metadata; undefined if it may. */
export function refusalOf(
  { product, mark, kind }: FolderMetadata,
  owner: DiskOwner,
): string | undefined {
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

/** Must run inside a transaction, whose promise covers all of its writes. Only puts and removes keys, so the same write can be applied again after a failed commit. */
export function applyChainWrite(database: RootDatabase, chain: string, write: ChainWrite): void {
  if (write.clear) {
    for (const key of [...database.getKeys(recordKeyRange(chain))]) void database.remove(key);
    for (const key of [...database.getKeys(entryKeyRange(chain))]) void database.remove(key);
  }
  for (const [key, value] of write.changes) {
    if (value === undefined || value === null) void database.remove(["record", chain, key]);
    else void database.put(["record", chain, key], value);
  }
  for (const entry of write.entries) void database.put(["entry", chain, entry.place], entry);
  for (const place of write.drop) void database.remove(["entry", chain, place]);
  void database.put(["state", chain], write.state);
}

/** lmdb reports the cause of a failed commit in a separate promise; if its rejection is not handled, the process ends. */
export async function causeOf(error: Error): Promise<Error> {
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

/** Ignores an error of closing: the one that made the caller close the database is reported instead. */
export function ignore(): void {
  // Nothing to do.
}
