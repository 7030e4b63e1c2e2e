/** Inspection of an lmdb file before lmdb maps it into memory, where damage would end the process with a signal (docs/design.md §10.2). */
import { closeSync, openSync, readSync, statSync } from "node:fs";

/** What a database file shows before it is opened. */
export interface DatabaseFileCondition {
  /** Whether the file contains pages besides its two meta pages. */
  readonly hasContent: boolean;
  /** Whether a transaction was ever completed: the first one becomes durable only after both meta pages are. */
  readonly hasTransaction: boolean;
  /** Why lmdb must not open the file; undefined if it may. */
  readonly damage: string | undefined;
}

/** The fields of a meta page that tell which part of the file is in use. */
interface MetaPage {
  readonly pageSize: number;
  readonly transaction: bigint;
  readonly lastPage: bigint;
}

/** Magic number of a meta page. */
const metaPageMagic = 0xbeefc0de;
/** Byte offset of the magic number in a meta page; the next three offsets count from it. */
const magicOffset = 24;
const pageSizeOffset = 24;
const lastPageOffset = 120;
const transactionOffset = 128;
/** Bytes at the start of a meta page that contain all of these fields. */
const metaBytes = 192;
/** Sizes in bytes of a memory page, and so of an lmdb page, on the machines that Node.js runs on. */
const pageSizes: readonly number[] = [4_096, 16_384, 65_536];
/** Bytes per read when a whole file is checked. */
const readChunkBytes = 1_048_576;

/** Thrown when the disk fails to return the bytes of a database file, which may be damage or pass. */
export class DatabaseReadError extends Error {}

/** Inspects a database file and reads all of its used bytes. Other errors of the file system than failed reads are thrown unchanged. */
export function inspectDatabaseFile(file: string): DatabaseFileCondition {
  const { size } = statSync(file);
  const descriptor = openSync(file, "r");
  try {
    const metaPages = readMetaPages(descriptor);
    const newest = newestOf(metaPages);
    const pageSize = newest?.pageSize ?? pageSizes[0]!;
    const condition = {
      hasContent: size > 2 * pageSize,
      hasTransaction: newest !== undefined && newest.transaction > 0n,
    };
    const damage = damageOf(size, metaPages);
    if (damage === undefined) readEveryByte(descriptor, usedBytes(newest!));
    return { ...condition, damage };
  } catch (error) {
    if ((error as NodeJS.ErrnoException).code !== "EIO") throw error;
    throw new DatabaseReadError(`${file}: cannot be read: ${(error as Error).message}`);
  } finally {
    closeSync(descriptor);
  }
}

/** The valid meta pages of a file. A sound file has two of the same page size. */
function readMetaPages(descriptor: number): MetaPage[] {
  const first = readMetaPage(descriptor, 0);
  const found = first === undefined ? [] : [first];
  for (const pageSize of pageSizes) {
    const second = readMetaPage(descriptor, pageSize);
    if (second?.pageSize === pageSize) return [...found, second];
  }
  return found;
}

/** Reads the meta page at this position in bytes; undefined if there is none. */
function readMetaPage(descriptor: number, position: number): MetaPage | undefined {
  const bytes = Buffer.alloc(metaBytes);
  readSync(descriptor, bytes, 0, bytes.length, position);
  if (bytes.readUInt32LE(magicOffset) !== metaPageMagic) return undefined;
  const pageSize = bytes.readUInt32LE(magicOffset + pageSizeOffset);
  if (!pageSizes.includes(pageSize)) return undefined;
  return {
    pageSize,
    transaction: bytes.readBigUInt64LE(magicOffset + transactionOffset),
    lastPage: bytes.readBigUInt64LE(magicOffset + lastPageOffset),
  };
}

function newestOf(metaPages: readonly MetaPage[]): MetaPage | undefined {
  let newest: MetaPage | undefined;
  for (const page of metaPages)
    if (newest === undefined || page.transaction > newest.transaction) newest = page;
  return newest;
}

function usedBytes({ lastPage, pageSize }: MetaPage): number {
  return (Number(lastPage) + 1) * pageSize;
}

/**
 * Describes damage that lmdb does not report. It reads through the first meta page without a check, and takes the older of the two for
 * the newest where the other one is gone, which would undo the last transaction.
 */
function damageOf(size: number, metaPages: readonly MetaPage[]): string | undefined {
  const [first, second] = metaPages;
  if (first === undefined) return "is not an lmdb file";
  if (second === undefined) return "has lost one of its two meta pages";
  if (first.pageSize !== second.pageSize) return "has meta pages that do not match";
  const newest = newestOf(metaPages)!;
  const used = usedBytes(newest);
  return size < used ? `is cut off: ${size} bytes, and page ${newest.lastPage} is used` : undefined;
}

/** Reads the first `bytes` bytes of a file; throws if any of them cannot be read. */
function readEveryByte(descriptor: number, bytes: number): void {
  const chunk = Buffer.alloc(Math.min(readChunkBytes, bytes));
  for (let position = 0; position < bytes; position += chunk.length)
    readSync(descriptor, chunk, 0, chunk.length, position);
}
