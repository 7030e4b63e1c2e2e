import { loseFor, lossKinds, pickVictim, waitForBudget } from "./losses.js";
import { emptyStorage } from "./emptying.js";
import { Session } from "./session.js";
import type { Site } from "./site.js";

const ROUNDS = 4;
/** ms. A second loss comes this long after a step at most. */
const SECOND_LOSS_WITHIN = 5_000;
const DOWN = [200, 4_000] as const;
/** Part of the second losses that come at the first moment allowed. */
const AT_ONCE = 0.4;

/** After each step of a repair, replacement, emptying or planned stop another machine is lost. */
export function playSecondLoss(seed: number): Site {
  const session = new Session(seed);
  const { site } = session;
  session.begin();
  const operations = [repair, replaceNewFirst, replaceOldFirst, emptyAndRemove, plannedStop];
  for (let round = 0; round < ROUNDS; round += 1) {
    const operation = site.chance.pick(operations);
    operation(site);
    session.recover();
  }
  session.end();
  return site;
}

/** Loses one more machine 0 to 5 s from now, or as soon as the tolerance allows one. */
function secondLoss(site: Site, spared: readonly number[] = []): void {
  const { chance } = site;
  waitForBudget(site);
  if (!chance.happens(AT_ONCE)) site.wait(chance.between(0, SECOND_LOSS_WITHIN));
  const victim = site.lossesLeft > 0 ? pickVictim(site, spared) : undefined;
  if (victim === undefined) return;
  site.history.fault("second loss");
  loseFor(site, victim, chance.pick(lossKinds), chance.between(...DOWN));
}

function repair(site: Site): void {
  const { chance } = site;
  waitForBudget(site);
  const broken = pickVictim(site);
  if (broken === undefined) return;
  site.history.fault("repair");
  const down = chance.between(...DOWN);
  loseFor(site, broken, "wipe", down);
  secondLoss(site, [broken]);
  site.wait(down);
  secondLoss(site);
}

function replaceNewFirst(site: Site): void {
  waitForBudget(site);
  const old = pickVictim(site);
  if (old === undefined) return;
  site.history.fault("replacement, new first");
  const added = site.addCore();
  secondLoss(site, [old, added]);
  waitForBudget(site);
  site.retire(old);
  site.countBack(old);
  secondLoss(site);
}

function replaceOldFirst(site: Site): void {
  waitForBudget(site);
  const old = pickVictim(site);
  if (old === undefined) return;
  site.history.fault("replacement, old first");
  site.retire(old);
  site.countLost(old);
  if (site.lossesLeft > 0) secondLoss(site);
  site.wait(site.chance.between(0, SECOND_LOSS_WITHIN));
  site.addCore();
  site.countBack(old);
  secondLoss(site);
}

function emptyAndRemove(site: Site): void {
  waitForBudget(site);
  const leaving = pickVictim(site);
  if (leaving === undefined) return;
  site.history.fault("emptying");
  site.addCore();
  secondLoss(site, [leaving]);
  const emptied = emptyStorage(site, `storage-${leaving}`, () => secondLoss(site, [leaving]));
  if (!emptied) return;
  waitForBudget(site);
  site.retire(leaving);
  site.countBack(leaving);
  secondLoss(site);
}

function plannedStop(site: Site): void {
  const { chance } = site;
  waitForBudget(site);
  const stopped = pickVictim(site);
  if (stopped === undefined) return;
  site.history.fault("planned stop");
  site.countLost(stopped);
  site.control(stopped).leave();
  site.storage(stopped).leave();
  if (site.lossesLeft > 0) secondLoss(site, [stopped]);
  site.wait(chance.between(500, 3_000));
  site.kill(stopped, "kill");
  site.wait(chance.between(...DOWN));
  site.startCore(stopped);
  site.countBack(stopped);
  secondLoss(site, [stopped]);
}
