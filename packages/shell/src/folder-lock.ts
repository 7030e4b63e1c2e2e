/** Lock of a data folder: a file that names the process that uses the folder (docs/design.md §10.2). */
import { existsSync, readFileSync, writeFileSync } from "node:fs";

/** What identifies a process: process ids and start times repeat after the machine has started again. */
interface FolderHolder {
  readonly processId: string;
  /** Start time in clock ticks since the machine started. */
  readonly startTicks: string;
  /** Random id of this start of the machine; undefined where it is not known. */
  readonly bootId: string | undefined;
}

/** Locks a folder for this process and returns undefined, or returns the id of the running process that has locked it. */
export function lockFolder(file: string): string | undefined {
  const holder = readHolder(file);
  if (holder !== undefined && isOtherRunningProcess(holder)) return holder.processId;
  const startTicks = readStartTicks("self") ?? "0";
  writeFileSync(file, [process.pid, startTicks, readBootId() ?? ""].join(" ").trimEnd());
  return undefined;
}

/** Reads a lock file; undefined if there is none or a process was killed while it wrote it. */
function readHolder(file: string): FolderHolder | undefined {
  if (!existsSync(file)) return undefined;
  const [processId, startTicks, bootId] = readFileSync(file, "utf8").split(" ");
  if (!processId || !startTicks) return undefined;
  return { processId, startTicks, bootId };
}

function isOtherRunningProcess({ processId, startTicks, bootId }: FolderHolder): boolean {
  if (Number(processId) === process.pid) return false;
  const currentBootId = readBootId();
  if (bootId !== undefined && currentBootId !== undefined && bootId !== currentBootId) return false;
  return readStartTicks(processId) === startTicks;
}

/** Start time of a process in clock ticks since the machine started; undefined if there is no such process. */
function readStartTicks(processId: string): string | undefined {
  try {
    const line = readFileSync(`/proc/${processId}/stat`, "utf8");
    return line.slice(line.lastIndexOf(")") + 2).split(" ")[19];
  } catch {
    return undefined;
  }
}

function readBootId(): string | undefined {
  try {
    return readFileSync("/proc/sys/kernel/random/boot_id", "utf8").trim();
  } catch {
    return undefined;
  }
}
