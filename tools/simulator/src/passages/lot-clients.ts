import type { LotEntry, LotReply } from "@chutewick/data";
import type { AccessMachine } from "../machines.js";
import type { Enter, LotExchanges } from "./exchanges.js";
import type { LotReader } from "./lot-reader.js";
import type { PassFleet } from "./pass-fleet.js";
import { bodyOf, isRefused, pathOf, type ItemRecord, type LotSight } from "./records.js";

const USUAL_ITEMS = 12;
/** Tokens of an item: at least so many, and below so many more. */
const TOKENS_LEAST = 10;
const TOKENS_SPREAD = 20;
/** Events of an item's answer at most, and the share of items that every runner turns away. */
const EVENTS_MOST = 12;
const POISONED_SHARE = 0.02;
/** Tries of a lot: at least, where all were refused or it was taken meanwhile, and at most. */
const TRIES_LEAST = 3;
const TRIES_MOST = 8;
/** ms between two tries. */
const RETRY_PAUSE = [100, 600] as const;
/** Share of lots that are handed in twice at once. */
const TWICE_SHARE = 0.1;
/** Share of lots that are ended early, ms from their taking on, and until an end that was not heard is asked for again. */
const ENDED_SHARE = 0.1;
const ENDED_AFTER = [50, 2_500] as const;
const END_PAUSE = 300;
/** Share of reads from an earlier place, and of reads with a hold, of so many ms. */
const EARLIER_SHARE = 0.15;
const HELD_SHARE = 0.7;
const HOLD = 1_000;
/** ms from the acceptance of a lot until it is handed in again, and how often that happens at least and below. */
const RESUBMITTED_AFTER = [200, 6_000] as const;
const RESUBMISSIONS = [1, 4] as const;
/** ms between two reads of a lot, and between two reads of a body. */
const READ_EVERY = [200, 500] as const;
const BODY_EVERY = [500, 3_000] as const;
/** Troubles after which an item does not wait any more. */
const TROUBLES_MOST = 3;

/** Clients that hand in lots on the passage, follow them and end some. */
export class PassLotClients {
  readonly #fleet: PassFleet;
  readonly #exchanges: LotExchanges;
  readonly #reader: LotReader;
  #lotNumber = 0;

  constructor(fleet: PassFleet, exchanges: LotExchanges, reader: LotReader) {
    this.#fleet = fleet;
    this.#exchanges = exchanges;
    this.#reader = reader;
  }

  /** A new lot of a random size, which is followed once it is taken. */
  handIn(): LotSight {
    const { world, options, lots, itemOf, tenants } = this.#fleet;
    this.#lotNumber += 1;
    const id = `lot/${this.#lotNumber}.x`;
    const entries: LotEntry[] = [];
    const items = new Map<string, ItemRecord>();
    const count = 1 + world.chance.below((options.items ?? USUAL_ITEMS) * 2 - 1);
    for (let index = 0; index < count; index += 1) {
      const item = `${id}-${index}`;
      entries.push(this.#newEntry(item));
      items.set(item, this.#newItem(item));
    }
    const lot = newLot({ id, tenant: tenants?.pick(), items, entries, firstAt: world.now });
    for (const item of items.values()) itemOf.set(item.id, { lot, item });
    lots.push(lot);
    this.#submit(lot);
    return lot;
  }

  /** Asks for the end of a lot, again and again until it is told. */
  end(lot: LotSight): void {
    const { world } = this.#fleet;
    lot.endAskedAt ??= world.now;
    const told = (answer: LotReply | undefined): void => {
      this.#fleet.count(`end ${answer?.kind ?? "silence"}`);
      if (answer?.kind === "ended") lot.endedAt ??= world.now;
      else if (answer?.kind !== "missing") world.after(END_PAUSE, () => this.end(lot));
    };
    this.#exchanges.askLot(
      lot,
      { kind: "end" },
      (machine, ticket) => machine.core.lots.end(ticket, this.#exchanges.callOn(lot), world.now),
      { told },
    );
  }

  #newEntry(id: string): LotEntry {
    return {
      id,
      path: pathOf(id),
      headers: [],
      body: new TextEncoder().encode(bodyOf(id)),
      tokens: TOKENS_LEAST + this.#fleet.world.chance.below(TOKENS_SPREAD),
      model: "m",
    };
  }

  #newItem(id: string): ItemRecord {
    const { chance } = this.#fleet.world;
    return {
      id,
      events: 1 + chance.below(EVENTS_MOST),
      poisoned: chance.happens(POISONED_SHARE),
      troubles: 0,
      finished: false,
      finishedAt: 0,
      begunAt: 0,
      runs: 0,
    };
  }

  /** Another client hands the lot in once more; `told` hears the answer. */
  handInAgain(
    lot: LotSight,
    told: (answer: LotReply | undefined) => void,
    at?: AccessMachine,
  ): void {
    const enter = this.#entering(lot);
    this.#exchanges.askLot(lot, { kind: "admit" }, enter, {
      told,
      ...(at === undefined ? {} : { at }),
    });
  }

  #entering(lot: LotSight): Enter {
    const submission = {
      ...this.#exchanges.callOn(lot),
      path: pathOf("x"),
      entries: lot.entries,
    };
    return (machine, ticket) => machine.core.lots.submit(ticket, submission, this.#fleet.world.now);
  }

  #submit(lot: LotSight): void {
    const { world } = this.#fleet;
    const enter = this.#entering(lot);
    const told = (answer: LotReply | undefined): void => this.#submitted(lot, answer);
    this.#exchanges.askLot(lot, { kind: "admit" }, enter, { told });
    const isSentTwice = world.chance.happens(TWICE_SHARE) && lot.tries.length === 0;
    if (!isSentTwice) return;
    const twice = (answer: LotReply | undefined): void => {
      if (answer?.kind === "taken" && lot.takenAt === undefined) told(answer);
      else lot.tries.push(answer?.kind ?? "silence");
    };
    this.#exchanges.askLot(lot, { kind: "admit" }, enter, { told: twice });
  }

  #submitted(lot: LotSight, answer: LotReply | undefined): void {
    const { world } = this.#fleet;
    const outcome = answer === undefined ? "silence" : answer.kind;
    lot.tries.push(outcome);
    if (answer !== undefined) lot.toldAt ??= world.now;
    this.#fleet.count(`hand-in ${outcome}`);
    if (outcome === "unauthorized") this.#fleet.violation(`${lot.id} was not authorized`);
    if (outcome === "taken") return this.#taken(lot);
    const isSettled = lot.takenAt !== undefined || lot.tries.every(isRefused);
    if (lot.tries.length >= (isSettled ? TRIES_LEAST : TRIES_MOST)) return;
    world.after(world.chance.between(...RETRY_PAUSE), () => this.#submit(lot));
  }

  #taken(lot: LotSight): void {
    if (lot.takenAt !== undefined) return;
    lot.takenAt = this.#fleet.world.now;
    this.#judgeAllowance();
    this.#follow(lot);
  }

  /** Of each tenant, tokens accepted and not finished, of lots whose end was not asked for, are within the allowance. */
  #judgeAllowance(): void {
    const { options, lots } = this.#fleet;
    const { allowance } = options;
    if (allowance === undefined) return;
    const byTenant = new Map<string | undefined, number>();
    for (const lot of lots)
      if (lot.takenAt !== undefined && lot.endAskedAt === undefined)
        byTenant.set(lot.tenant, (byTenant.get(lot.tenant) ?? 0) + waitingTokens(lot));
    for (const tokens of byTenant.values())
      if (tokens > allowance) this.#fleet.violation(`${tokens} tokens wait, ${allowance} may`);
  }

  /** Hands in an accepted lot again a few times, each time at two nodes at once. */
  #resubmit(lot: LotSight): void {
    const { world } = this.#fleet;
    const told = (answer: LotReply | undefined): void =>
      this.#fleet.count(`resubmission ${answer?.kind ?? "silence"}`);
    const count = Math.floor(world.chance.between(...RESUBMISSIONS));
    for (let number = 0; number < count; number += 1)
      world.after(world.chance.between(...RESUBMITTED_AFTER), () => {
        this.handInAgain(lot, told);
        this.handInAgain(lot, told);
      });
  }

  #follow(lot: LotSight): void {
    const { world, options } = this.#fleet;
    if (options.resubmits === true) this.#resubmit(lot);
    if (world.chance.happens(options.endedShare ?? ENDED_SHARE))
      world.after(world.chance.between(...ENDED_AFTER), () => this.end(lot));
    this.#readOn(lot);
    this.#readBodies(lot);
  }

  #readOn(lot: LotSight): void {
    const { world } = this.#fleet;
    if (lot.doneAt !== undefined || lot.endAskedAt !== undefined) return;
    const from = world.chance.happens(EARLIER_SHARE)
      ? world.chance.below(lot.shown.length + 1)
      : lot.shown.length;
    const hold = world.chance.happens(HELD_SHARE) ? HOLD : 0;
    this.#reader.read(lot, { from, hold }, () =>
      world.after(world.chance.between(...READ_EVERY), () => this.#readOn(lot)),
    );
  }

  #readBodies(lot: LotSight): void {
    const { world } = this.#fleet;
    if (lot.doneAt !== undefined || lot.endAskedAt !== undefined) return;
    this.#reader.readBody(lot);
    this.#reader.readAsStranger(lot);
    world.after(world.chance.between(...BODY_EVERY), () => this.#readBodies(lot));
  }
}

function newLot(
  begun: Pick<LotSight, "id" | "tenant" | "items" | "entries" | "firstAt">,
): LotSight {
  return {
    ...begun,
    tries: [],
    toldAt: undefined,
    takenAt: undefined,
    endAskedAt: undefined,
    endedAt: undefined,
    shown: [],
    operations: [],
    doneAt: undefined,
  };
}

/** Tokens of a lot's items that still may run. */
function waitingTokens(lot: LotSight): number {
  let tokens = 0;
  for (const [place, item] of [...lot.items.values()].entries())
    if (!item.finished && !item.poisoned && item.troubles < TROUBLES_MOST)
      tokens += lot.entries[place]!.tokens;
  return tokens;
}
