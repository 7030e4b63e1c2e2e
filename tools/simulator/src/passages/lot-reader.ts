import type { LotResult, LotReply } from "@chutewick/data";
import type { AccessMachine } from "../machines.js";
import type { Enter, LotExchanges } from "./exchanges.js";
import type { PassFleet } from "./pass-fleet.js";
import { bodyOf, eventDataOf, type ItemRecord, type LotSight } from "./records.js";

/** ms that a reader waits beyond its hold. */
const READ_PATIENCE = 1_500;
/** ms between two looks whether an item whose body is missing is listed. */
const LISTED_LOOK_EVERY = 1_000;
/** ms after the end of traffic by which it must be listed. */
const LISTED_WITHIN = 10_000;
/** Troubles after which an item may be given up, and ms from the first try of its lot on. */
const TROUBLES_LEAST = 3;
const GIVEN_UP_AFTER = 120_000;

/** One read of a lot's list: from which place, and for how many ms it is held while nothing comes. */
export interface Reading {
  readonly from: number;
  readonly hold: number;
  /** The node that is asked: any by default. */
  readonly at?: AccessMachine;
}

/** Clients that read lots and the bodies of their items, and what no answer may show. */
export class LotReader {
  readonly #fleet: PassFleet;
  readonly #exchanges: LotExchanges;

  constructor(fleet: PassFleet, exchanges: LotExchanges) {
    this.#fleet = fleet;
    this.#exchanges = exchanges;
  }

  /** Reads a lot's results; `after` is called whatever came. */
  read(lot: LotSight, { from, hold, at }: Reading, after: () => void): void {
    const { world } = this.#fleet;
    const told = (answer: LotReply | undefined): void => {
      this.#fleet.count(`read ${answer?.kind ?? "silence"}`);
      if (answer?.kind === "unauthorized")
        this.#fleet.violation(`a reader of ${lot.id} is unknown`);
      if (answer?.kind === "results") this.#see(lot, from, answer);
      after();
    };
    this.#exchanges.askLot(
      lot,
      { kind: "read", from },
      (machine, ticket) =>
        machine.core.lots.read(ticket, this.#exchanges.callOn(lot), { from, hold }, world.now),
      { told, patience: hold + READ_PATIENCE, ...(at === undefined ? {} : { at }) },
    );
  }

  /** Reads the body of one item. */
  readBody(lot: LotSight): void {
    const { world } = this.#fleet;
    const { id } = world.chance.pick(lot.entries);
    const told = (answer: LotReply | undefined): void => {
      if (answer?.kind === "body" && new TextDecoder().decode(answer.bytes) !== bodyOf(id))
        this.#fleet.violation(`the body of ${id} differs`);
      if (answer?.kind === "missing" && lot.endAskedAt === undefined)
        world.after(LISTED_LOOK_EVERY, () => this.#judgeMissing(lot, id));
    };
    this.#exchanges.ask(
      (machine, ticket) =>
        machine.core.lots.item(ticket, this.#exchanges.callOn(lot), id, world.now),
      { told },
    );
  }

  /** To another tenant, and to who shows no credential, the lot is not there. */
  readAsStranger(lot: LotSight): void {
    const { world, tenants } = this.#fleet;
    if (tenants === undefined || lot.tenant === undefined) return;
    const call = this.#exchanges.callOn(lot, tenants.stranger(lot.tenant));
    const { id } = world.chance.pick(lot.entries);
    this.#judgeStranger(lot, "missing", (machine, ticket) =>
      machine.core.lots.read(ticket, call, { from: 0, hold: 0 }, world.now),
    );
    this.#judgeStranger(lot, "missing", (machine, ticket) =>
      machine.core.lots.item(ticket, call, id, world.now),
    );
    this.#judgeStranger(lot, "missing", (machine, ticket) =>
      machine.core.lots.end(ticket, call, world.now),
    );
    const nobody = { ...call, credential: undefined };
    this.#judgeStranger(lot, "unauthorized", (machine, ticket) =>
      machine.core.lots.end(ticket, nobody, world.now),
    );
  }

  #judgeStranger({ id }: LotSight, expected: LotReply["kind"], enter: Enter): void {
    const told = (answer: LotReply | undefined): void => {
      const kind = answer?.kind ?? "silence";
      this.#fleet.count(`stranger ${kind}`);
      if (kind !== expected && kind !== "later" && kind !== "silence")
        this.#fleet.violation(`a stranger was told "${kind}" of ${id}`);
    };
    this.#exchanges.ask(enter, { told });
  }

  /** A body may be missing only where its item is listed by now. */
  #judgeMissing(lot: LotSight, id: string): void {
    const { world, quietAt } = this.#fleet;
    if (lot.endAskedAt !== undefined || lot.shown.some(({ item }) => item === id)) return;
    if (lot.doneAt !== undefined || world.now > quietAt + LISTED_WITHIN)
      this.#fleet.violation(`the body of ${id} was missing, and it is not listed`);
    else world.after(LISTED_LOOK_EVERY, () => this.#judgeMissing(lot, id));
  }

  /** What one answer shows for itself; what answers show together is judged as the lot's history. */
  #see(
    lot: LotSight,
    from: number,
    { total, results, next }: Extract<LotReply, { kind: "results" }>,
  ): void {
    if (total !== lot.items.size || next !== from + results.length)
      this.#fleet.violation(`${lot.id}: total ${total}, next ${next}`);
    for (const [offset, result] of results.entries()) {
      if (from + offset < lot.shown.length) continue;
      this.#judge(lot, result);
      lot.shown.push(result);
    }
    if (lot.shown.length === lot.items.size) lot.doneAt ??= this.#fleet.world.now;
  }

  #judge(lot: LotSight, result: LotResult): void {
    const item = lot.items.get(result.item);
    if (item === undefined)
      return this.#fleet.violation(`${lot.id} lists ${result.item}, which is not its own`);
    this.#fleet.count(`item ${result.state}`);
    if (result.state === "failed") return this.#judgeFailed(lot, item);
    const texts: string[] = [];
    for (let number = 1; number <= item.events; number += 1)
      texts.push(eventDataOf(item.id, number));
    if (result.text !== texts.join("\n"))
      this.#fleet.violation(`${item.id} is solved with ${JSON.stringify(result.text)}`);
  }

  #judgeFailed(lot: LotSight, item: ItemRecord): void {
    const mayFail =
      item.poisoned ||
      item.troubles >= TROUBLES_LEAST ||
      lot.endAskedAt !== undefined ||
      this.#fleet.world.now >= lot.firstAt + GIVEN_UP_AFTER;
    if (!mayFail) this.#fleet.violation(`${item.id} is given up after ${item.troubles} troubles`);
  }
}
