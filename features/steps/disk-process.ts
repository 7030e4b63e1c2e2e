/**
 * Program with one data folder, run as a process of its own so that the size of its files can be limited. It reads one command a line:
 * `write COUNT` adds so many writes of 40,000 bytes, `close` closes the folder and exits. It prints one event a line: `waiting`,
 * `opened`, a condition of the disk, `durable` once all writes are durable, and `closed`.
 */
import { fileURLToPath } from "node:url";
import type { ChainWrite, DiskCondition } from "@chutewick/parts";
import { Disk } from "@chutewick/shell";

const writeBytes = 40_000;
const tickIntervalMs = 50;

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

function changed(condition: DiskCondition): void {
  print(condition);
}

function waiting(): void {
  print("waiting");
}

function recordOf(number: number): ChainWrite {
  return {
    clear: false,
    changes: [[`k${number}`, "x".repeat(writeBytes)]],
    entries: [],
    drop: [],
    state: { place: number, time: 0, confirmed: number, view: { mark: 1, members: [] } },
  };
}

function writeAll(disk: Disk, count: number): void {
  let remaining = count;
  function done(): void {
    remaining -= 1;
    if (remaining === 0) print("durable");
  }
  for (let number = 1; number <= count; number += 1) disk.writeChain("q", recordOf(number), done);
}

async function end(disk: Disk): Promise<void> {
  await disk.close();
  print("closed");
  process.exit(0);
}

async function main(folder: string): Promise<void> {
  const owner = { kind: "storage", name: "storage-1" };
  const opened = await Disk.open(folder, owner, { changed, waiting });
  if (!opened.ok) throw new Error(opened.reason);
  const disk = opened.value;
  print("opened");
  function tick(): void {
    disk.tick(performance.now());
  }
  setInterval(tick, tickIntervalMs);
  function execute(line: string): void {
    const [command, count] = line.trim().split(" ");
    if (command === "write") writeAll(disk, Number(count));
    else void end(disk);
  }
  process.stdin.setEncoding("utf8").on("data", execute);
}

if (process.argv[1] === fileURLToPath(import.meta.url)) await main(process.argv[2]!);
