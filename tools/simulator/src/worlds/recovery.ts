import type { LotClients } from "./lot-clients.js";
import type { Operators } from "./operators.js";
import type { Site } from "./site.js";

/** ms between two looks, and between two probes. */
const LOOK_EVERY = 50;
const PROBE_EVERY = 300;

interface Served {
  orderAt: number | undefined;
  lotAt: number | undefined;
}

/**
 * Runs virtual time on until orders and lots are taken again and every node that runs serves what is
 * in force; a violation where that takes longer than the deployment's own bound.
 */
export function awaitRecovery(site: Site, operators: Operators, lots: LotClients): void {
  const healedAt = site.now;
  const bound = site.bounds.recoverWithin;
  const served: Served = { orderAt: undefined, lotAt: undefined };
  let over = false;
  const probe = (): void => {
    if (over) return;
    probeOrder(site, operators, served);
    if (served.lotAt === undefined)
      lots.handIn((taken) => {
        if (taken) served.lotAt ??= site.now;
      });
    site.deployment.world.after(PROBE_EVERY, probe);
  };
  probe();
  while (!isServed(site, served) && site.now - healedAt <= bound * 2) site.wait(LOOK_EVERY);
  over = true;
  const took = site.now - healedAt;
  site.history.recoveries.push({ healedAt, took });
  if (took > bound)
    site.history.violate(
      "service",
      `back ${Math.round(took)} ms after ${Math.round(healedAt)}: ${reasons(site, served)}`,
    );
}

function probeOrder(site: Site, operators: Operators, served: Served): void {
  if (served.orderAt !== undefined) return;
  operators.read(site.chance.pick(site.controls), (mark) => {
    if (mark === undefined) return;
    operators.submit(operators.newOrder(mark, mark + 1), (end) => {
      if (end === "confirmed") served.orderAt ??= site.now;
    });
  });
}

function isServed(site: Site, served: Served): boolean {
  return (
    served.orderAt !== undefined && served.lotAt !== undefined && nodesBehind(site).length === 0
  );
}

/** Access nodes that run and do not serve. */
function nodesBehind(site: Site): string[] {
  const behind: string[] = [];
  for (const node of site.accesses) {
    if (!node.alive || node.frozen) continue;
    if (!node.core.membership.holds(site.now)) behind.push(node.name);
  }
  return behind;
}

function reasons(site: Site, { orderAt, lotAt }: Served): string {
  return `order at ${orderAt ?? "no time"}, lot at ${lotAt ?? "no time"}, nodes without lease: ${nodesBehind(site).join(" ") || "none"}; members ${site.deployment.members.join(" ")}`;
}
