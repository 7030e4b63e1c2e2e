import type { Fleet } from "./fleet.js";

/** Storage machines of which one may be emptied, at least. */
const EMPTIED_OF_LEAST = 4;
/** ms until an order to empty that was not taken is sent again. */
const EMPTY_PAUSE = 500;
/** ms between two runners of a release, and until one that was replaced is back. */
const RELEASE_EVERY = 600;
const RELEASE_TAKES = 300;

/** What operators do to machines and runners by plan, each once in a campaign. */
export class PlannedChanges {
  readonly #fleet: Fleet;
  #isEmptyingAsked = false;
  #isReleased = false;
  /** The storage machine that control agreed to empty. */
  emptiedIdentity: string | undefined;

  constructor(fleet: Fleet) {
    this.#fleet = fleet;
  }

  /** One of four storage machines is to be emptied. */
  empty(): void {
    const { world, storages } = this.#fleet;
    if (storages.length < EMPTIED_OF_LEAST || this.#isEmptyingAsked) return;
    this.#isEmptyingAsked = true;
    const machine = world.chance.pick(storages);
    const identity = machine.folder?.identity;
    if (identity === undefined) return;
    this.#fleet.note(`${machine.name} is to be emptied`);
    this.#orderEmptying(identity);
  }

  /** A release: all runners are replaced one after another. */
  replaceRunners(): void {
    const { world, runners } = this.#fleet;
    if (this.#isReleased) return;
    this.#isReleased = true;
    this.#fleet.note("all runners are replaced one after another");
    for (const [place, runner] of runners.entries()) {
      const back = (): void => {
        if (!runner.alive) runner.restart();
      };
      world.after(place * RELEASE_EVERY, () => {
        if (!runner.alive || runner.leaving) return;
        runner.crash();
        world.after(RELEASE_TAKES, back);
      });
    }
  }

  #orderEmptying(identity: string): void {
    const { world, controls } = this.#fleet;
    const command = { kind: "empty", identity, wanted: true } as const;
    world.chance.pick(controls).inquire(command, (outcome) => {
      if (outcome?.kind !== "confirmed")
        return world.after(EMPTY_PAUSE, () => this.#orderEmptying(identity));
      const { kind } = outcome.value;
      if (kind === "DONE" || kind === "UNDER_WAY") this.emptiedIdentity = identity;
    });
  }
}
