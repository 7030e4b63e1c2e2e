import { readFileSync } from "node:fs";

/** Bytes up to the last used page of an lmdb file, from its newer meta page; the rest of the file is only reserved. */
export function usedBytes(file: string): number {
  const bytes = readFileSync(file);
  const pages = [bytes.readBigUInt64LE(24 + 120), bytes.readBigUInt64LE(4_096 + 24 + 120)];
  return (Number(pages[0]! > pages[1]! ? pages[0]! : pages[1]!) + 1) * 4_096;
}
