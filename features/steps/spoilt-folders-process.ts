/** A process that opens data folders one after the other, writes to each, and prints what it found: one line of JSON a folder. */
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { Disk } from "@chutewick/shell";
import { owner, writeRecords, type SpoiltStart } from "./database-writes.js";

function ignore(): void {
  // The parent judges the outcome of each start.
}

async function startFolder(folder: string): Promise<SpoiltStart> {
  const opened = await Disk.open(folder, owner, { changed: ignore, waiting: ignore });
  if (!opened.ok) return { refusal: opened.reason };
  const { identity, isReplacement } = opened.value;
  const records = opened.value.holding("chain")?.records.length ?? 0;
  await writeRecords(opened.value, [["after the start", 50_000]]);
  await opened.value.close();
  return { identity, isReplacement, records };
}

async function main([parent, ...names]: readonly string[]): Promise<void> {
  for (const name of names) {
    const start = await startFolder(join(parent!, name));
    process.stdout.write(`${JSON.stringify(start)}\n`);
  }
}

// Cucumber loads every file of this folder.
if (process.argv[1] === fileURLToPath(import.meta.url)) await main(process.argv.slice(2));
