import { constants } from "@chutewick/parts";
import type { DeregistrationRecord } from "../checker.js";
import type { AccessMachine } from "../machines.js";
import type { Runner } from "../runners.js";
import { deafClient } from "./client-sight.js";
import { poolOf, type Fleet } from "./fleet.js";

/** Tries of one announcement, each at a node of its own. */
const ANNOUNCE_TRIES = 3;
/** ms until a runner turns from a node that is down to another. */
const REFUSED_AFTER = 2;
/** ms within which all runners announce themselves for the first time. */
const FIRST_ANNOUNCE_MOST = 1_000;
/** Tries of one deregistration, ms between two, and ms from its answer until the runner is restarted. */
const DEREGISTER_TRIES = 20;
const DEREGISTER_PAUSE = 300;
const RESTARTS_AFTER = 4_000;
/** The status of a node that cannot take an announcement now. */
const UNAVAILABLE = 503;

/** How a runner deregisters: the node that hears it first, and how often it says so at most. */
export interface DeregisterOptions {
  readonly first?: AccessMachine | undefined;
  readonly triesMost?: number;
}

/** What runners tell access nodes: that they are there, and that they take no more work (docs/interface.md). */
export class RunnerReports {
  readonly #fleet: Fleet;

  constructor(fleet: Fleet) {
    this.#fleet = fleet;
  }

  /** Each runner announces itself from now on. */
  announceAll(): void {
    const { world, runners } = this.#fleet;
    for (const runner of runners) {
      const announce = (): void => {
        world.after(constants.announceIntervalMs, announce);
        this.#announce(runner, ANNOUNCE_TRIES);
      };
      world.after(world.chance.between(0, FIRST_ANNOUNCE_MOST), announce);
    }
  }

  /** A runner takes no more work, says so until a node confirms it, and is then restarted. */
  deregister(
    runner: Runner,
    { first, triesMost = DEREGISTER_TRIES }: DeregisterOptions = {},
  ): void {
    const { world, sight, accesses } = this.#fleet;
    if (!runner.alive || runner.leaving) return;
    runner.leaving = true;
    const record: DeregistrationRecord = {
      runner: runner.id,
      incarnation: runner.incarnation,
      saidAt: world.now,
    };
    sight.deregistrations.push(record);
    let tries = 0;
    const again = (): void => {
      if (tries < triesMost) world.after(DEREGISTER_PAUSE, say);
    };
    const say = (): void => {
      tries += 1;
      const access = (tries === 1 ? first : undefined) ?? world.chance.pick(accesses);
      if (world.isCut(access.address, runner.address)) again();
      else this.#sendDeregistration(runner, access, record, again);
    };
    say();
  }

  /** To any access node; where that cannot be reached or does not answer, to another. */
  #announce(runner: Runner, tries: number): void {
    const { world, accesses } = this.#fleet;
    if (!runner.alive || runner.leaving || tries === 0) return;
    const access = world.chance.pick(accesses);
    const again = (): void => this.#announce(runner, tries - 1);
    if (!access.alive) return world.after(REFUSED_AFTER, again);
    if (world.isCut(access.address, runner.address))
      return world.after(constants.announceTimeoutMs, again);
    if (access.frozen) world.after(constants.announceTimeoutMs, again);
    const card = {
      id: runner.id,
      incarnation: runner.incarnation,
      url: runner.address,
      kind: runner.kind,
      models: runner.kind === "model" ? ["reader"] : [],
      labels: { pool: poolOf(runner.id) },
      seats: runner.seats,
      zone: "a",
      burden: runner.load,
    };
    const reply = (status: number): void => {
      if (status === UNAVAILABLE) again();
    };
    access.exchange({ ...deafClient, reply }, (ticket) =>
      access.core.announce(ticket, card, world.now),
    );
  }

  #sendDeregistration(
    runner: Runner,
    access: AccessMachine,
    record: DeregistrationRecord,
    again: () => void,
  ): void {
    const { world } = this.#fleet;
    const restart = (): void => {
      runner.crash();
      runner.restart();
    };
    const reply = (status: number): void => {
      if (status !== 200) return again();
      record.confirmedAt ??= world.now;
      world.after(RESTARTS_AFTER, restart);
    };
    access.exchange({ ...deafClient, reply, torn: again }, (ticket) => {
      record.heardAt ??= world.now;
      return access.core.deregister(ticket, runner.id, record.incarnation, world.now);
    });
  }
}
