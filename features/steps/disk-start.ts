/** Steps on starts of a process with a data folder that are cut short. */
import { deepEqual, equal, notEqual, ok } from "node:assert/strict";
import fs from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { type ChainWrite, type Outcome } from "@chutewick/parts";
import { Disk } from "@chutewick/shell";
import {
  CrashingFiles,
  readFolder,
  withReplaced,
  writeFolder,
  type Files,
} from "./crashing-files.js";
import { blankDatabase, cutOff, initialFolders, pageSize, withoutPages } from "./folder-states.js";
import { usedBytes } from "./folder.js";

/** A folder as a start that was cut short left it, with how it came about. */
interface LeftFolder {
  readonly files: Files;
  readonly history: readonly string[];
}

/** What a start of a left folder has brought. */
interface StartResult {
  readonly history: readonly string[];
  readonly identity: string;
  readonly isReplacement: boolean;
  readonly hasRecord: boolean;
  readonly files: Files;
}

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

/** Folders that a walk may reach at most; one that finds more has not come to its end. */
const maxLeftFolders = 400;
const walkOptions = { timeout: 120_000 };

function ignore(): void {
  // The walk judges a start by its outcome.
}

const listener = { changed: ignore, waiting: ignore };

function openDisk(world: World): Promise<Outcome<Disk>> {
  return Disk.open(world.diskFolder!, { kind: world.kind, name: `${world.kind}-1` }, listener);
}

async function openedDisk(world: World): Promise<Disk> {
  const opened = await openDisk(world);
  if (!opened.ok) throw new Error(opened.reason);
  return opened.value;
}

const acknowledged: ChainWrite = {
  clear: false,
  changes: [["acknowledged", "x".repeat(10_000)]],
  entries: [],
  drop: [],
  state: { place: 1, time: 0, confirmed: 1, view: { mark: 1, members: [] } },
};

/** Creates a folder with an acknowledged record, trimmed to its used pages. */
async function soundFolder(world: World): Promise<Files> {
  const disk = await openedDisk(world);
  function begin(resolve: () => void): void {
    disk.writeChain("chain", acknowledged, resolve);
  }
  await new Promise<void>(begin);
  world.identity = disk.identity;
  await disk.close();
  return trimmed(world.diskFolder!);
}

/** Contents of a folder without the reserved space of its database and without its lock files. */
function trimmed(folder: string): Files {
  const { "lock.mdb": _lock, process: _process, ...files } = readFolder(folder);
  if ((files["data.mdb"]?.length ?? 0) >= 2 * pageSize && files["data.mdb"]!.readUInt32LE(24) !== 0)
    files["data.mdb"] = files["data.mdb"]!.subarray(0, usedBytes(join(folder, "data.mdb")));
  return files;
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

/** Runs a start until a write; the outcome is undefined if it was cut short there. */
async function startUntil(
  world: World,
  crashAt: number,
): Promise<{ crashing: CrashingFiles; opened: Outcome<Disk> | undefined }> {
  const crashing = new CrashingFiles(crashAt);
  const opened = await crashing.run(() => openDisk(world));
  return { crashing, opened: crashing.hasCrashed ? undefined : opened };
}

async function killedWhileCreating(this: World): Promise<void> {
  let hadDatabase = true;
  for (let crashAt = 0; ; crashAt += 1) {
    writeFolder(this.diskFolder!, this.initial);
    const { opened } = await startUntil(this, crashAt);
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
  const disk = this.opened?.ok === true ? this.opened.value : await openedDisk(this);
  notEqual(disk.identity, this.identity);
  equal(disk.isReplacement, may === "may not");
  await disk.close();
  const again = await openedDisk(this);
  equal(again.identity, disk.identity);
  equal(again.isReplacement, may === "may not");
  await again.close();
}
Then(/^it starts again as a new machine that (may|may not) found a group$/, isNewMachine);

/**
 * Forms in which a kill or a loss of power before the first transaction may leave the database: of its two meta pages and its first page
 * of data each is there or not, and the second meta page does not name the transaction yet.
 */
function formsOfCreation(files: Files, blank: Buffer): Files[] {
  const { "data.mdb": _database, ...others } = files;
  const withData = Buffer.concat([blank, Buffer.alloc(pageSize, 1)]);
  const forms: Files[] = [others];
  for (const database of [
    blank,
    Buffer.alloc(0),
    blank.subarray(0, 100),
    blank.subarray(0, pageSize),
    withoutPages(blank, 1, 2),
    withoutPages(blank, 0, 1),
    withoutPages(blank, 0, 2),
    withData,
    withoutPages(withData, 1, 2),
    withoutPages(withData, 0, 1),
    withoutPages(withData, 0, 2),
  ])
    forms.push({ ...others, "data.mdb": database });
  return forms;
}

/** What tells one left folder from another: random identities do not. */
function signatureOf(files: Files): string {
  const parts: string[] = [];
  for (const [name, bytes] of Object.entries(files)) {
    if (name === "process" || name === "lock.mdb" || name === "probe") continue;
    const text = bytes.toString("latin1").replaceAll(/-1-[0-9a-f-]{36}/g, "");
    parts.push(`${name}:${bytes.length}:${text}`);
  }
  return parts.join("|");
}

/** Cuts the starts of a folder short at each write and adds what they leave to the folders to look at. */
async function cutShort(
  world: World,
  left: LeftFolder,
  found: Map<string, LeftFolder>,
): Promise<void> {
  let hadDatabase = true;
  for (let crashAt = 0; ; crashAt += 1) {
    let hasDatabase = false;
    let lossCount = 1;
    for (let set = 0; set < lossCount; set += 1) {
      writeFolder(world.diskFolder!, left.files);
      const { crashing, opened } = await startUntil(world, crashAt);
      lossCount = crashing.lossCount;
      hasDatabase ||= fs.existsSync(join(world.diskFolder!, "data.mdb"));
      const wasCreated = hasDatabase && !hadDatabase;
      if (opened !== undefined) {
        equal(lossCount, 1, `${left.history.join("; ")}: the start leaves something unsynced`);
        const created = wasCreated ? formsOf(world, true) : [];
        addAll(found, created, [...left.history, "creation of the database"]);
        return endWalk(world, left, opened);
      }
      world.crashes += 1;
      crashing.lose(set);
      const history = [...left.history, `write ${crashAt}, lost set ${set}`];
      addAll(found, formsOf(world, wasCreated), history);
    }
    hadDatabase = hasDatabase;
  }
}

/** The forms in which a crash may have left the folder, if lmdb created the database since the write before. */
function formsOf(world: World, wasCreated: boolean): Files[] {
  const files = trimmed(world.diskFolder!);
  if (!wasCreated) return [files];
  return [files, ...formsOfCreation(files, blankDatabase(world.diskFolder!))];
}

/** Adds the folders that were not found before. */
function addAll(
  found: Map<string, LeftFolder>,
  folders: readonly Files[],
  history: readonly string[],
): void {
  for (const files of folders) {
    const signature = signatureOf(files);
    if (!found.has(signature)) found.set(signature, { files, history });
  }
}

/** Judges a start that was not cut short, and the one after it. */
async function endWalk(world: World, left: LeftFolder, opened: Outcome<Disk>): Promise<void> {
  if (!opened.ok) throw new Error(`${left.history.join("; ")}: ${opened.reason}`);
  const { identity, isReplacement } = opened.value;
  await opened.value.close();
  const again = await openedDisk(world);
  equal(again.identity, identity, left.history.join("; "));
  equal(again.isReplacement, isReplacement, left.history.join("; "));
  const hasRecord = again.holding("chain")?.records[0]?.[0] === "acknowledged";
  await again.close();
  const files = readFolder(world.diskFolder!);
  world.results.push({ history: left.history, identity, isReplacement, hasRecord, files });
}

async function walk(this: World): Promise<void> {
  const found = new Map<string, LeftFolder>();
  found.set(signatureOf(this.initial), { files: this.initial, history: ["initial"] });
  for (const left of found.values()) {
    await cutShort(this, left, found);
    ok(found.size <= maxLeftFolders, `more than ${maxLeftFolders} folders`);
  }
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
    const { opened } = await startUntil(this, crashAt);
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
  const disk = await withReplaced(functions, () => openedDisk(this));
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
  this.opened = await withReplaced(functions, () => openDisk(this));
}
When("its disk fails to return the database {int} times", { timeout: 20_000 }, readsFail);

async function startsWithSound(this: World): Promise<void> {
  const disk = this.opened?.ok === true ? this.opened.value : await openedDisk(this);
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
  this.opened = await withReplaced(functions, () => openDisk(this));
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
  this.opened = await openDisk(this);
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
