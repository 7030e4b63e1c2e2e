import { constants } from "@chutewick/parts";
import type { PassageOutput } from "@chutewick/data";
import type { AccessMachine } from "../machines.js";
import { PassAttempt } from "./pass-attempt.js";
import type { PassFleet } from "./pass-fleet.js";
import type { PassRunner } from "./records.js";

/** ms within which all runners announce themselves for the first time. */
const FIRST_ANNOUNCE_MOST = 500;
/** Nodes to which one announcement goes. */
const ANNOUNCED_TO = 2;
const SEATS = 16;

/** Runners of passages: what they announce, and the attempts that they run. */
export class PassRunners {
  readonly #fleet: PassFleet;
  /** Attempts under way, by the node's life and their number there. */
  readonly #attempts = new Map<string, PassAttempt>();

  constructor(fleet: PassFleet) {
    this.#fleet = fleet;
  }

  /** Each runner announces itself from now on. */
  announceAll(): void {
    const { world, runners } = this.#fleet;
    for (const runner of runners) {
      const announce = (): void => {
        world.after(constants.announceIntervalMs, announce);
        if (!runner.alive || runner.isDark) return;
        for (let number = 0; number < ANNOUNCED_TO; number += 1) this.#announce(runner);
      };
      world.after(world.chance.between(0, FIRST_ANNOUNCE_MOST), announce);
    }
  }

  /** A node sends an item to a runner. */
  run(
    machine: AccessMachine,
    { go, address, work }: Extract<PassageOutput, { kind: "pass-run" }>,
  ): void {
    const runner = this.#fleet.runners.find((each) => each.address === address)!;
    const key = attemptKey(machine, go);
    const attempt = new PassAttempt(this.#fleet, { machine, go, runner, work }, () =>
      this.#attempts.delete(key),
    );
    this.#attempts.set(key, attempt);
    attempt.start();
  }

  /** A node leaves what it sent. */
  abandon(machine: AccessMachine, go: number): void {
    this.#attempts.get(attemptKey(machine, go))?.stop();
  }

  #announce(runner: PassRunner): void {
    const { world, accesses } = this.#fleet;
    const access = world.chance.pick(accesses);
    const card = {
      id: runner.id,
      incarnation: runner.incarnation,
      url: runner.address,
      kind: "model" as const,
      models: ["m"],
      labels: {},
      seats: SEATS,
      zone: "a",
      burden: runner.runs.size,
      pool: runner.pool,
    };
    if (!access.alive) return;
    access.mine(() => access.perform(access.core.announce("announcing", card, world.now)))();
  }
}

function attemptKey(machine: AccessMachine, go: number): string {
  return `${machine.name}/${machine.life}/${go}`;
}
