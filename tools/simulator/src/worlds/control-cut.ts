import { RunnerClients } from "./runner-clients.js";
import { Session } from "./session.js";
import { cutKinds, type Site } from "./site.js";

/** ms that a control machine is cut off. */
const CUT_LASTS = 20_000;
const CUTS = 2;
const RESTARTS_MOST = 4;
const RUNNERS = 6;
const GOODBYES = 3;

/**
 * A control machine is cut off for twenty seconds while operators and readers reach both sides; the
 * cut-off machine, the others, and the one that confirmed last are restarted meanwhile.
 */
export function playControlCut(seed: number): Site {
  const session = new Session(seed);
  const { site, operators } = session;
  let actedLast = site.controls[0]!.name;
  operators.confirmed = ({ name }) => {
    actedLast = name;
  };
  session.begin();
  const runners = new RunnerClients(site);
  runners.start(RUNNERS);
  for (let cut = 0; cut < CUTS; cut += 1) {
    for (let deregistration = 0; deregistration < GOODBYES; deregistration += 1)
      site.deployment.world.after(site.chance.between(0, CUT_LASTS), () =>
        runners.sayDeregistration(),
      );
    cutOnce(site, () => Number(actedLast.slice("control-".length)));
    session.recover();
    site.wait(site.chance.between(0, 3_000));
  }
  session.end();
  return site;
}

function cutOnce(site: Site, actedLast: () => number): void {
  const { chance, deployment } = site;
  const kind = chance.pick(cutKinds);
  const cut = chance.happens(0.6) ? site.headCore() : chance.pick(site.cores);
  site.history.fault(`cut ${kind}`);
  if (cut === site.headCore()) site.history.fault("head cut");
  site.cut(cut, kind);
  const restarts = chance.below(RESTARTS_MOST + 1);
  for (let restart = 0; restart < restarts; restart += 1)
    deployment.world.after(chance.between(0, CUT_LASTS - 4_000), () =>
      restartOne(site, cut, actedLast),
    );
  site.wait(CUT_LASTS);
}

function restartOne(site: Site, cut: number, actedLast: () => number): void {
  const { chance, deployment } = site;
  const others = site.cores.filter((core) => core !== cut);
  const victims = { "cut off": cut, other: chance.pick(others), "acted last": actedLast() };
  const [name, core] = chance.pick(Object.entries(victims));
  if (!site.control(core).alive) return;
  site.history.fault(`restart of ${name}`);
  site.kill(core, chance.happens(0.5) ? "power" : "kill");
  deployment.world.after(chance.between(100, 2_500), () => site.startCore(core));
}
