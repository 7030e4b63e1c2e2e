/**
 * Crashes of a process or of its machine between the writes of a start. The functions of `node:fs` are replaced for this test process, so
 * that a start ends before a chosen write, and what was not synced then can be taken back.
 */
import fs from "node:fs";
import { syncBuiltinESMExports } from "node:module";
import { dirname } from "node:path";

/** Thrown in place of a write, and of all later ones, once the process counts as killed. */
class CrashError extends Error {}

/** A change of names or contents that a loss of power may take back. */
interface UnsyncedChange {
  readonly path: string;
  readonly undo: () => void;
}

const original = { ...fs };

export type Files = Record<string, Buffer>;

/** Contents of a folder by file name. */
export function readFolder(folder: string): Files {
  const files: Files = {};
  for (const name of original.readdirSync(folder).sort())
    files[name] = original.readFileSync(`${folder}/${name}`);
  return files;
}

/** Replaces the contents of a folder. */
export function writeFolder(folder: string, files: Files): void {
  original.rmSync(folder, { recursive: true, force: true });
  original.mkdirSync(folder, { recursive: true });
  for (const [name, bytes] of Object.entries(files))
    original.writeFileSync(`${folder}/${name}`, bytes);
}

/** Replaces functions of `node:fs` while an action runs. */
export async function withReplaced<Result>(
  functions: Partial<typeof fs>,
  action: () => Promise<Result>,
): Promise<Result> {
  Object.assign(fs, functions);
  syncBuiltinESMExports();
  try {
    return await action();
  } finally {
    for (const name of Object.keys(functions) as (keyof typeof fs)[])
      Object.assign(fs, { [name]: original[name] });
    syncBuiltinESMExports();
  }
}

/** Lets the writes of this process pass until a chosen one, and records which of them are not synced. */
export class CrashingFiles {
  /** Writes begun so far, without those of lmdb. */
  writes = 0;
  #crashAt: number;
  #hasCrashed = false;
  #unsynced: UnsyncedChange[] = [];
  #paths = new Map<number, string>();

  /** @param crashAt number of the write before which the process is killed; Infinity for none */
  constructor(crashAt: number) {
    this.#crashAt = crashAt;
  }

  get hasCrashed(): boolean {
    return this.#hasCrashed;
  }

  /** Runs a start with the functions of `node:fs` under the control of this object. */
  async run<Result>(start: () => Promise<Result>): Promise<Result> {
    return withReplaced({ ...this.#names(), ...this.#contents() }, start);
  }

  /** Number of sets of unsynced changes that a loss of power may take back; set 0 is empty. */
  get lossCount(): number {
    return 2 ** this.#unsynced.length;
  }

  /** Takes back the unsynced changes of a set. */
  lose(set: number): void {
    const lost = this.#unsynced.filter((_change, index) => (set & (1 << index)) !== 0);
    for (const { undo } of lost.reverse()) undo();
  }

  #begin(): void {
    if (!this.#hasCrashed && this.writes === this.#crashAt) this.#hasCrashed = true;
    if (this.#hasCrashed) throw new CrashError("killed");
    this.writes += 1;
  }

  /** Functions that change contents. */
  #contents(): Partial<typeof fs> {
    const self = this;
    function openSync(path: string, flags: string): number {
      const isNew = flags !== "r" && !original.existsSync(path);
      if (isNew) self.#begin();
      const descriptor = original.openSync(path, flags);
      self.#paths.set(descriptor, path);
      if (isNew) self.#unsynced.push({ path, undo: () => removeFile(path) });
      return descriptor;
    }
    function fsyncSync(descriptor: number): void {
      self.#begin();
      original.fsyncSync(descriptor);
      self.#synced(self.#paths.get(descriptor)!);
    }
    function writeFileSync(path: string, text: string): void {
      self.#begin();
      original.writeFileSync(path, text);
    }
    function writeSync(descriptor: number, bytes: Buffer): number {
      self.#begin();
      return original.writeSync(descriptor, bytes);
    }
    return { openSync, fsyncSync, writeFileSync, writeSync } as Partial<typeof fs>;
  }

  /** Functions that change names. */
  #names(): Partial<typeof fs> {
    const self = this;
    function renameSync(from: string, to: string): void {
      self.#begin();
      const replaced = original.existsSync(to) ? original.readFileSync(to) : undefined;
      original.renameSync(from, to);
      function undo(): void {
        original.renameSync(to, from);
        if (replaced !== undefined) original.writeFileSync(to, replaced);
      }
      self.#unsynced.push({ path: from, undo });
    }
    function rmSync(path: string, options?: fs.RmOptions): void {
      if (!original.existsSync(path)) return original.rmSync(path, options);
      self.#begin();
      const removed = original.readFileSync(path);
      original.rmSync(path, options);
      if (path.endsWith("probe") || path.endsWith("lock.mdb")) return;
      function undo(): void {
        if (!original.existsSync(path)) original.writeFileSync(path, removed);
      }
      self.#unsynced.push({ path, undo });
    }
    return { renameSync, rmSync } as Partial<typeof fs>;
  }

  /** A sync of a folder makes the names in it durable, and a sync of a file its own name too. */
  #synced(path: string): void {
    this.#unsynced = this.#unsynced.filter(
      (change) => change.path !== path && dirname(change.path) !== path,
    );
  }
}

function removeFile(path: string): void {
  original.rmSync(path, { force: true });
}
