import type { ControlOutcome } from "@chutewick/control";
import type { AccessMachine } from "../machines.js";
import type { Site } from "./site.js";

/** Pool that no passage uses: these runners only report. */
const IDLE_POOL = "idle";
const LOOK_EVERY = 250;
/** ms beyond the time that a report lasts within which an acknowledged report must be known at each node. */
const SPREAD_WITHIN = 3_000;
/** Rules that say "about": a tenth more than the bound. */
const ABOUT = 1.1;

interface ReportingRunner {
  readonly id: string;
  reports: number;
  /** Since when each of its reports was acknowledged. */
  acknowledgedSince: number | undefined;
  leaving: boolean;
  goodbyeAt: number | undefined;
}

/** Runners that report to any control machine, and deregister; nodes must know what was acknowledged. */
export class RunnerClients {
  readonly #site: Site;
  readonly #runners: ReportingRunner[] = [];
  readonly #told = new Set<string>();

  constructor(site: Site) {
    this.#site = site;
  }

  start(count: number): void {
    for (let number = 1; number <= count; number += 1) this.#add();
    const look = (): void => {
      this.#site.deployment.world.after(LOOK_EVERY, look);
      for (const access of this.#site.accesses) this.#look(access);
    };
    look();
  }

  /** One of those that report deregisters, and another one comes in its place. */
  sayDeregistration(): void {
    const staying = this.#runners.filter(({ leaving }) => !leaving);
    const runner = this.#site.chance.pick(staying);
    runner.leaving = true;
    this.#add();
    this.#deregistration(runner);
  }

  #add(): void {
    const { chance, deployment, bounds } = this.#site;
    const runner: ReportingRunner = {
      id: `reporting-${this.#runners.length + 1}`,
      reports: 0,
      acknowledgedSince: undefined,
      leaving: false,
      goodbyeAt: undefined,
    };
    this.#runners.push(runner);
    const report = (): void => {
      if (runner.goodbyeAt !== undefined) return;
      this.#report(runner);
      deployment.world.after(bounds.reportsEvery, report);
    };
    deployment.world.after(chance.between(0, bounds.reportsEvery), report);
  }

  /** To one machine after another, until one acknowledges it. */
  #report(runner: ReportingRunner): void {
    const { chance, controls, deployment, history, refusing, now } = this.#site;
    runner.reports += 1;
    const open = controls.filter(
      ({ alive, frozen, address }) => alive && !frozen && !refusing.has(address),
    );
    while (open.length > 0) {
      const [machine] = open.splice(chance.below(open.length), 1);
      const told = deployment.report(runner.id, IDLE_POOL, runner.reports, machine);
      history.count(`report ${told}`);
      if (told !== "TAKEN") continue;
      runner.acknowledgedSince ??= now;
      return;
    }
    runner.acknowledgedSince = undefined;
  }

  #deregistration(runner: ReportingRunner): void {
    const { chance, controls, deployment, history, refusing } = this.#site;
    const machine = chance.pick(controls);
    const again = (): void => {
      deployment.world.after(chance.between(200, 800), () => this.#deregistration(runner));
    };
    if (refusing.has(machine.address)) return again();
    machine.inquire({ kind: "goodbye", runner: runner.id, incarnation: 1 }, (outcome) => {
      history.count(`goodbye ${kindOf(outcome)}`);
      if (outcome?.kind !== "confirmed") return again();
      runner.goodbyeAt ??= this.#site.now;
    });
  }

  #look(access: AccessMachine): void {
    const { now, bounds, deployment, history } = this.#site;
    if (!access.alive || access.frozen || !access.core.membership.holds(now)) return;
    const lasts = deployment.policy.runnerLasts;
    for (const { id, goodbyeAt: deregisteredAt, leaving, acknowledgedSince } of this.#runners) {
      const known = deployment.known(access, id) !== undefined;
      if (
        known &&
        deregisteredAt !== undefined &&
        now - deregisteredAt > bounds.drainWithin * ABOUT
      )
        this.#once("goodbye", `${access.name} lists ${id} after its goodbye was confirmed`);
      const spread =
        acknowledgedSince !== undefined && now - acknowledgedSince > lasts + SPREAD_WITHIN;
      if (!known && !leaving && spread)
        this.#once(
          "report-lost",
          `${access.name} does not know ${id}, whose reports were acknowledged`,
        );
      if (known) history.counts["runner known"] = (history.counts["runner known"] ?? 0) + 1;
    }
  }

  #once(rule: string, facts: string): void {
    if (this.#told.has(facts)) return;
    this.#told.add(facts);
    this.#site.history.violate(rule, `${facts} (at ${Math.round(this.#site.now)} ms)`);
  }
}

function kindOf(outcome: ControlOutcome | undefined): string {
  return outcome?.kind ?? "unanswered";
}
