import { readFileSync } from "node:fs";
import type { Log } from "@chutewick/shell";

/** What a process has used so far, by the kernel's count. */
export interface Use {
  /** ms of the processor. */
  readonly processor: number;
  /** Bytes resident. */
  readonly memory: number;
  /** Bytes written to storage. */
  readonly written: number;
}

const tickMs = 10;
const pageBytes = 4_096;

export function useOf(process: number): Use {
  const line = readFileSync(`/proc/${process}/stat`, "utf8");
  const fields = line.slice(line.lastIndexOf(")") + 2).split(" ");
  const written = /^write_bytes: (\d+)$/m.exec(readFileSync(`/proc/${process}/io`, "utf8"));
  return {
    processor: (Number(fields[11]) + Number(fields[12])) * tickMs,
    memory: Number(fields[21]) * pageBytes,
    written: Number(written?.[1] ?? 0),
  };
}

/** ms of the processor that this process has had so far: a wait for the processor, on a busy machine, does not count. */
export function spent(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / 1_000;
}

export function pause(milliseconds: number): Promise<void> {
  function begin(resolve: () => void): void {
    setTimeout(resolve, milliseconds);
  }
  return new Promise<void>(begin);
}

function silent(): void {
  /* Hollow nodes keep no log. */
}

/** A log that nobody reads. */
export const quiet = { info: silent, error: silent, warn: silent, debug: silent } as unknown as Log;
