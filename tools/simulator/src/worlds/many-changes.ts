import type { ControlMachine } from "../machines.js";
import type { Machine } from "../world.js";
import { loseFor, waitForBudget } from "./losses.js";
import { Session } from "./session.js";
import type { Site } from "./site.js";

const CHANGES = 300;
/** Changes under way at once. */
const WRITERS = 3;
const CHANGES_MOST_TIME = 240_000;
const AWAY = [3_000, 15_000] as const;
const DOWN = [200, 3_000] as const;

/**
 * After 300 changes, with nodes away meanwhile, each control member is restarted, wiped and replaced in
 * turn; each must catch up, and none may lead with old state.
 */
export function playManyChanges(seed: number): Site {
  const session = new Session(seed, { pause: [400, 1_500] });
  const { site } = session;
  session.begin(0);
  const away = keepAway(site);
  makeChanges(session);
  away.stopped = true;
  session.operators.keepOrdering();
  for (const core of site.cores) {
    takeTurn(session, core, restart);
    takeTurn(session, core, wipe);
    takeTurn(session, core, replace);
  }
  session.end();
  return site;
}

function makeChanges({ site, operators }: Session): void {
  let made = 0;
  let next = 2;
  const write = (): void => {
    if (made >= CHANGES) return;
    operators.read(site.chance.pick(site.controls), (mark) => {
      if (mark === undefined) return void site.deployment.world.after(100, write);
      next = Math.max(next, mark + 1);
      operators.submit(operators.newOrder(mark, next), (end) => {
        if (end === "confirmed") made += 1;
        write();
      });
    });
  };
  for (let writer = 0; writer < WRITERS; writer += 1) write();
  const began = site.now;
  while (made < CHANGES && site.now - began < CHANGES_MOST_TIME) site.wait(100);
  site.history.counts["changes made"] = made;
  if (made < CHANGES) site.history.violate("changes", `only ${made} of ${CHANGES} were taken`);
}

/** Access nodes and storage processes go away and come back, one at a time, until stopped. */
function keepAway(site: Site): { stopped: boolean } {
  const { chance, deployment } = site;
  const state = { stopped: false };
  function leave(): void {
    if (state.stopped) return;
    const node: Machine = chance.happens(0.5)
      ? chance.pick(site.accesses)
      : site.storage(chance.pick(site.cores));
    const how = chance.pick(["freeze", "kill", "isolate"] as const);
    site.history.fault(`node away by ${how}`);
    if (how === "freeze") node.freeze();
    else if (how === "kill") node.kill(true);
    else deployment.world.isolate(node.address);
    deployment.world.after(chance.between(...AWAY), () => {
      deployment.world.mend();
      node.wake();
      if (!node.alive) node.start();
      deployment.world.after(chance.between(500, 2_000), leave);
    });
  }
  leave();
  return state;
}

/** One turn of one member: the fault, the recovery, and whether every member caught up. */
function takeTurn(session: Session, core: number, fault: (site: Site, core: number) => void): void {
  const { site } = session;
  waitForBudget(site);
  fault(site, core);
  waitForBudget(site);
  session.recover();
  checkCaughtUp(site);
}

function restart(site: Site, core: number): void {
  loseFor(site, core, site.chance.happens(0.5) ? "kill" : "power", site.chance.between(...DOWN));
}

function wipe(site: Site, core: number): void {
  loseFor(site, core, "wipe", site.chance.between(...DOWN));
}

function replace(site: Site, core: number): void {
  site.history.fault("replacement");
  site.addCore();
  site.wait(site.chance.between(0, 3_000));
  site.retire(core);
  site.countBack(core);
}

/** Each member of the group holds all that the head knows as confirmed at this moment, within the bound. */
function checkCaughtUp(site: Site): void {
  const target = site.deployment.head?.core.place ?? 0;
  const began = site.now;
  while (site.now - began < site.bounds.recoverWithin) {
    if (membersBehind(site, target).length === 0) return;
    site.wait(100);
  }
  const behind = membersBehind(site, target).map(({ name, core }) => `${name} at ${core.place}`);
  site.history.violate("catch-up", `${behind.join(", ")}: ${target} was confirmed`);
}

function membersBehind(site: Site, target: number): ControlMachine[] {
  const { members } = site.deployment;
  return site.controls.filter(
    ({ address, alive, core }) => members.includes(address) && alive && core.place < target,
  );
}
