import { configuration, type Configuration } from "@chutewick/control";
import { AccessMachine, ControlMachine, StorageMachine, type AccessHooks } from "../machines.js";
import { World, type Machine } from "../world.js";
import type { PassPlayOptions } from "./options.js";
import { PassTenants } from "./pass-tenants.js";
import type { ItemRecord, LotSight, PassManner, PassRunner } from "./records.js";

/** Host of the passage. */
export const PASSAGE_HOST = "hub.example";
/** ms. When clients begin, once the configuration is in force. */
export const TRAFFIC_STARTS_AT = 6_000;

const SEED_ADDRESSES = ["control-1", "control-2", "control-3"];
const STORAGE_MACHINES = 3;
const USUAL_ACCESS = 3;
const RUNNERS = 6;
/** Runners of the first pool; the others stand in the second. */
const READERS = 4;
/** ms. When the first configuration is entered, and the pause before an order is sent again. */
const FIRST_ORDER_AT = 1_500;
const ORDER_PAUSE = 300;
/** ms that one item may be held, attempts at one item, and seconds that a lot is kept. */
const GUARD = 6_000;
const ATTEMPTS_MOST = 3;
const KEPT_SECONDS = 120;

/** No way of the fleet's own is played: no runner is found, and no attempt begins. */
const noHooks: AccessHooks = { runnerAt: () => undefined, began: () => undefined };

/** Machines, runners and records of one run of lots on passages. */
export class PassFleet {
  readonly options: PassPlayOptions;
  readonly world: World;
  readonly controls: ControlMachine[] = [];
  readonly storages: StorageMachine[] = [];
  readonly accesses: AccessMachine[] = [];
  readonly runners: PassRunner[] = [];
  readonly lots: LotSight[] = [];
  /** Each item with its lot. */
  readonly itemOf = new Map<string, { readonly lot: LotSight; readonly item: ItemRecord }>();
  readonly violations: string[] = [];
  readonly manner: PassManner = { trouble: 0.02, tear: 0.05, turnAway: 0.05, pieceMs: 30 };
  /** Undefined where the configuration names none. */
  readonly tenants: PassTenants | undefined;
  /** What happened, counted by name. */
  readonly counts: Record<string, number> = {};
  /** Pools to which the passage leads now. */
  pools = ["readers"];
  /** Name of the passage; undefined while the configuration has none. */
  passageName: string | undefined = "slips";
  /** ms. When traffic and faults end. */
  readonly quietAt: number;

  constructor(options: PassPlayOptions) {
    this.options = options;
    this.world = new World(options.seed);
    this.quietAt = TRAFFIC_STARTS_AT + options.stormy;
    const { world } = this;
    this.tenants = options.tenants === true ? new PassTenants(world) : undefined;
    for (const name of SEED_ADDRESSES)
      this.controls.push(new ControlMachine(world, { name, seeds: SEED_ADDRESSES }));
    for (let number = 1; number <= STORAGE_MACHINES; number += 1) {
      const name = `storage-${number}`;
      this.storages.push(new StorageMachine(world, { name, seeds: SEED_ADDRESSES }));
    }
    for (let number = 1; number <= (options.access ?? USUAL_ACCESS); number += 1) {
      const name = `access-${number}`;
      this.accesses.push(new AccessMachine(world, { name, seeds: SEED_ADDRESSES }, noHooks));
    }
    for (let number = 1; number <= RUNNERS; number += 1) this.runners.push(newRunner(number));
  }

  /** All machines, control machines first. */
  get machines(): Machine[] {
    return [...this.controls, ...this.storages, ...this.accesses];
  }

  /** Records that a rule was broken. */
  violation(facts: string): void {
    this.violations.push(`${Math.round(this.world.now)} ms: ${facts}`);
  }

  count(what: string): void {
    this.counts[what] = (this.counts[what] ?? 0) + 1;
  }

  /** Orders the configuration with the pools as they are now, again and again until it is in force. */
  enterConfiguration(expected: number | undefined): void {
    this.#enter(expected, this.#configuration(false), () => undefined);
  }

  /** Orders the next credentials of all tenants; `done` is called once they are in force. */
  renewCredentials(tenants: PassTenants, done: () => void): void {
    /** Each version of them is one of the configuration, so that an order sent twice is entered once. */
    this.#enter(tenants.version + 1, this.#configuration(true), () => {
      tenants.advance();
      done();
    });
  }

  #enter(expected: number | undefined, value: Configuration, done: () => void): void {
    const { world } = this;
    const put = (): void => {
      world.chance.pick(this.controls).inquire({ kind: "put", expected, value }, (outcome) => {
        if (outcome?.kind === "confirmed") done();
        else world.after(ORDER_PAUSE, put);
      });
    };
    world.at(Math.max(FIRST_ORDER_AT, world.now), put);
  }

  #configuration(hasNextTenants: boolean): Configuration {
    const passage = {
      host: PASSAGE_HOST,
      prefix: "/slips/",
      kind: "lot",
      pools: this.pools.map((pool) => ({ pool, weight: 1 })),
      goesMost: ATTEMPTS_MOST,
      guard: GUARD,
      waitingTokens: this.options.allowance ?? 0,
      keeps: KEPT_SECONDS,
    };
    const otherModels = this.options.hasPlainPool === true ? [] : ["m"];
    const checked = configuration.check({
      pools: { readers: { models: ["m"] }, others: { models: otherModels } },
      passages: this.passageName === undefined ? {} : { [this.passageName]: passage },
      ...(this.tenants === undefined ? {} : { tenants: this.tenants.entries(hasNextTenants) }),
    });
    if (!checked.ok) throw new Error(checked.reason);
    return checked.value;
  }
}

function newRunner(number: number): PassRunner {
  return {
    id: `runner-${number}`,
    address: `10.0.0.${number}:80`,
    pool: number <= READERS ? "readers" : "others",
    incarnation: 1,
    alive: true,
    isDark: false,
    runs: new Set(),
  };
}
