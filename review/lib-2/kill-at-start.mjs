/** Kills a process while it creates the database in its empty data folder. */
import { existsSync, readdirSync, statSync } from "node:fs";
import { join } from "node:path";

/** An lmdb file begins with two pages. */
const firstBytes = 8192;
const hitTimeoutMs = 10_000;

function sizeOf(file) {
  try {
    return statSync(file).size;
  } catch {
    return 0;
  }
}

/**
 * Kills the process as soon as its database file has its first pages.
 * @returns the files that it left, or undefined if the moment was missed
 */
export async function killWhileCreating(machine) {
  const file = join(machine.dataPath, "data.mdb");
  const until = Date.now() + hitTimeoutMs;
  // Looks without a pause, since the moment is short.
  while (sizeOf(file) < firstBytes) if (Date.now() > until) return undefined;
  machine.signal("SIGKILL");
  while (machine.isUp) await new Promise((resolve) => setImmediate(resolve));
  if (existsSync(join(machine.dataPath, "begun"))) return undefined;
  return readdirSync(machine.dataPath).sort().join(", ");
}
