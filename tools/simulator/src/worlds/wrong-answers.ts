import { POOL } from "./configuration.js";
import { LiveCallers } from "./live-callers.js";
import { Session } from "./session.js";
import type { Site } from "./site.js";
import { WrongRunners } from "./wrong-runners.js";

const RUNNERS = 4;
const CALL_EVERY = [20, 80] as const;
const TROUBLE_LASTS = 35_000;
const TROUBLE_EVERY = [300, 2_000] as const;
const FROZEN = [500, 8_000] as const;
const CALM = 8_000;

/** Callers of each kind while answers come late, doubled, cut or swapped, connections are reset and machines freeze. */
export function playWrongAnswers(seed: number): Site {
  const session = new Session(seed, { pause: [800, 2_500] });
  const { site } = session;
  const callers = new LiveCallers(site, session.router);
  const runners = new WrongRunners(site, session.router);
  runners.began = (id) => callers.began(id);
  session.begin(1);
  for (let number = 1; number <= RUNNERS; number += 1)
    site.deployment.addRunner(`runner-${number}`, POOL);
  site.wait(1_500);
  callers.keepCalling(CALL_EVERY);
  trouble(site, runners);
  session.recover();
  callers.stopped = true;
  runners.wrong = false;
  site.wait(CALM);
  session.end();
  callers.judge();
  return site;
}

function trouble(site: Site, runners: WrongRunners): void {
  const until = site.now + TROUBLE_LASTS;
  while (site.now < until) {
    site.wait(site.chance.between(...TROUBLE_EVERY));
    strike(site, runners);
  }
}

function strike(site: Site, runners: WrongRunners): void {
  const { chance, deployment } = site;
  const runner = `runner-${1 + chance.below(RUNNERS)}:8080`;
  const lasts = chance.between(...FROZEN);
  const kind = chance.pick([
    "runner frozen",
    "runner frozen",
    "runner crashed",
    "access node frozen",
    "access node killed",
    "core machine frozen",
  ] as const);
  site.history.fault(kind);
  if (kind === "runner frozen") return runners.freeze(runner, lasts);
  if (kind === "runner crashed") return runners.crash(runner, lasts);
  const node = chance.pick(site.accesses);
  const frozen = kind === "core machine frozen" ? site.processes(chance.pick(site.cores)) : [node];
  if (kind === "access node killed") {
    node.kill(false);
    return deployment.world.after(lasts / 4, () => {
      if (!node.alive) node.start();
    });
  }
  for (const machine of frozen) machine.freeze();
  deployment.world.after(lasts / 2, () => {
    for (const machine of frozen) machine.wake();
  });
}
