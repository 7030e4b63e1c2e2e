/** Inspection of an lmdb file before lmdb maps it into memory, where damage would end the process with a signal (docs/design.md §10.2). */
import { closeSync, openSync, readSync, statSync } from "node:fs";
import { damageOfTrees, type PageSource, type Snapshot, type Tree } from "./database-pages.js";

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
interface MetaPage extends Snapshot {
  readonly version: number;
  readonly pageSize: number;
}

/** Magic number of a meta page. */
const metaPageMagic = 0xbeefc0de;
/** Version of the format, in the lower half of its word, whose pages are checked. */
const knownVersion = 2;
const versionMask = 0xffff;
/** Byte offset of the magic number in a meta page; the next six offsets count from it. */
const magicOffset = 24;
const versionOffset = 4;
const pageSizeOffset = 24;
const freePagesOffset = 24;
const recordsOffset = 72;
const lastPageOffset = 120;
const transactionOffset = 128;
/** Byte offsets in the description of a tree, and the root that an empty one names. */
const depthOffset = 6;
const entriesOffset = 32;
const rootOffset = 40;
const noPage = 0xffff_ffff_ffff_ffffn;
/** Bytes at the start of a meta page that contain all of these fields. */
const metaBytes = 192;
/** Sizes in bytes of a memory page, and so of an lmdb page, on the machines that Node.js runs on. */
const pageSizes: readonly number[] = [4_096, 16_384, 65_536];
/** Bytes per read when a whole file is checked. */
const readChunkBytes = 1_048_576;
/** Bytes of a file up to which it is kept in memory while its pages are checked. */
const maxResidentBytes = 8_388_608;

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
    const damage = damageOf(metaPages) ?? damageOfPages(descriptor, size, newest!);
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
    version: bytes.readUInt32LE(magicOffset + versionOffset) & versionMask,
    pageSize,
    transaction: bytes.readBigUInt64LE(magicOffset + transactionOffset),
    lastPage: Number(bytes.readBigUInt64LE(magicOffset + lastPageOffset)),
    freePages: readTree(bytes, magicOffset + freePagesOffset),
    records: readTree(bytes, magicOffset + recordsOffset),
  };
}

function readTree(bytes: Buffer, offset: number): Tree {
  const root = bytes.readBigUInt64LE(offset + rootOffset);
  return {
    root: root === noPage ? undefined : Number(root),
    depth: bytes.readUInt16LE(offset + depthOffset),
    entries: Number(bytes.readBigUInt64LE(offset + entriesOffset)),
  };
}

function newestOf(metaPages: readonly MetaPage[]): MetaPage | undefined {
  let newest: MetaPage | undefined;
  for (const page of metaPages)
    if (newest === undefined || page.transaction > newest.transaction) newest = page;
  return newest;
}

function usedBytes({ lastPage, pageSize }: MetaPage): number {
  return (lastPage + 1) * pageSize;
}

/**
 * Describes damage that lmdb does not report. It reads through the first meta page without a check, and takes the older of the two for
 * the newest where the other one is gone, which would undo the last transaction.
 */
function damageOf(metaPages: readonly MetaPage[]): string | undefined {
  const [first, second] = metaPages;
  if (first === undefined) return "is not an lmdb file";
  if (second === undefined) return "has lost one of its two meta pages";
  return first.pageSize === second.pageSize ? undefined : "has meta pages that do not match";
}

/** Reads all used bytes of a file and checks its trees. Throws if any byte cannot be read. */
function damageOfPages(descriptor: number, size: number, newest: MetaPage): string | undefined {
  const used = usedBytes(newest);
  const bytes = readEveryByte(descriptor, Math.min(size, used));
  if (newest.version !== knownVersion)
    return size < used
      ? `is cut off: ${size} bytes, and page ${newest.lastPage} is used`
      : undefined;
  if (newest.transaction === 0n) return undefined;
  const pageCount = Math.floor(size / newest.pageSize);
  const file = { descriptor, pageSize: newest.pageSize, pageCount, bytes };
  return damageOfTrees(new FilePages(file), newest);
}

/** Reads the first `length` bytes of a file; throws if any of them cannot be read. Returns those of a small file. */
function readEveryByte(descriptor: number, length: number): Buffer | undefined {
  const isResident = length <= maxResidentBytes;
  const bytes = Buffer.alloc(isResident ? length : readChunkBytes);
  for (let position = 0; position < length; position += readChunkBytes) {
    const count = Math.min(readChunkBytes, length - position);
    readSync(descriptor, bytes, isResident ? position : 0, count, position);
  }
  return isResident ? bytes : undefined;
}

/** An open file of pages. */
interface OpenPageFile {
  readonly descriptor: number;
  readonly pageSize: number;
  readonly pageCount: number;
  /** Its used bytes, if they are in memory. */
  readonly bytes: Buffer | undefined;
}

/** The pages of an open file. */
class FilePages implements PageSource {
  readonly #file: OpenPageFile;

  constructor(file: OpenPageFile) {
    this.#file = file;
  }

  get pageSize(): number {
    return this.#file.pageSize;
  }

  get pageCount(): number {
    return this.#file.pageCount;
  }

  readPages(first: number, count: number): Buffer {
    const { descriptor, bytes } = this.#file;
    const position = first * this.pageSize;
    const length = count * this.pageSize;
    if (bytes !== undefined) return bytes.subarray(position, position + length);
    const pages = Buffer.alloc(length);
    readSync(descriptor, pages, 0, length, position);
    return pages;
  }
}
