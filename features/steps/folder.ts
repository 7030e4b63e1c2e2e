import { readFileSync } from "node:fs";

/** Up to the last page that either head of the file tells of: beyond it the file is only kept longer. */
export function usedBytes(file: string): number {
  const bytes = readFileSync(file);
  const pages = [bytes.readBigUInt64LE(24 + 120), bytes.readBigUInt64LE(4_096 + 24 + 120)];
  return (Number(pages[0]! > pages[1]! ? pages[0]! : pages[1]!) + 1) * 4_096;
}
