/**
 * Check of the trees of an lmdb file (docs/design.md §10.2). lmdb trusts the pages that it maps: one whose contents were lost ends the
 * process with a signal or a failed assertion, at each start. The check refuses what lmdb would stumble over; it does not know whether
 * the values are those that were written. The layout is that of lmdb 0.9.90 with little-endian integers.
 */

/** Where the pages of a file are read from. */
export interface PageSource {
  /** Bytes of a page. */
  readonly pageSize: number;
  /** Number of whole pages in the file. */
  readonly pageCount: number;
  /** Reads pages of the file that follow one another. */
  readPages(first: number, count: number): Buffer;
}

/** A tree of pages. */
export interface Tree {
  /** Number of the root page; undefined if the tree is empty. */
  readonly root: number | undefined;
  /** Levels of pages from the root to the leaves. */
  readonly depth: number;
  /** Number of entries in the leaves. */
  readonly entries: number;
}

/** The state of a database after a transaction. */
export interface Snapshot {
  /** Number of the transaction. */
  readonly transaction: bigint;
  /** Number of the last page in use. */
  readonly lastPage: number;
  /** Lists of pages that may be used again, by transaction. */
  readonly freePages: Tree;
  readonly records: Tree;
}

/** Thrown where a page cannot be what lmdb wrote. */
class PageDamage extends Error {}

/** Bytes of the header of a page; offsets of nodes count from its end. */
const headerBytes = 24;
/** Byte offsets in the header. */
const transactionOffset = 8;
const kindOffset = 18;
const lowerOffset = 20;
const upperOffset = 22;
/** Where the header of a run of overflow pages holds their number. */
const overflowCountOffset = 20;

/** Kinds of pages. */
const branchKind = 0x01;
const leafKind = 0x02;
const overflowKind = 0x04;
/** The bits of a header that tell the kind; lmdb uses the others in memory. */
const kindMask = 0x6f;

/** Bytes of a node before its key. */
const nodeHeaderBytes = 8;
/** Byte offsets in a node. */
const highOffset = 2;
const nodeFlagsOffset = 4;
const keyLengthOffset = 6;
/** Flag of a node whose value is on overflow pages. */
const overflowFlag = 0x01;
/** Bytes in place of such a value: the first page, its transaction and the number of pages. */
const overflowReferenceBytes = 24;
const overflowReferenceCountOffset = 16;

/** Number of the first page after the two meta pages. */
const firstPage = 2;
/** Levels that a cursor of lmdb can hold. */
const maxDepth = 32;
/** Bytes of a page number, of a transaction number, and of an entry in a list of free pages. */
const wordBytes = 8;
/** Pages below a branch page of the records; lmdb asserts it. */
const minBranchNodes = 2;

/** Describes the first damage that a walk through both trees of a snapshot finds; undefined if there is none. */
export function damageOfTrees(source: PageSource, snapshot: Snapshot): string | undefined {
  try {
    const walk = new TreeWalk(source, snapshot);
    walk.checkRecords();
    walk.checkFreePages();
    walk.checkEnd();
    return undefined;
  } catch (error) {
    if (error instanceof PageDamage) return error.message;
    throw error;
  }
}

/** The position of a node in a page. */
interface NodePosition {
  readonly page: Buffer;
  readonly pageNumber: number;
  /** Byte offset in the page. */
  readonly offset: number;
}

/** A key that the walk has come to. */
interface VisitedKey {
  readonly bytes: Buffer;
  /** Whether it is that of a branch page. */
  readonly isSeparator: boolean;
}

/** What is checked in a tree besides its pages. */
interface TreeChecks {
  /** Nodes that a branch page has at least. */
  readonly minBranchNodes: number;
  readonly checkSeparator: (node: NodePosition) => void;
  readonly checkEntry: (node: NodePosition) => void;
}

/** A walk through the trees of a snapshot. */
class TreeWalk {
  readonly #source: PageSource;
  readonly #snapshot: Snapshot;
  readonly #visited: Uint8Array;
  /** Number of pages beyond the end of the file that lists of free pages name. */
  #freeBeyondEnd = 0;
  /** The key before the next one in the tree of the records. */
  #lastKey: VisitedKey = { bytes: Buffer.alloc(0), isSeparator: true };

  constructor(source: PageSource, snapshot: Snapshot) {
    this.#source = source;
    this.#snapshot = snapshot;
    this.#visited = new Uint8Array(Math.min(snapshot.lastPage + 1, source.pageCount));
  }

  /** Checks the tree of the records, whose keys are in the order of their bytes. */
  checkRecords(): void {
    this.#checkTree(this.#snapshot.records, {
      minBranchNodes,
      checkSeparator: (node) => this.#checkOrder(node, true),
      checkEntry: (node) => {
        this.#checkOrder(node, false);
        this.#checkValue(node);
      },
    });
  }

  /** Checks the tree of the lists of free pages. */
  checkFreePages(): void {
    this.#checkTree(this.#snapshot.freePages, {
      minBranchNodes: 1,
      checkSeparator: () => undefined,
      checkEntry: (node) => this.#checkFreeList(node),
    });
  }

  /** Checks the end of the file: pages beyond it must be free, since lmdb does not write a page that it frees in the same transaction. */
  checkEnd(): void {
    const missing = this.#snapshot.lastPage + 1 - this.#source.pageCount;
    if (missing > this.#freeBeyondEnd)
      throw new PageDamage(`is cut off: ${missing} pages are missing, ${this.#freeBeyondEnd} free`);
  }

  #checkTree({ root, depth, entries }: Tree, checks: TreeChecks): void {
    if (root === undefined) return;
    if (depth < 1 || depth > maxDepth) throw new PageDamage(`has a tree of ${depth} levels`);
    const found = this.#checkSubtree(root, depth, checks);
    if (found !== entries)
      throw new PageDamage(`has ${found} entries in a tree that names ${entries}`);
  }

  /** Checks the pages from one page to the leaves, so many levels, and returns the number of entries below it. */
  #checkSubtree(pageNumber: number, levels: number, checks: TreeChecks): number {
    const page = this.#readPage(pageNumber);
    const isLeaf = levels === 1;
    checkKind(page, pageNumber, isLeaf ? leafKind : branchKind);
    let entries = 0;
    for (const [index, node] of nodesOf(page, pageNumber, isLeaf ? 1 : checks.minBranchNodes)) {
      if (isLeaf) {
        checks.checkEntry(node);
        entries += 1;
      } else {
        // The first node of a branch page has no key of its own.
        if (index > 0) checks.checkSeparator(node);
        entries += this.#checkSubtree(childOf(node), levels - 1, checks);
      }
    }
    return entries;
  }

  /** Checks that a key comes after those before it. The first entry below a separator may have the key of the separator. */
  #checkOrder({ page, pageNumber, offset }: NodePosition, isSeparator: boolean): void {
    const begin = offset + nodeHeaderBytes;
    const key = page.subarray(begin, begin + page.readUInt16LE(offset + keyLengthOffset));
    const order = key.compare(this.#lastKey.bytes);
    if (order < 0 || (order === 0 && !this.#lastKey.isSeparator))
      throw new PageDamage(`page ${pageNumber} has keys that are not in order`);
    this.#lastKey = { bytes: key, isSeparator };
  }

  /** Reads a page of a tree, which no other node may refer to. */
  #readPage(pageNumber: number): Buffer {
    this.#visit(pageNumber, 1);
    const page = this.#readWhole(pageNumber, 1);
    const named = page.readBigUInt64LE(0);
    if (named !== BigInt(pageNumber))
      throw new PageDamage(`page ${pageNumber} names itself ${named}`);
    if (page.readBigUInt64LE(transactionOffset) > this.#snapshot.transaction)
      throw new PageDamage(`page ${pageNumber} is of a later transaction`);
    return page;
  }

  /** Reads pages that are in use. */
  #readWhole(first: number, count: number): Buffer {
    if (first + count > this.#source.pageCount)
      throw new PageDamage(`is cut off: page ${first + count - 1} is in use and missing`);
    return this.#source.readPages(first, count);
  }

  #visit(first: number, count: number): void {
    this.#checkRange(first, count);
    const end = Math.min(first + count, this.#visited.length);
    for (let pageNumber = first; pageNumber < end; pageNumber += 1) {
      if (this.#visited[pageNumber] !== 0) throw new PageDamage(`page ${pageNumber} is used twice`);
      this.#visited[pageNumber] = 1;
    }
  }

  #checkRange(first: number, count: number): void {
    const { lastPage } = this.#snapshot;
    if (first < firstPage || count < 1 || first + count - 1 > lastPage)
      throw new PageDamage(`refers to ${count} pages from ${first}, and page ${lastPage} is last`);
  }

  /** Checks the value of a leaf node and returns where it begins, with its length in bytes. */
  #checkValue({ page, pageNumber, offset }: NodePosition): { bytes: Buffer; length: number } {
    const flags = page.readUInt16LE(offset + nodeFlagsOffset);
    const length = page.readUInt16LE(offset) + page.readUInt16LE(offset + highOffset) * 0x1_0000;
    const begin = offset + nodeHeaderBytes + page.readUInt16LE(offset + keyLengthOffset);
    if (flags !== 0 && flags !== overflowFlag)
      throw new PageDamage(`page ${pageNumber} has a node with the flags ${flags}`);
    const isOverflow = flags === overflowFlag;
    if (begin + (isOverflow ? overflowReferenceBytes : length) > page.length)
      throw new PageDamage(`page ${pageNumber} has a node that goes beyond its end`);
    const value = page.subarray(begin);
    return { bytes: isOverflow ? this.#checkOverflow(value, length) : value, length };
  }

  /** Checks the overflow pages that a node refers to, and returns the value on them. */
  #checkOverflow(reference: Buffer, length: number): Buffer {
    const first = Number(reference.readBigUInt64LE(0));
    const count = Number(reference.readBigUInt64LE(overflowReferenceCountOffset));
    const needed = Math.ceil((headerBytes + length) / this.#source.pageSize);
    if (count < needed) throw new PageDamage(`page ${first} begins too few overflow pages`);
    this.#checkRange(first, count);
    const header = this.#readPage(first);
    checkKind(header, first, overflowKind);
    if (header.readUInt32LE(overflowCountOffset) !== count)
      throw new PageDamage(`page ${first} names another number of overflow pages`);
    if (count > 1) this.#visit(first + 1, count - 1);
    return this.#readWhole(first, needed).subarray(headerBytes);
  }

  /**
   * Checks a list of free pages: its length, then page numbers. A negative entry is the number of pages that follow one another from the
   * page in the next entry; zeros are skipped.
   */
  #checkFreeList(node: NodePosition): void {
    const { page, pageNumber, offset } = node;
    if (page.readUInt16LE(offset + keyLengthOffset) !== wordBytes)
      throw new PageDamage(`page ${pageNumber} has a list of free pages without a transaction`);
    const { bytes, length } = this.#checkValue(node);
    const entries = length < wordBytes ? -1 : Number(bytes.readBigUInt64LE(0));
    if (entries < 0 || (entries + 1) * wordBytes > length)
      throw new PageDamage(`page ${pageNumber} has a list of free pages that is cut off`);
    let count = 1;
    for (let index = 1; index <= entries; index += 1) {
      const entry = Number(bytes.readBigInt64LE(index * wordBytes));
      if (entry > 0) this.#checkFreeRange(entry, count);
      count = entry < 0 ? -entry : 1;
    }
  }

  #checkFreeRange(first: number, count: number): void {
    this.#checkRange(first, count);
    const inFile = Math.max(0, Math.min(count, this.#source.pageCount - first));
    this.#freeBeyondEnd += count - inFile;
  }
}

function checkKind(page: Buffer, pageNumber: number, expected: number): void {
  const kind = page.readUInt16LE(kindOffset) & kindMask;
  if (kind !== expected)
    throw new PageDamage(`page ${pageNumber} is of another kind than expected`);
}

/** The nodes of a page of a tree, with their places in it. */
function* nodesOf(
  page: Buffer,
  pageNumber: number,
  minNodes: number,
): Generator<[index: number, node: NodePosition]> {
  const lower = page.readUInt16LE(lowerOffset);
  const upper = page.readUInt16LE(upperOffset);
  if (lower > upper || headerBytes + upper > page.length || lower < 2 * minNodes)
    throw new PageDamage(`page ${pageNumber} has free space where its nodes are`);
  for (let index = 0; index < Math.floor(lower / 2); index += 1) {
    const offset = headerBytes + page.readUInt16LE(headerBytes + 2 * index);
    if (offset < headerBytes + upper || !fitsNode(page, offset))
      throw new PageDamage(`page ${pageNumber} has a node outside its nodes`);
    yield [index, { page, pageNumber, offset }];
  }
}

/** Whether the header and the key of a node are inside its page. */
function fitsNode(page: Buffer, offset: number): boolean {
  if (offset + nodeHeaderBytes > page.length) return false;
  const keyLength = page.readUInt16LE(offset + keyLengthOffset);
  return offset + nodeHeaderBytes + keyLength <= page.length;
}

/** The page that a node of a branch page refers to. */
function childOf({ page, offset }: NodePosition): number {
  return page.readUIntLE(offset, keyLengthOffset);
}
