import { request } from "undici";
import { ports, type Machine } from "../system/machine.js";
import type { SoakSystem } from "./system.js";
import type { Violations } from "./violations.js";

const answerPatience = 2_000;

/** Sums the counters that each process keeps of its own broken invariants. */
export async function checkOwnCounters(system: SoakSystem, violations: Violations): Promise<void> {
  const machines = [...system.diskMachines(), ...system.machines("access")];
  for (const machine of machines) {
    const counters = await countersOf(machine);
    if (counters === undefined) continue;
    let sum = 0;
    for (const count of Object.values(counters)) sum += Number(count);
    if (sum > 0) violations.add("OWN_COUNTERS", `${machine.name}: ${JSON.stringify(counters)}`);
  }
}

/** Undefined where the process does not tell any. */
async function countersOf({ ip }: Machine): Promise<Record<string, unknown> | undefined> {
  try {
    const told = await request(`http://${ip}:${ports.own}/status`, {
      signal: AbortSignal.timeout(answerPatience),
    });
    const status = (await told.body.json()) as { violations?: Record<string, unknown> };
    return status.violations;
  } catch {
    return undefined;
  }
}
