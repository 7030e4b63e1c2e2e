import { isDeepStrictEqual } from "node:util";
import type { PassageEvent, PassageWork } from "@chutewick/data";
import { constants } from "@chutewick/parts";
import type { AccessMachine } from "../machines.js";
import { PASSAGE_HOST, type PassFleet } from "./pass-fleet.js";
import {
  bodyOf,
  eventDataOf,
  pathOf,
  type ItemRecord,
  type LotSight,
  type PassRunner,
} from "./records.js";

/** ms until a connection stands, and until a runner says that it failed. */
const CONNECT_TAKES = [0.5, 3] as const;
const FAILURE_TAKES = [1, 40] as const;
/** The time of one event against the usual one. */
const EVENT_PACE = [0.5, 1.5] as const;
/** ms after the end of a lot in which its items may still begin to run. */
const RUNS_AFTER_END = 3_000;
/** Seconds after which a runner that turns work away asks to be asked again. */
const RETRY_AFTER_SECONDS = 0.1;
const STATUS_OK = 200;
const STATUS_POISONED = 422;
const STATUS_FAILED = 500;
const STATUS_UNAVAILABLE = 503;

/** Which work is sent where: by the attempt's number at its node, in one life of it. */
export interface Sending {
  readonly machine: AccessMachine;
  readonly go: number;
  readonly runner: PassRunner;
  readonly work: PassageWork;
}

/** One sending of an item to a runner, as the runner and the link to it behave. */
export class PassAttempt {
  readonly #fleet: PassFleet;
  readonly #sending: Sending;
  /** The life of the node in which it was sent. */
  readonly #life: number;
  readonly #ended: () => void;
  #isOver = false;

  constructor(fleet: PassFleet, sending: Sending, ended: () => void) {
    this.#fleet = fleet;
    this.#sending = sending;
    this.#life = sending.machine.life;
    this.#ended = ended;
  }

  start(): void {
    const { world } = this.#fleet;
    world.after(world.chance.between(...CONNECT_TAKES), () => this.#connected());
  }

  /** Ends it without a word to the node. */
  stop(): void {
    this.#isOver = true;
    this.#sending.runner.runs.delete(this);
    this.#ended();
  }

  #tell(event: PassageEvent): void {
    const { machine, go } = this.#sending;
    const { world } = this.#fleet;
    if (machine.life !== this.#life) return;
    machine.mine(() => machine.perform(machine.core.handlePassageEvent(go, event, world.now)))();
  }

  #tellLast(event: PassageEvent): void {
    if (this.#isOver) return;
    this.stop();
    this.#tell(event);
  }

  #connected(): void {
    const { machine, go, runner } = this.#sending;
    const { world, manner } = this.#fleet;
    if (this.#isOver || machine.life !== this.#life || !machine.alive) return;
    const reason = machine.core.mayStartOnPassage(go, world.now);
    if (reason !== undefined) return this.#tellLast({ kind: "unsent", reason });
    if (!runner.alive) return this.#tellLast({ kind: "unsent", reason: "connection refused" });
    if (runner.isDark) return this.#unreached();
    if (world.chance.happens(manner.turnAway))
      return this.#tellLast({
        kind: "refused",
        status: STATUS_UNAVAILABLE,
        retryAfter: RETRY_AFTER_SECONDS,
        otherRunner: false,
      });
    runner.runs.add(this);
    this.#begin();
  }

  /** A dark runner answers no connection. */
  #unreached(): void {
    const unsent = { kind: "unsent", reason: "no connection" } as const;
    this.#fleet.world.after(constants.passConnectTimeoutMs, () => this.#tellLast(unsent));
  }

  #begin(): void {
    const { work } = this.#sending;
    const { world, manner, itemOf } = this.#fleet;
    const known = itemOf.get(work.request.id);
    if (known === undefined) return this.#fleet.violation(`unasked: ${work.request.id}`);
    const { lot, item } = known;
    this.#judge(lot, item);
    item.runs += 1;
    item.begunAt = world.now;
    this.#fleet.count("runs");
    if (item.poisoned) return this.#fail(STATUS_POISONED);
    if (work.resumeAfter === undefined && world.chance.happens(manner.trouble)) {
      item.troubles += 1;
      return this.#fail(STATUS_FAILED);
    }
    this.#tell({ kind: "head", status: STATUS_OK, headers: [], stamped: true });
    const tearsAt = world.chance.happens(manner.tear)
      ? world.chance.below(item.events + 1)
      : Number.POSITIVE_INFINITY;
    this.#event(item, (work.resumeAfter ?? 0) + 1, tearsAt);
  }

  /** The event with this number, and all after it, until the link breaks. */
  #event(item: ItemRecord, number: number, tearsAt: number): void {
    const { world, manner } = this.#fleet;
    const { runner } = this.#sending;
    world.after(world.chance.between(...EVENT_PACE) * manner.pieceMs, () => {
      if (this.#isOver || runner.isDark) return;
      if (!runner.alive || number > tearsAt)
        return this.#tellLast({ kind: "broken", reason: "the link broke" });
      if (number > item.events) {
        item.finished = true;
        item.finishedAt = world.now;
        return this.#tellLast({ kind: "end" });
      }
      const data = eventDataOf(item.id, number);
      this.#tell({ kind: "event", number, data, bytes: new TextEncoder().encode(data) });
      this.#event(item, number + 1, tearsAt);
    });
  }

  #fail(status: number): void {
    const { world } = this.#fleet;
    world.after(world.chance.between(...FAILURE_TAKES), () => {
      if (this.#isOver) return;
      this.#tell({ kind: "head", status, headers: [], stamped: true });
      this.#tellLast({ kind: "end" });
    });
  }

  /** What no run may be. */
  #judge(lot: LotSight, item: ItemRecord): void {
    const { world, options } = this.#fleet;
    const { work, runner } = this.#sending;
    const { path, body, host } = work.request;
    if (lot.endedAt !== undefined && world.now > lot.endedAt + RUNS_AFTER_END)
      this.#fleet.violation(
        `${item.id} runs ${Math.round(world.now - lot.endedAt)} ms after the end of its lot`,
      );
    const isAsHandedIn =
      path === pathOf(item.id) &&
      new TextDecoder().decode(body) === bodyOf(item.id) &&
      host === PASSAGE_HOST;
    const tenancy = lot.tenant === undefined ? undefined : { tenant: lot.tenant };
    if (!isDeepStrictEqual(work.tenancy, tenancy))
      this.#fleet.violation(`${item.id} runs for ${work.tenancy?.tenant}, not for ${lot.tenant}`);
    if (!isAsHandedIn) this.#fleet.violation(`${item.id} is not as it was handed in`);
    if (runner.pool !== "readers" && options.moves !== true)
      this.#fleet.violation(`${item.id} runs in the wrong pool`);
  }
}
