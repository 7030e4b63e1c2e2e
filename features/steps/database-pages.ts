/** Steps on databases whose pages lost their contents. */
import { deepEqual, equal, ok } from "node:assert/strict";
import { spawnSync } from "node:child_process";
import fs from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { After, Given, Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import { Disk, inspectDatabaseFile } from "@chutewick/shell";
import { readFolder, writeFolder, type Files } from "./crashing-files.js";
import { owner, writeRecords, type RecordLength, type SpoiltStart } from "./database-writes.js";
import { usedBytes } from "./folder.js";
import { pageSize } from "./folder-states.js";

interface World {
  diskFolder?: string;
  initial: Files;
  identity: string;
  /** The spoilt databases by the names of their folders. */
  spoilt: Map<string, Buffer>;
  starts: SpoiltStart[];
  endedBy: NodeJS.Signals | null;
  checks: number;
}

const firstPage = 2;
const recordCount = 60;
/** Bytes of a record up to which it stays in its page. */
const inlineBytes = 1_500;
const stepOptions = { timeout: 120_000 };

function ignore(): void {
  // Disks of these scenarios accept all writes.
}

async function openDisk(folder: string): Promise<Disk> {
  const opened = await Disk.open(folder, owner, { changed: ignore, waiting: ignore });
  if (!opened.ok) throw new Error(opened.reason);
  return opened.value;
}

/** Records that fill leaf, branch and overflow pages, of which some are written anew, so that pages become free. */
function manyRecords(round: number): RecordLength[] {
  const lengths: RecordLength[] = [];
  for (let index = round; index < recordCount; index += 1 + round)
    lengths.push([
      `record-${index}`,
      index % 20 === 0 ? 3 * pageSize : 50 + ((index * 131) % inlineBytes),
    ]);
  return lengths;
}

async function aFolder(this: World): Promise<void> {
  this.diskFolder = fs.mkdtempSync(join(tmpdir(), "chutewick-pages-"));
  const folder = join(this.diskFolder, "sound");
  const disk = await openDisk(folder);
  for (let round = 0; round < 3; round += 1) await writeRecords(disk, manyRecords(round));
  this.identity = disk.identity;
  await disk.close();
  const { begun, "data.mdb": database } = readFolder(folder);
  this.initial = {
    begun: begun!,
    "data.mdb": database!.subarray(0, usedBytes(join(folder, "data.mdb"))),
  };
}
Given("the data folder of a storage machine with many records", aFolder);

/** Bytes of the records that fill the end of the file before they are removed. */
const removedBytes = 3_000_000;

async function lastAreRemoved(this: World): Promise<void> {
  await aFolder.call(this);
  const folder = join(this.diskFolder!, "sound");
  const disk = await openDisk(folder);
  await writeRecords(disk, [["removed", removedBytes]]);
  await writeRecords(disk, [["removed", 0]]);
  await writeRecords(disk, [["small", 1]]);
  await disk.close();
}
Given(
  "the data folder of a storage machine with many records, of which the last were removed",
  lastAreRemoved,
);

/** The number of pages to which a file can be cut off before the check finds damage; the file is shorter afterwards. */
function shortestSound(file: string): number {
  for (let pages = usedBytes(file) / pageSize; ; pages -= 1) {
    fs.truncateSync(file, (pages - 1) * pageSize);
    if (inspectDatabaseFile(file).damage !== undefined) return pages;
  }
}

function isCutAfter(this: World): void {
  const file = join(this.diskFolder!, "sound", "data.mdb");
  const database = fs.readFileSync(file);
  const used = usedBytes(file);
  const length = shortestSound(file) * pageSize;
  ok(length + pageSize < used, "the last pages of the file are in use");
  this.initial = { ...this.initial, "data.mdb": database.subarray(0, length) };
  writeFolder(join(this.diskFolder!, "sound"), this.initial);
}
When("the file is cut off after its last page in use", isCutAfter);

async function goesOn(this: World): Promise<void> {
  const folder = join(this.diskFolder!, "sound");
  const disk = await openDisk(folder);
  equal(disk.damage, undefined);
  equal(disk.identity, this.identity);
  equal(disk.holding("chain")!.records.length, recordCount + 1);
  await writeRecords(disk, [
    ["after", removedBytes / 2],
    ["and after", 1],
  ]);
  await disk.close();
  const again = await openDisk(folder);
  equal(again.damage, undefined);
  equal(again.holding("chain")!.records.length, recordCount + 3);
  await again.close();
}
Then(
  "the machine starts with its database, and has all that it writes after the next start",
  goesOn,
);

function isCutBefore(this: World): void {
  const database = this.initial["data.mdb"]!;
  this.initial = { ...this.initial, "data.mdb": database.subarray(0, database.length - pageSize) };
  writeFolder(join(this.diskFolder!, "sound"), this.initial);
}
When("the file is cut off before its last page in use", isCutBefore);

async function isReplacement(this: World): Promise<void> {
  const folder = join(this.diskFolder!, "sound");
  const disk = await openDisk(folder);
  ok(disk.isReplacement && disk.damage?.startsWith("is cut off") === true, disk.damage);
  await disk.close();
  deepEqual(fs.readFileSync(join(folder, "data.mdb.damaged")), this.initial["data.mdb"]);
}
Then("the machine is a replacement that keeps the damaged database", isReplacement);

/** A generator of the same bytes in each run. */
function nextRandom(state: number): number {
  return (Math.imul(state, 1_103_515_245) + 12_345) & 0x7fff_ffff;
}

function randomBytes(length: number, seed: number): Buffer {
  const bytes = Buffer.alloc(length);
  let state = seed;
  for (let index = 0; index < length; index += 1) {
    state = nextRandom(state);
    bytes[index] = state >> 16;
  }
  return bytes;
}

type Spoil = (database: Buffer, page: number) => Buffer[];

function replacing(contentsOf: (database: Buffer, page: number) => Buffer): Spoil {
  return (database, page) => {
    const spoilt = Buffer.from(database);
    contentsOf(database, page).copy(spoilt, page * pageSize);
    return [spoilt];
  };
}

/** Copies of a database in each of which one word of the page, of two bytes, is wrong: those of its header, and some of its nodes. */
function wrongWords(database: Buffer, page: number): Buffer[] {
  const headerWords = 12;
  const copies: Buffer[] = [];
  let state = page + 1;
  for (let word = 0; word < headerWords + 4; word += 1) {
    state = nextRandom(state);
    const position = word < headerWords ? word : (state >> 8) % (pageSize / 2);
    const spoilt = Buffer.from(database);
    spoilt.writeUInt16LE((state >> 4) & 0xffff, page * pageSize + 2 * position);
    copies.push(spoilt);
  }
  return copies;
}

const spoils: Readonly<Record<string, Spoil>> = {
  zeros: replacing(() => Buffer.alloc(pageSize)),
  ones: replacing(() => Buffer.alloc(pageSize, 0xff)),
  "random bytes": replacing((_database, page) => randomBytes(pageSize, page)),
  "the page before it": replacing((database, page) =>
    database.subarray((page - 1) * pageSize, page * pageSize),
  ),
  "one wrong word in each place": wrongWords,
};

function startsSpoilt(this: World, contents: string): void {
  const database = this.initial["data.mdb"]!;
  this.spoilt = new Map();
  for (let page = firstPage; page < database.length / pageSize; page += 1)
    for (const [index, spoilt] of spoils[contents]!(database, page).entries())
      this.spoilt.set(`page-${page}-${index}`, spoilt);
  for (const [name, spoilt] of this.spoilt)
    writeFolder(join(this.diskFolder!, name), { ...this.initial, "data.mdb": spoilt });
  const program = fileURLToPath(new URL("spoilt-folders-process.js", import.meta.url));
  const { signal, stdout } = spawnSync(
    process.execPath,
    [program, this.diskFolder!, ...this.spoilt.keys()],
    { encoding: "utf8", stdio: ["ignore", "pipe", "ignore"] },
  );
  this.endedBy = signal;
  this.starts = stdout
    .split("\n")
    .filter((line) => line !== "")
    .map((line) => JSON.parse(line) as SpoiltStart);
}
When(
  /^each page in turn holds (.+), and the machine starts and writes$/,
  stepOptions,
  startsSpoilt,
);

function noSignal(this: World): void {
  const names = [...this.spoilt.keys()];
  equal(this.endedBy, null, `the start of ${names[this.starts.length]} ended with a signal`);
  equal(this.starts.length, names.length, `no start of ${names[this.starts.length]}`);
}
Then("no start ends with a signal", noSignal);

function eachHasDatabase(this: World): void {
  let replacements = 0;
  for (const [index, [name, spoilt]] of [...this.spoilt].entries()) {
    const { refusal, identity, isReplacement, records } = this.starts[index]!;
    equal(refusal, undefined, name);
    if (isReplacement === true) {
      replacements += 1;
      deepEqual(fs.readFileSync(join(this.diskFolder!, name, "data.mdb.damaged")), spoilt, name);
      continue;
    }
    equal(identity, this.identity, name);
    equal(records, recordCount, name);
  }
  ok(replacements > 0, "no damage was found");
}
Then(
  "each machine has its database, or is a replacement that keeps the damaged one",
  eachHasDatabase,
);

/** Records to write, or a start of the process. */
type Action = readonly RecordLength[] | "start";

const recordLength = fc.tuple(
  fc.oneof(
    fc.integer({ min: 0, max: 400 }).map((key) => `${key}${"-".repeat(key)}`),
    fc.integer({ min: 1, max: 300 }).map((length) => "k".repeat(length)),
  ),
  fc.oneof(fc.constant(0), fc.integer({ min: 1, max: 3_000 }), fc.integer({ min: 1, max: 90_000 })),
);
const actions = fc.array(
  fc.oneof(
    { weight: 8, arbitrary: fc.array(recordLength, { minLength: 1, maxLength: 120 }) },
    { weight: 1, arbitrary: fc.constant("start" as const) },
  ),
  { minLength: 5, maxLength: 25 },
);
const propertySeed = 49;
const propertyRuns = 40;

async function drawnDatabases(this: World): Promise<void> {
  this.diskFolder = fs.mkdtempSync(join(tmpdir(), "chutewick-pages-"));
  this.checks = 0;
  let run = 0;
  const property = fc.asyncProperty(actions, async (drawn) => {
    run += 1;
    await writeDrawn(this, join(this.diskFolder!, `run-${run}`), drawn);
  });
  await fc.assert(property, { seed: propertySeed, numRuns: propertyRuns });
}
When("databases are written with drawn records and starts in between", stepOptions, drawnDatabases);

async function writeDrawn(world: World, folder: string, drawn: readonly Action[]): Promise<void> {
  let disk = await openDisk(folder);
  for (const action of drawn) {
    if (action === "start") {
      await disk.close();
      disk = await openDisk(folder);
    } else await writeRecords(disk, action);
    equal(disk.damage, undefined);
    equal(inspectDatabaseFile(join(folder, "data.mdb")).damage, undefined);
    world.checks += 1;
  }
  await disk.close();
  fs.rmSync(folder, { recursive: true });
}

function noDamage(this: World): void {
  ok(this.checks > propertyRuns);
}
Then("the check finds no damage after any of their commits", noDamage);

function removeFolder(this: World): void {
  if (this.diskFolder !== undefined) fs.rmSync(this.diskFolder, { recursive: true, force: true });
}
After(removeFolder);
