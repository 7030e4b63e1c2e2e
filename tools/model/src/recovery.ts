import { chainOf, heldInMemory } from "./inspect.js";
import type { NodeProcess } from "./process.js";
import type { World } from "./world.js";

/** Whether a group has come back to its full number, and every node works by what was confirmed. */
export function isSettled(world: World): boolean {
  return isWhole(world) && nodesWork(world);
}

/** As many members as there should be, each with all that was confirmed. */
export function isWhole(world: World): boolean {
  const { newest, toldMark } = world.history;
  for (const { leaving } of world.hosts.values()) if (leaving === "retire") return false;
  const wanted = Math.min(world.setup.seeds.length, world.setup.policy.controlsWanted);
  if (newest === undefined || newest.members.length < wanted) return false;
  for (const { identity, address } of newest.members) {
    const host = world.host(address);
    const chain = chainOf(host);
    if (chain === undefined || host.disk.identity !== identity) return false;
    if (chain.view?.mark !== newest.mark || chain.confirmed !== chain.place) return false;
    if (heldInMemory(chain).mark < toldMark) return false;
  }
  return true;
}

function nodesWork(world: World): boolean {
  for (const kind of ["access", "storage"] as const)
    for (const host of world.of(kind)) {
      const membership = (host.process as NodeProcess | undefined)?.membership;
      if (membership === undefined || !membership.holds(host.clock)) return false;
    }
  return true;
}
