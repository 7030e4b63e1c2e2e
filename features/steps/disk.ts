import { equal, notEqual, ok } from "node:assert/strict";
import {
  mkdtempSync,
  readFileSync,
  renameSync,
  rmSync,
  statSync,
  truncateSync,
  writeFileSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { constants, type Change, type ChainWrite, type Outcome } from "@chutewick/parts";
import { Disk } from "@chutewick/shell";
import { usedBytes } from "./folder.js";

interface World {
  diskFolder?: string;
  disk: Disk;
  opened: Outcome<Disk>;
  identity: string;
}

const pageSize = 4_096;

function unexpected(what: string): void {
  throw new Error(`the disk is ${what}`);
}

const listener = { changed: unexpected, waiting: unexpected };

function databaseFileOf(world: World): string {
  return join(world.diskFolder!, "data.mdb");
}

async function open(world: World): Promise<Outcome<Disk>> {
  return Disk.open(world.diskFolder!, { kind: "storage", name: "storage-1" }, listener);
}

async function aFolder(this: World): Promise<void> {
  this.diskFolder = mkdtempSync(join(tmpdir(), "chutewick-disk-"));
  const opened = await open(this);
  if (!opened.ok) throw new Error(opened.reason);
  this.disk = opened.value;
}
Given("a new data folder", aFolder);

function writeChanges(disk: Disk, changes: readonly Change[], place: number): Promise<void> {
  const write: ChainWrite = {
    clear: false,
    changes,
    entries: [],
    drop: [],
    state: { place, time: 0, confirmed: place, view: { mark: 1, members: [] } },
  };
  function begin(resolve: () => void): void {
    disk.writeChain("q", write, resolve);
  }
  return new Promise<void>(begin);
}

async function manyChanges(this: World): Promise<void> {
  const value = "x".repeat(40_000);
  for (let count = 0; count < 200; count += 1)
    await writeChanges(this.disk, [[`k${count}`, value]], count + 1);
  for (let count = 0; count < 200; count += 2)
    await writeChanges(this.disk, [[`k${count}`, undefined]], 201 + count);
}
When("200 changes of 40,000 bytes are written and half of them are removed again", manyChanges);

function isLonger(this: World): void {
  const { size } = statSync(databaseFileOf(this));
  ok(
    size >= usedBytes(databaseFileOf(this)) + constants.diskPreallocationBytes / 2,
    `${size} bytes of which ${usedBytes(databaseFileOf(this))} are used`,
  );
}
Then("the file is longer than its last page by at least half of the reserved length", isLonger);

async function holdsWritten(this: World): Promise<void> {
  await this.disk.close();
  const opened = await open(this);
  if (!opened.ok) throw new Error(opened.reason);
  equal(opened.value.holding("q")!.records.length, 100);
  await opened.value.close();
}
Then("when it is opened again it holds what was written", holdsWritten);

async function leaveFile(this: World, what: string): Promise<void> {
  await writeChanges(this.disk, [["k", "x".repeat(40_000)]], 1);
  this.identity = this.disk.identity;
  await this.disk.close();
  damage(this, what);
  this.opened = await open(this);
}
When(/^its file is left (.+)$/, leaveFile);

function damage(world: World, what: string): void {
  const file = databaseFileOf(world);
  const marker = join(world.diskFolder!, "begun");
  if (what.startsWith("without its last used page")) truncateSync(file, usedBytes(file) - pageSize);
  else if (what.startsWith("with zeros")) zeroPages(file);
  else if (what.startsWith("out of the folder")) rmSync(file);
  else if (what.startsWith("set aside")) renameSync(file, `${file}.damaged`);
  else truncateSync(file, 0);
  if (what.includes("before its first") || what.endsWith("without its marker")) rmSync(marker);
}

/** Fills all pages except the two meta pages with zeros. */
function zeroPages(file: string): void {
  const bytes = readFileSync(file);
  bytes.fill(0, pageSize * 2);
  writeFileSync(file, bytes);
}

async function isNew(this: World, may: string): Promise<void> {
  if (!this.opened.ok) throw new Error(this.opened.reason);
  const disk = this.opened.value;
  equal(disk.chains().length, 0);
  notEqual(disk.identity, this.identity);
  equal(disk.isReplacement, may === "may not");
  await disk.close();
  const again = await open(this);
  if (!again.ok) throw new Error(again.reason);
  equal(again.value.identity, disk.identity);
  equal(again.value.isReplacement, may === "may not");
  await again.value.close();
}
Then(/^it is opened as a new one that (may|may not) found a group$/, isNew);

function isRefused(this: World): void {
  ok(!this.opened.ok && this.opened.reason.includes("is cut off"));
}
Then("it is refused as cut off", isRefused);

function removeFolder(this: World): void {
  if (this.diskFolder !== undefined) rmSync(this.diskFolder, { recursive: true, force: true });
}
After(removeFolder);
