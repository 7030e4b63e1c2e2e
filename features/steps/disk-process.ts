import { fileURLToPath } from "node:url";
import type { ChainWrite, DiskCondition } from "@chutewick/parts";
import { Disk } from "@chutewick/shell";

/**
 * A process of its own with one data folder, for limits on the size of its files. It reads one line for each command: `write COUNT` adds
 * so many writes of 40,000 bytes, `close` closes the folder and ends. It tells lines: `waiting`, `opened`, a disk's condition, `durable`
 * once all writes are, and `closed`.
 */
const bytesOfWrite = 40_000;
const beatEvery = 50;

function tell(line: string): void {
  process.stdout.write(`${line}\n`);
}

function changed(condition: DiskCondition): void {
  tell(condition);
}

function waiting(): void {
  tell("waiting");
}

function recordOf(number: number): ChainWrite {
  return {
    clear: false,
    changes: [[`k${number}`, "x".repeat(bytesOfWrite)]],
    entries: [],
    drop: [],
    state: { place: number, time: 0, confirmed: number, view: { mark: 1, members: [] } },
  };
}

function writeAll(disk: Disk, count: number): void {
  let left = count;
  function done(): void {
    left -= 1;
    if (left === 0) tell("durable");
  }
  for (let number = 1; number <= count; number += 1) disk.writeChain("q", recordOf(number), done);
}

async function end(disk: Disk): Promise<void> {
  await disk.close();
  tell("closed");
  process.exit(0);
}

async function main(folder: string): Promise<void> {
  const owner = { kind: "storage", name: "storage-1" };
  const opened = await Disk.open(folder, owner, { changed, waiting });
  if (!opened.ok) throw new Error(opened.reason);
  const disk = opened.value;
  tell("opened");
  function beat(): void {
    disk.beat(performance.now());
  }
  setInterval(beat, beatEvery);
  function take(line: string): void {
    const [command, count] = line.trim().split(" ");
    if (command === "write") writeAll(disk, Number(count));
    else void end(disk);
  }
  process.stdin.setEncoding("utf8").on("data", take);
}

if (process.argv[1] === fileURLToPath(import.meta.url)) await main(process.argv[2]!);
