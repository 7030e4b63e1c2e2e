/** Lock of a data folder: a file that names the process that uses the folder (docs/design.md §10.2). */
import { existsSync, readFileSync, writeFileSync } from "node:fs";

/** What identifies a process: its start time tells a reused process id from the earlier process. */
interface FolderHolder {
  readonly processId: string;
  /** Start time in clock ticks since the machine started. */
  readonly startTicks: string;
}

/** Locks a folder for this process and returns undefined, or returns the id of the running process that has locked it. */
export function lockFolder(file: string): string | undefined {
  const holder = readHolder(file);
  if (holder !== undefined && isOtherRunningProcess(holder)) return holder.processId;
  writeFileSync(file, `${process.pid} ${readStartTicks("self") ?? "0"}`);
  return undefined;
}

/** Reads a lock file; undefined if there is none or a process was killed while it wrote it. */
function readHolder(file: string): FolderHolder | undefined {
  if (!existsSync(file)) return undefined;
  const [processId, startTicks] = readFileSync(file, "utf8").split(" ");
  if (!processId || !startTicks) return undefined;
  return { processId, startTicks };
}

function isOtherRunningProcess({ processId, startTicks }: FolderHolder): boolean {
  if (Number(processId) === process.pid) return false;
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
