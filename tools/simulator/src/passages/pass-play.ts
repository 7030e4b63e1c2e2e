import type { PassageOutput } from "@chutewick/data";
import { judge, lotLog } from "@chutewick/history";
import type { AccessMachine } from "../machines.js";
import { LotExchanges } from "./exchanges.js";
import { PassLotClients } from "./lot-clients.js";
import { LotReader } from "./lot-reader.js";
import type { PassPlayOptions } from "./options.js";
import { PassFaults } from "./pass-faults.js";
import { PassFleet, TRAFFIC_STARTS_AT } from "./pass-fleet.js";
import { PassRunners } from "./pass-runners.js";
import type { PassTenants } from "./pass-tenants.js";
import { isRefused, type LotSight } from "./records.js";

/** ms between two lots on average, and by how much that varies. */
const USUAL_LOT_EVERY = 700;
const LOT_PACE = [0.3, 1.7] as const;
/** ms. When the passage moves for the first time, and between two moves. */
const MOVES_FROM = 9_000;
const MOVE_EVERY = [2_000, 6_000] as const;
/** ms. When credentials are renewed for the first time, and between two renewals. */
const RENEWALS_FROM = 8_000;
const RENEWAL_EVERY = [1_000, 3_000] as const;
/** Pools to which it moves. */
const POOL_CHOICES = [["readers"], ["others"], ["readers", "others"]];
/** How often links break once all stands again. */
const HEALED_TEAR_SHARE = 0.02;
/** ms within which the last reads are answered. */
const LAST_READS_TAKE = 6_000;

/** One seeded run of lots on passages under faults: clients, runners and a checker of what they saw (docs/design.md §13.7). */
export class PassPlay extends PassFleet {
  readonly #exchanges = new LotExchanges(this);
  readonly lotReader = new LotReader(this, this.#exchanges);
  readonly lotClients = new PassLotClients(this, this.#exchanges, this.lotReader);
  readonly #passRunners = new PassRunners(this);
  readonly #passFaults = new PassFaults(this);

  constructor(options: PassPlayOptions) {
    super(options);
    for (const machine of this.accesses)
      machine.passing = (output) => this.#passing(machine, output);
  }

  /** Starts the fleet with its configuration and nothing more. */
  begin(): void {
    for (const machine of this.machines) machine.start();
    this.#passRunners.announceAll();
    this.enterConfiguration(0);
  }

  /** Plays the whole run and judges it. */
  run(): this {
    const { world, options, quietAt } = this;
    this.begin();
    world.at(TRAFFIC_STARTS_AT, () => this.#handInLots());
    this.#passFaults.begin();
    if (options.moves === true) world.at(MOVES_FROM, () => this.#move());
    const { tenants } = this;
    if (tenants !== undefined) world.at(RENEWALS_FROM, () => this.#renew(tenants));
    world.run(quietAt);
    this.#heal();
    world.run(quietAt + options.calm);
    this.judgeLots();
    return this;
  }

  /** Asks for the end of a lot; false where it is not taken, or its end was asked for before. */
  endLot(id: string): boolean {
    const lot = this.lots.find((each) => each.id === id);
    if (lot?.takenAt === undefined || lot.endAskedAt !== undefined) return false;
    this.lotClients.end(lot);
    return true;
  }

  /** After the calm every lot that was taken and not ended is done, and reads from the start as it was shown. */
  judgeLots(): void {
    const { world, lots } = this;
    for (const lot of lots)
      if (lot.takenAt === undefined) this.#judgeNotTaken(lot);
      else this.#judgeTaken(lot);
    const until = world.now + LAST_READS_TAKE;
    for (const lot of lots)
      if (lot.takenAt !== undefined)
        this.lotReader.read(lot, { from: 0, hold: 0 }, () => undefined);
    world.run(until);
    for (const lot of lots)
      for (const { rule, facts } of judge(lotLog, lot.operations))
        this.violation(`${lot.id}: ${rule}: ${facts}`);
  }

  #passing(machine: AccessMachine, output: PassageOutput): void {
    switch (output.kind) {
      case "lot-told":
        return this.#exchanges.answer(output.ticket, output.told);
      case "pass-run":
        return this.#passRunners.run(machine, output);
      case "pass-abandon":
        return this.#passRunners.abandon(machine, output.go);
    }
  }

  #handInLots(): void {
    const { world, options, quietAt } = this;
    if (world.now > quietAt) return;
    this.lotClients.handIn();
    world.after(world.chance.between(...LOT_PACE) * (options.lotEvery ?? USUAL_LOT_EVERY), () =>
      this.#handInLots(),
    );
  }

  #renew(tenants: PassTenants): void {
    const { world, quietAt } = this;
    if (world.now > quietAt) return;
    this.renewCredentials(tenants, () => {
      this.count("renewals");
      world.after(world.chance.between(...RENEWAL_EVERY), () => this.#renew(tenants));
    });
  }

  #move(): void {
    const { world, quietAt } = this;
    if (world.now > quietAt) return;
    this.pools = world.chance.pick(POOL_CHOICES);
    this.enterConfiguration(undefined);
    world.after(world.chance.between(...MOVE_EVERY), () => this.#move());
  }

  /** Everything stands again. */
  #heal(): void {
    this.world.mend();
    this.world.loss = 0;
    for (const machine of this.machines) {
      if (!machine.alive) machine.start();
      machine.wake();
    }
    for (const runner of this.runners) runner.alive = true;
    this.manner.tear = HEALED_TEAR_SHARE;
  }

  /** Every try is over by now. */
  #judgeNotTaken({ tries, items }: LotSight): void {
    if (!tries.every(isRefused)) return;
    for (const item of items.values())
      if (item.runs > 0) this.violation(`${item.id} of a refused lot ran`);
  }

  #judgeTaken({ id, endAskedAt, doneAt, shown, items }: LotSight): void {
    if (endAskedAt === undefined && doneAt === undefined)
      this.violation(`${id} is not done: ${shown.length} of ${items.size}`);
  }
}
