import { RacingOperators } from "./racing-operators.js";
import type { Fleet } from "./fleet.js";
import type { LiveClients } from "./live-clients.js";
import type { LotClients } from "./lot-clients.js";
import type { Observer } from "./observer.js";
import type { Operators } from "./operators.js";
import { TRAFFIC_STARTS_AT, USUAL_CALM, USUAL_STORMY, stormEndsAt, type Range } from "./options.js";
import type { RunnerReports } from "./runner-reports.js";

/** ms between two live requests, two lots, two lots where a season lets many wait, two changes, and two reads. */
const USUAL_REQUEST_EVERY: Range = [15, 60];
const USUAL_LOT_EVERY: Range = [400, 1_500];
const SEASON_LOT_EVERY: Range = [60, 400];
const CHANGE_EVERY: Range = [300, 2_500];
const READ_EVERY: Range = [300, 1_500];
/** ms between two looks of the observer. */
const LOOK_EVERY = 500;
/** ms until the first deregistration, and between two. */
const FIRST_DEREGISTRATION = 3_000;
const DEREGISTRATION_EVERY: Range = [2_000, 6_000];
/** ms after the storm's length until which lots are handed in. */
const LOTS_GO_ON = 8_000;
/** ms before the end of a run in which nobody changes anything any more. */
const QUIET_BEFORE_END = 8_000;

/** Those who come and go all the while in a campaign. */
export interface TrafficParts {
  readonly liveClients: LiveClients;
  readonly lotClients: LotClients;
  readonly operators: Operators;
  readonly runnerReports: RunnerReports;
  /** Looks at everything, again and again. */
  readonly look: Observer["look"];
}

/** The load of one campaign: when each client, operator and runner acts. */
export class Traffic {
  readonly #fleet: Fleet;
  readonly #parts: TrafficParts;
  /** ms. When operators and runners change nothing any more, and lots are no longer handed in. */
  readonly #quietAt: number;
  readonly #lotsUntil: number;

  constructor(fleet: Fleet, parts: TrafficParts) {
    const { options } = fleet;
    this.#fleet = fleet;
    this.#parts = parts;
    this.#quietAt = stormEndsAt(options) + (options.calm ?? USUAL_CALM) - QUIET_BEFORE_END;
    this.#lotsUntil = (options.stormy ?? USUAL_STORMY) + LOTS_GO_ON;
  }

  /** All begin once the first configuration is in force. */
  begin(): void {
    this.#fleet.world.at(TRAFFIC_STARTS_AT, () => this.#start());
  }

  #start(): void {
    const { world, options } = this.#fleet;
    const { operators, look } = this.#parts;
    if (options.racing !== undefined)
      new RacingOperators(this.#fleet, options.racing, this.#quietAt).begin();
    this.#repeat(
      () => this.#parts.liveClients.request(),
      options.requestEvery ?? USUAL_REQUEST_EVERY,
    );
    this.#handInLots();
    this.#repeatUntilQuiet(() => operators.change(), CHANGE_EVERY);
    this.#repeat(() => operators.read(), READ_EVERY);
    this.#lookAgain(look);
    world.after(FIRST_DEREGISTRATION, () =>
      this.#repeatUntilQuiet(() => this.#deregisterAny(), DEREGISTRATION_EVERY),
    );
  }

  #repeat(act: () => void, every: Range): void {
    const { world } = this.#fleet;
    act();
    world.after(world.chance.between(...every), () => this.#repeat(act, every));
  }

  #repeatUntilQuiet(act: () => void, every: Range): void {
    const { world } = this.#fleet;
    if (world.now > this.#quietAt) return;
    act();
    world.after(world.chance.between(...every), () => this.#repeatUntilQuiet(act, every));
  }

  #handInLots(): void {
    const { world, options } = this.#fleet;
    this.#parts.lotClients.handIn();
    const usual = options.season === undefined ? USUAL_LOT_EVERY : SEASON_LOT_EVERY;
    if (world.now < this.#lotsUntil)
      world.after(world.chance.between(...(options.lotEvery ?? usual)), () => this.#handInLots());
  }

  #lookAgain(look: () => void): void {
    look();
    this.#fleet.world.after(LOOK_EVERY, () => this.#lookAgain(look));
  }

  #deregisterAny(): void {
    const { world, runners } = this.#fleet;
    this.#parts.runnerReports.deregister(world.chance.pick(runners));
  }
}
