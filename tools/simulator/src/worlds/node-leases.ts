import type { AccessMachine } from "../machines.js";
import { observeNodes } from "./observers.js";
import { Session } from "./session.js";
import type { Site } from "./site.js";

const ROUNDS = 6;
/** ms between two looks at what a node with a lease serves. */
const LOOK_EVERY = 15;
/** ms. */
const AWAY = [300, 9_000] as const;
const BACK_AFTER = [0, 3_500] as const;
const ROUND_LASTS = [1_500, 6_000] as const;
/** Part of the rounds in which one that counts stays away until the next. */
const ONE_STAYS_AWAY = 0.5;

const nodeTroubles = ["isolated", "hears nothing", "is not heard", "frozen", "restarted"] as const;
const coreTroubles = ["none", "restart of all", "restart of some", "freeze of some"] as const;

/**
 * Access nodes miss changes, each in its own way, while all core machines or some of them are restarted or frozen at one moment:
 * whoever comes back first must not let a node go on by what it missed.
 */
export function playNodeLeases(seed: number): Site {
  const session = new Session(seed, { pause: [50, 400] });
  const { site } = session;
  session.begin();
  observeNodes(site, LOOK_EVERY);
  for (let round = 0; round < ROUNDS; round += 1) {
    for (const node of site.accesses) troubleNode(site, node);
    site.wait(site.chance.between(0, 3_000));
    troubleCores(site);
    site.wait(site.chance.between(...ROUND_LASTS));
    session.recover();
  }
  session.end();
  return site;
}

function troubleNode(site: Site, node: AccessMachine): void {
  const { chance, deployment } = site;
  const trouble = chance.pick(nodeTroubles);
  site.history.fault(`node ${trouble}`);
  const controls = site.controls.map(({ address }) => address);
  switch (trouble) {
    case "isolated":
      for (const control of controls) deployment.world.cut(control, node.address);
      break;
    case "hears nothing":
      for (const control of controls) deployment.silence(control, node.address);
      break;
    case "is not heard":
      for (const control of controls) deployment.silence(node.address, control);
      break;
    case "frozen":
      node.freeze();
      break;
    case "restarted":
      node.kill(true);
      break;
  }
  function end(): void {
    for (const control of controls) deployment.world.join(control, node.address);
    deployment.hear();
    node.wake();
    if (!node.alive) node.start();
  }
  deployment.world.after(chance.between(...AWAY), end);
}

/** Without the loss of a disk any number may be away at one moment. */
function troubleCores(site: Site): void {
  const { chance, deployment } = site;
  const trouble = chance.pick(coreTroubles);
  site.history.fault(`core: ${trouble}`);
  if (trouble === "none") return;
  const staysAway = chance.happens(ONE_STAYS_AWAY) ? chance.pick(site.cores) : undefined;
  for (const core of site.cores) {
    if (trouble !== "restart of all" && chance.happens(0.5)) continue;
    const isFrozen = trouble === "freeze of some";
    if (isFrozen) for (const machine of site.processes(core)) machine.freeze();
    else site.kill(core, chance.happens(0.5) ? "power" : "kill");
    if (core === staysAway) continue;
    deployment.world.after(chance.between(...BACK_AFTER), () => {
      for (const machine of site.processes(core)) machine.wake();
      site.startCore(core);
    });
  }
}
