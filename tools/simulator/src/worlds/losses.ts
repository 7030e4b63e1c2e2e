import type { Site } from "./site.js";

export type LossKind = "kill" | "power" | "wipe";
export const lossKinds: readonly LossKind[] = ["kill", "power", "wipe", "wipe"];

/** ms between two looks whether another machine may be lost. */
const LOOK_EVERY = 50;

/** Runs virtual time on until one more machine may be lost. */
export function waitForBudget(site: Site): void {
  while (site.lossesLeft <= 0) site.wait(LOOK_EVERY);
}

/** Takes a core machine down, and brings it back after so many ms; it counts as lost until it is synchronised. */
export function loseFor(site: Site, core: number, how: LossKind, down: number): void {
  site.history.fault(how);
  site.countLost(core);
  site.kill(core, how);
  site.deployment.world.after(down, () => {
    site.startCore(core);
    site.countBack(core);
  });
}

/** A machine that does not count as lost: the leading one in two of five picks. */
export function pickVictim(site: Site, spared: readonly number[] = []): number | undefined {
  const able = site.cores.filter((core) => site.isCounted(core) && !spared.includes(core));
  if (able.length === 0) return undefined;
  const head = site.headCore();
  return able.includes(head) && site.chance.happens(0.4) ? head : site.chance.pick(able);
}
