import type { ControlMachine } from "../machines.js";
import { Session } from "./session.js";
import type { Site } from "./site.js";

const ROUNDS = 8;
/** Orders under way at once: pairs on one base under one number. */
const PAIRS = 4;
const ANSWERS_LOST = 0.7;
const LOSS_AFTER_CONFIRMATION = 0.12;
/** ms. The longest that a round may take before the next begins. */
const ROUND_MOST = 12_000;

/** Operators race in pairs, hear three answers in ten, and machines fall right after they confirmed. */
export function playRacingOrders(seed: number): Site {
  const session = new Session(seed, { answersLost: ANSWERS_LOST, patience: [300, 1_500] });
  const { site, operators } = session;
  session.begin(0);
  operators.confirmed = (machine) => loseAfterConfirmation(site, machine);
  for (let round = 0; round < ROUNDS; round += 1) raceOnce(session);
  operators.confirmed = undefined;
  session.end();
  return site;
}

function raceOnce(session: Session): void {
  const { site, operators } = session;
  const { chance } = site;
  let base: number | undefined;
  while (base === undefined) {
    operators.read(chance.pick(site.controls), (mark) => {
      base = mark;
    });
    site.wait(100);
  }
  let open = PAIRS * 2;
  const ended = (): void => {
    open -= 1;
  };
  for (let pair = 0; pair < PAIRS; pair += 1)
    for (const number of numbersOf(site, pair, base))
      operators.submit(operators.newOrder(number.base, number.next), ended);
  const began = site.now;
  while (open > 0 && site.now - began < ROUND_MOST) site.wait(50);
}

/**
 * Base and number of both orders of a pair. Most pairs race under one number; the last pair races under
 * two, and others may build on what another pair of the round enters.
 */
function numbersOf(site: Site, pair: number, now: number): { base: number; next: number }[] {
  const hasTwoNumbers = pair === PAIRS - 1;
  const base = pair === 0 || hasTwoNumbers ? now : now + site.chance.below(2);
  site.history.fault(hasTwoNumbers ? "racing pair, two numbers" : "racing pair, one number");
  const second = hasTwoNumbers ? base + 2 : base + 1;
  return [
    { base, next: base + 1 },
    { base, next: second },
  ];
}

/** The machine that confirmed, or the one that leads, falls within a few ms, and is back soon. */
function loseAfterConfirmation(site: Site, confirmer: ControlMachine): void {
  const { chance, deployment } = site;
  if (!chance.happens(LOSS_AFTER_CONFIRMATION)) return;
  const core = chance.happens(0.5) ? site.headCore() : Number(confirmer.name.slice(8));
  if (site.lossesLeft <= 0 || !site.isCounted(core)) return;
  const all = chance.happens(0.15);
  const how = chance.happens(0.6) ? "power" : "kill";
  site.history.fault(all ? "all lose power after a confirmation" : `${how} after a confirmation`);
  const struck = all ? site.cores : [core];
  for (const each of struck) site.countLost(each);
  deployment.world.after(chance.between(0, 5), () => {
    for (const each of struck) site.kill(each, all ? "power" : how);
  });
  deployment.world.after(chance.between(300, 3_000), () => {
    for (const each of struck) {
      site.startCore(each);
      site.countBack(each);
    }
  });
}
