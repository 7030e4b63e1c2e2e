/** A walk through the starts of a process with a data folder: each is cut short at each of its writes, and what that leaves is started too. */
import { equal, ok } from "node:assert/strict";
import fs from "node:fs";
import { join } from "node:path";
import type { Outcome } from "@chutewick/parts";
import { Disk } from "@chutewick/shell";
import { CrashingFiles, readFolder, writeFolder, type Files } from "./crashing-files.js";
import { blankDatabase, pageSize, withoutPages } from "./folder-states.js";
import { usedBytes } from "./folder.js";

/** A machine whose process starts again and again. */
export interface StartingMachine {
  /** Kind of machine: control or storage. */
  readonly kind: string;
  /** Its data folder. */
  readonly folder: string;
}

/** A folder as a start that was cut short left it, with how it came about. */
interface LeftFolder {
  readonly files: Files;
  readonly history: readonly string[];
}

/** What a start of a left folder has brought. */
export interface StartResult {
  readonly history: readonly string[];
  readonly identity: string;
  readonly isReplacement: boolean;
  readonly hasRecord: boolean;
  readonly files: Files;
}

/** What a walk has found. */
export interface WalkResult {
  /** The starts that were not cut short, each of another folder. */
  readonly results: StartResult[];
  /** Number of starts that were cut short. */
  crashes: number;
}

/** Folders that a walk may reach at most; one that finds more has not come to its end. */
const maxLeftFolders = 400;

function ignore(): void {
  // The walk judges a start by its outcome.
}

const listener = { changed: ignore, waiting: ignore };

/** Starts the process of a machine as far as its data folder. */
export function openDisk({ kind, folder }: StartingMachine): Promise<Outcome<Disk>> {
  return Disk.open(folder, { kind, name: `${kind}-1` }, listener);
}

/** The same for a start that must succeed. */
export async function openedDisk(machine: StartingMachine): Promise<Disk> {
  const opened = await openDisk(machine);
  if (!opened.ok) throw new Error(opened.reason);
  return opened.value;
}

/** Contents of a folder without the reserved space of its database and without its lock files. */
export function trimmed(folder: string): Files {
  const { "lock.mdb": _lock, process: _process, ...files } = readFolder(folder);
  if ((files["data.mdb"]?.length ?? 0) >= 2 * pageSize && files["data.mdb"]!.readUInt32LE(24) !== 0)
    files["data.mdb"] = files["data.mdb"]!.subarray(0, usedBytes(join(folder, "data.mdb")));
  return files;
}

/** Runs a start until a write; the outcome is undefined if it was cut short there. */
export async function startUntil(
  machine: StartingMachine,
  crashAt: number,
): Promise<{ crashing: CrashingFiles; opened: Outcome<Disk> | undefined }> {
  const crashing = new CrashingFiles(crashAt);
  const opened = await crashing.run(() => openDisk(machine));
  return { crashing, opened: crashing.hasCrashed ? undefined : opened };
}

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
  machine: StartingMachine,
  walk: WalkResult,
  left: LeftFolder,
  found: Map<string, LeftFolder>,
): Promise<void> {
  let hadDatabase = true;
  for (let crashAt = 0; ; crashAt += 1) {
    let hasDatabase = false;
    let lossCount = 1;
    for (let set = 0; set < lossCount; set += 1) {
      writeFolder(machine.folder, left.files);
      const { crashing, opened } = await startUntil(machine, crashAt);
      lossCount = crashing.lossCount;
      hasDatabase ||= fs.existsSync(join(machine.folder, "data.mdb"));
      const wasCreated = hasDatabase && !hadDatabase;
      if (opened !== undefined) {
        equal(lossCount, 1, `${left.history.join("; ")}: the start leaves something unsynced`);
        const created = wasCreated ? formsOf(machine, true) : [];
        addAll(found, created, [...left.history, "creation of the database"]);
        return endWalk(machine, walk, left, opened);
      }
      walk.crashes += 1;
      crashing.lose(set);
      const history = [...left.history, `write ${crashAt}, lost set ${set}`];
      addAll(found, formsOf(machine, wasCreated), history);
    }
    hadDatabase = hasDatabase;
  }
}

/** The forms in which a crash may have left the folder, if lmdb created the database since the write before. */
function formsOf({ folder }: StartingMachine, wasCreated: boolean): Files[] {
  const files = trimmed(folder);
  if (!wasCreated) return [files];
  return [files, ...formsOfCreation(files, blankDatabase(folder))];
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
async function endWalk(
  machine: StartingMachine,
  walk: WalkResult,
  left: LeftFolder,
  opened: Outcome<Disk>,
): Promise<void> {
  if (!opened.ok) throw new Error(`${left.history.join("; ")}: ${opened.reason}`);
  const { identity, isReplacement } = opened.value;
  await opened.value.close();
  const again = await openedDisk(machine);
  equal(again.identity, identity, left.history.join("; "));
  equal(again.isReplacement, isReplacement, left.history.join("; "));
  const hasRecord = again.holding("chain")?.records[0]?.[0] === "acknowledged";
  await again.close();
  const files = readFolder(machine.folder);
  walk.results.push({ history: left.history, identity, isReplacement, hasRecord, files });
}

/** Walks through the starts of a machine whose folder begins with these files. */
export async function walkStarts(machine: StartingMachine, initial: Files): Promise<WalkResult> {
  const walk: WalkResult = { results: [], crashes: 0 };
  const found = new Map<string, LeftFolder>();
  found.set(signatureOf(initial), { files: initial, history: ["initial"] });
  for (const left of found.values()) {
    await cutShort(machine, walk, left, found);
    ok(found.size <= maxLeftFolders, `more than ${maxLeftFolders} folders`);
  }
  return walk;
}
