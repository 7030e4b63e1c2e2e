import { check } from "../checker.js";
import { doCopiesShareZone, areCopiesWhole, holdsQueue } from "./copies.js";
import { countsOf } from "./counts.js";
import { DiskLosses } from "./disk-losses.js";
import { Fleet } from "./fleet.js";
import { LiveClients } from "./live-clients.js";
import { LotClients } from "./lot-clients.js";
import { MachineFaults } from "./machine-faults.js";
import { NetworkFaults } from "./network-faults.js";
import { Observer } from "./observer.js";
import { Operators } from "./operators.js";
import { USUAL_CALM, stormEndsAt, type CampaignOptions, type CampaignResult } from "./options.js";
import { PlannedChanges } from "./planned-changes.js";
import { RunnerReports } from "./runner-reports.js";
import { Storm } from "./storm.js";
import { Traffic } from "./traffic.js";

/** ms. When control goes out of reach, where the options say so. */
const AWAY_STARTS_AT = 10_000;

/** A fault set at the moment that matters to one rule, and the count of how often it struck (docs/testing.md §2). */
export interface TargetedFault {
  /** What must never happen, as the checker names it. */
  readonly rule: string;
  /** The invariant of a node that the fault itself breaks: it must be counted in each run, and is no breach of the guard. */
  readonly alarm?: string;
  /** Options of the campaigns in which it is played. */
  readonly options: Partial<CampaignOptions>;
  /** Called as the run begins, before anything struck. */
  readonly set: (campaign: Campaign) => void;
  /** Counted at the end; others count as they strike. */
  readonly struck?: (campaign: Campaign) => number;
}

/** One seeded run: traffic, faults in company, mending, and the checker's verdict. */
export class Campaign extends Fleet {
  readonly liveClients = new LiveClients(this);
  readonly lotClients = new LotClients(this);
  readonly operators = new Operators(this);
  readonly runnerReports = new RunnerReports(this);
  readonly observer = new Observer(this);
  readonly networkFaults = new NetworkFaults(this);
  /** How often a targeted fault struck. */
  strikes = 0;
  /** Whether all is mended at the end of the storm, or the last fault stays. */
  heals = true;
  readonly #machineFaults = new MachineFaults(this);
  readonly #diskLosses = new DiskLosses(this, this.#machineFaults);
  readonly #plannedChanges = new PlannedChanges(this);
  /** Whether the targeted fault itself mended what it broke. */
  #isMended = false;

  /** Starts the fleet with its first configuration and nothing more. */
  begin(): void {
    for (const machine of this.machines) machine.start();
    this.runnerReports.announceAll();
    this.operators.enterFirst();
  }

  /** Plays the whole run, with a targeted fault where one is given, and judges it. */
  run(fault?: TargetedFault): CampaignResult {
    const { world, options, sight } = this;
    this.begin();
    this.#traffic().begin();
    fault?.set(this);
    const { away } = options;
    if (away !== undefined) world.at(AWAY_STARTS_AT, () => this.networkFaults.cutControl(away));
    if (options.faults) this.#storm().begin();
    world.run(stormEndsAt(options));
    if (this.heals) {
      this.#heal();
      sight.healedAt = world.now;
    }
    world.run(world.now + (options.calm ?? USUAL_CALM));
    this.look();
    this.#judgeCopies();
    return this.#result(fault);
  }

  /** Looks once at lots, at what waits, and at the copies. */
  look(): void {
    this.#diskLosses.refresh();
    this.observer.look();
  }

  /** Told by a targeted fault that mends what it broke: service counts from here, and all must be whole at the end. */
  mended(): void {
    this.heals = false;
    this.#isMended = true;
    this.sight.healedAt = this.world.now;
    this.note("all mended");
  }

  #traffic(): Traffic {
    const { liveClients, lotClients, operators, runnerReports } = this;
    const look = (): void => this.look();
    return new Traffic(this, { liveClients, lotClients, operators, runnerReports, look });
  }

  #storm(): Storm {
    return new Storm(this, {
      machineFaults: this.#machineFaults,
      networkFaults: this.networkFaults,
      diskLosses: this.#diskLosses,
      plannedChanges: this.#plannedChanges,
    });
  }

  #heal(): void {
    const { world } = this;
    world.mend();
    world.loss = 0;
    for (const machine of this.machines) {
      machine.slowUntil = 0;
      if (machine.frozen) machine.wake();
      if (!machine.alive) machine.start();
    }
    for (const runner of this.runners) {
      runner.manner = { ...runner.manner, silent: 0 };
      if (!runner.alive) runner.restart();
    }
    this.note("all mended");
  }

  /** Where the copies stand at the end. */
  #judgeCopies(): void {
    const { sight } = this;
    const { emptiedIdentity } = this.#plannedChanges;
    sight.repaired = !(this.heals || this.#isMended) || areCopiesWhole(this);
    if (this.heals && doCopiesShareZone(this, emptiedIdentity))
      this.violations.push({
        rule: "repair",
        facts: "two copies of a queue stand in one zone at the end, and another zone has a place",
      });
    sight.emptiedHolds = emptiedIdentity !== undefined && holdsQueue(this, emptiedIdentity);
  }

  #result(fault: TargetedFault | undefined): CampaignResult {
    const { sight, faults } = this;
    const counts = countsOf(this, this.networkFaults.awaySpans);
    if (fault?.struck !== undefined) this.strikes += fault.struck(this);
    const violations = [...check(sight), ...this.violations];
    return { violations, sight, faults, counts, strikes: this.strikes };
  }
}
