/** Steps on starts of a process with a data folder that are cut short. */
import { deepEqual, equal, notEqual, ok } from "node:assert/strict";
import fs from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { After, Given, Then, When } from "@cucumber/cucumber";
import type { ChainWrite, Outcome } from "@chutewick/parts";
import type { Disk } from "@chutewick/shell";
import { withReplaced, writeFolder, type Files } from "./crashing-files.js";
import { blankDatabase, cutOff, initialFolders } from "./folder-states.js";
import {
  openDisk,
  openedDisk,
  startUntil,
  trimmed,
  walkStarts,
  type StartingMachine,
  type StartResult,
} from "./start-walk.js";

interface World {
  diskFolder?: string;
  kind: string;
  initial: Files;
  identity: string;
  results: StartResult[];
  opened: Outcome<Disk>;
  markerSyncs: number;
  /** Starts that were cut short. */
  crashes: number;
}

function machineOf({ kind, diskFolder }: World): StartingMachine {
  return { kind, folder: diskFolder! };
}

const walkOptions = { timeout: 120_000 };

const acknowledged: ChainWrite = {
  clear: false,
  changes: [["acknowledged", "x".repeat(10_000)]],
  entries: [],
  drop: [],
  state: { place: 1, time: 0, confirmed: 1, view: { mark: 1, members: [] } },
};

/** Creates a folder with an acknowledged record, trimmed to its used pages. */
async function soundFolder(world: World): Promise<Files> {
  const disk = await openedDisk(machineOf(world));
  function begin(resolve: () => void): void {
    disk.writeChain("chain", acknowledged, resolve);
  }
  await new Promise<void>(begin);
  world.identity = disk.identity;
  await disk.close();
  return trimmed(world.diskFolder!);
}

async function aFolder(this: World, kind: string, what: string): Promise<void> {
  this.diskFolder = fs.mkdtempSync(join(tmpdir(), "chutewick-start-"));
  this.kind = kind;
  this.results = [];
  this.crashes = 0;
  if (what.startsWith("holds a replacement")) await leaveQuarantined(this);
  const sound = await soundFolder(this);
  this.initial = await initialFolders[what]!(sound, this.diskFolder);
  writeFolder(this.diskFolder, this.initial);
}
Given(/^the data folder of a (control|storage) machine that (.+)$/, aFolder);

/** Leaves a folder that holds nothing but a database that was set aside. */
async function leaveQuarantined(world: World): Promise<void> {
  const sound = await soundFolder(world);
  writeFolder(world.diskFolder!, { "data.mdb.damaged": cutOff(sound) });
}

async function killedWhileCreating(this: World): Promise<void> {
  let hadDatabase = true;
  for (let crashAt = 0; ; crashAt += 1) {
    writeFolder(this.diskFolder!, this.initial);
    const { opened } = await startUntil(machineOf(this), crashAt);
    const hasDatabase = fs.existsSync(join(this.diskFolder!, "data.mdb"));
    if (hasDatabase && !hadDatabase) break;
    ok(opened === undefined, "the start never creates a database");
    hadDatabase = hasDatabase;
  }
  fs.writeFileSync(join(this.diskFolder!, "data.mdb"), blankDatabase(this.diskFolder!));
}
When(
  "its process is killed between creating the database and the first transaction",
  killedWhileCreating,
);

async function isNewMachine(this: World, may: string): Promise<void> {
  const disk = this.opened?.ok === true ? this.opened.value : await openedDisk(machineOf(this));
  notEqual(disk.identity, this.identity);
  equal(disk.isReplacement, may === "may not");
  await disk.close();
  const again = await openedDisk(machineOf(this));
  equal(again.identity, disk.identity);
  equal(again.isReplacement, may === "may not");
  await again.close();
}
Then(/^it starts again as a new machine that (may|may not) found a group$/, isNewMachine);

async function walk(this: World): Promise<void> {
  const { results, crashes } = await walkStarts(machineOf(this), this.initial);
  this.results = results;
  this.crashes = crashes;
}
When(
  "its starts are cut short at each write, again and again, by a kill or a loss of power",
  walkOptions,
  walk,
);

function eachStarts(this: World): void {
  ok(this.crashes > 0, "no start was cut short");
}
Then("each folder that they leave starts again", eachStarts);

const keptChecks: Readonly<Record<string, (world: World, result: StartResult) => void>> = {
  nothing: () => undefined,
  "the sound database": (world, { identity, hasRecord }) => {
    equal(identity, world.identity);
    ok(hasRecord);
  },
  "the damaged database": (world, { files }) =>
    deepEqual(files["data.mdb.damaged"], world.initial["data.mdb"]),
  "the database set aside": (world, { files }) =>
    deepEqual(files["data.mdb.damaged"], world.initial["data.mdb.damaged"]),
};

function isKept(this: World, what: string): void {
  for (const result of this.results) {
    try {
      keptChecks[what]!(this, result);
    } catch (error) {
      throw new Error(result.history.join("; "), { cause: error });
    }
  }
}
Then(/^(.+) is kept each time$/, isKept);

function isMachine(this: World, machine: string): void {
  for (const { isReplacement, history } of this.results)
    equal(isReplacement, machine === "replacement", history.join("; "));
}
Then(/^it is a (first machine|replacement) each time$/, isMachine);

/** Kills starts at each write until one has created its marker and not synced it. */
async function markerNotSynced(this: World): Promise<void> {
  const { begun: _begun, ...unmarked } = this.initial;
  for (let crashAt = 0; ; crashAt += 1) {
    writeFolder(this.diskFolder!, unmarked);
    const { opened } = await startUntil(machineOf(this), crashAt);
    ok(opened === undefined, "the start never creates its marker");
    if (fs.existsSync(join(this.diskFolder!, "begun"))) break;
  }
}

async function startsAfterKill(this: World): Promise<void> {
  await markerNotSynced.call(this);
  const syncs: string[] = [];
  const marker = join(this.diskFolder!, "begun");
  const { openSync, fsyncSync } = fs;
  const paths = new Map<number, string>();
  function openAndName(path: string, flags: string): number {
    const descriptor = openSync(path, flags);
    paths.set(descriptor, path);
    return descriptor;
  }
  function syncAndName(descriptor: number): void {
    fsyncSync(descriptor);
    syncs.push(paths.get(descriptor)!);
  }
  const functions = { openSync: openAndName, fsyncSync: syncAndName } as Partial<typeof fs>;
  const disk = await withReplaced(functions, () => openedDisk(machineOf(this)));
  await disk.close();
  this.markerSyncs = syncs.filter((path) => path === marker).length;
}
When("its process is killed before its marker is synced, and it starts again", startsAfterKill);

function markerStays(this: World): void {
  equal(this.markerSyncs, 1);
}
Then("a loss of power does not take the marker", markerStays);

function errorOf(code: string): Error {
  return Object.assign(new Error(code), { code, errno: -1, syscall: "read" });
}

/** Lets the first reads of the database fail. */
async function readsFail(this: World, times: number): Promise<void> {
  const { readSync, openSync } = fs;
  const paths = new Map<number, string>();
  let failed = 0;
  function openAndName(path: string, flags: string): number {
    const descriptor = openSync(path, flags);
    paths.set(descriptor, path);
    return descriptor;
  }
  function failingRead(descriptor: number, ...others: [Buffer, number, number, number]): number {
    const isDatabase = paths.get(descriptor)?.endsWith("data.mdb") === true;
    if (!isDatabase || failed >= times) return readSync(descriptor, ...others);
    failed += 1;
    throw errorOf("EIO");
  }
  const functions = { openSync: openAndName, readSync: failingRead } as Partial<typeof fs>;
  this.opened = await withReplaced(functions, () => openDisk(machineOf(this)));
}
When("its disk fails to return the database {int} times", { timeout: 20_000 }, readsFail);

async function startsWithSound(this: World): Promise<void> {
  const disk = this.opened?.ok === true ? this.opened.value : await openedDisk(machineOf(this));
  equal(disk.identity, this.identity);
  equal(disk.holding("chain")!.records[0]![0], "acknowledged");
  await disk.close();
}
Then("it starts with the sound database", startsWithSound);
Then("the next start has the sound database", startsWithSound);

function isSetAside(this: World): void {
  const bytes = fs.readFileSync(join(this.diskFolder!, "data.mdb.damaged"));
  deepEqual(bytes, this.initial["data.mdb"]);
}
Then("the database is set aside", isSetAside);

async function mayOpenNothing(this: World): Promise<void> {
  const { openSync } = fs;
  function failingOpen(path: string, flags: string): number {
    if (path.endsWith("data.mdb")) throw errorOf("EMFILE");
    return openSync(path, flags);
  }
  const functions = { openSync: failingOpen } as Partial<typeof fs>;
  this.opened = await withReplaced(functions, () => openDisk(machineOf(this)));
}
When("its process may open no further file for the database", mayOpenNothing);

function startFails(this: World): void {
  ok(!this.opened.ok && this.opened.reason.includes("EMFILE"));
}
Then("the start fails", startFails);

/** Clock ticks from the start of the machine to the start of the parent of this process, which runs. */
function parentStartTicks(): string {
  const line = fs.readFileSync(`/proc/${process.ppid}/stat`, "utf8");
  return line.slice(line.lastIndexOf(")") + 2).split(" ")[19]!;
}

function lockOfEarlierBoot(this: World): void {
  const text = `${process.ppid} ${parentStartTicks()} 00000000-0000-4000-8000-000000000000`;
  fs.writeFileSync(join(this.diskFolder!, "process"), text);
}
When(
  "its lock names a process of an earlier start of the machine with the id and the start time of one that runs now",
  lockOfEarlierBoot,
);

async function lockOfOther(this: World): Promise<void> {
  const bootId = fs.readFileSync("/proc/sys/kernel/random/boot_id", "utf8").trim();
  const text = `${process.ppid} ${parentStartTicks()} ${bootId}`;
  fs.writeFileSync(join(this.diskFolder!, "process"), text);
  this.opened = await openDisk(machineOf(this));
}
When("its lock names another process that runs now", lockOfOther);

function isInUse(this: World): void {
  ok(!this.opened.ok && this.opened.reason.includes("is in use by process"));
}
Then("it is refused as in use", isInUse);

function removeFolder(this: World): void {
  if (this.diskFolder !== undefined) fs.rmSync(this.diskFolder, { recursive: true, force: true });
}
After(removeFolder);
