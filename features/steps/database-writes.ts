/** Writes to data folders whose pages are looked at. */
import type { ChainWrite } from "@chutewick/parts";
import type { Disk, DiskOwner } from "@chutewick/shell";

export const owner: DiskOwner = { kind: "storage", name: "storage-1" };

/** Key and length in bytes of a record; a length of 0 removes it. */
export type RecordLength = readonly [key: string, bytes: number];

/** What came of the start of one folder. */
export interface SpoiltStart {
  /** Why it was refused, if it was. */
  readonly refusal?: string;
  readonly identity?: string;
  readonly isReplacement?: boolean;
  /** Records that were there before the write. */
  readonly records?: number;
}

/** Writes records of these lengths in one transaction. */
export async function writeRecords(disk: Disk, lengths: readonly RecordLength[]): Promise<void> {
  const changes = lengths.map(([key, bytes]): [string, unknown] => [
    key,
    bytes === 0 ? null : "x".repeat(bytes),
  ]);
  const write: ChainWrite = {
    clear: false,
    changes,
    entries: [],
    drop: [],
    state: { place: 1, time: 0, confirmed: 1, view: { mark: 1, members: [] } },
  };
  function begin(resolve: () => void): void {
    disk.writeChain("chain", write, resolve);
  }
  await new Promise<void>(begin);
}
