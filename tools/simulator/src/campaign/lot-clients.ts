import type { LotRecord } from "../checker.js";
import type { ClientSight } from "../machines.js";
import { CLIENT_PATIENCE, deafClient } from "./client-sight.js";
import type { Fleet } from "./fleet.js";
import type { Range } from "./options.js";

const USUAL_ITEMS = 20;
/** Tries of one lot at most: of one that was not refused, and of one that always was. */
const TRIES_MOST = 12;
const USUAL_REFUSED_TRIES = 3;
/** ms between two tries of a lot that was not refused. */
const RETRY_PAUSE: Range = [200, 1_200];
/** Share of lots that are cancelled, and how many ms after the first try. */
const CANCELLED_SHARE = 0.2;
const CANCELLED_AFTER: Range = [50, 3_000];
/** ms until a cancel that was not taken is sent again. */
const CANCEL_PAUSE = 500;
/** Ways on which lots come, as often as they stand here. */
const USUAL_WAYS = ["slips", "slips", "adapted"];
const SEASON_WAYS = ["slips", "adapted", "extra"];

/** One sending of a lot. */
interface Attempt {
  readonly record: LotRecord;
  readonly way: string;
  readonly askedAt: number;
  hasEnded: boolean;
}

/** What came of a sending. */
interface AttemptEnd {
  readonly told: string;
  readonly lot?: string | undefined;
  /** Seconds that a refused client is asked to wait. */
  readonly retryAfter?: number | undefined;
}

/** Clients that hand in lots, try again, and cancel some. */
export class LotClients {
  readonly #fleet: Fleet;
  #lotNumber = 0;

  constructor(fleet: Fleet) {
    this.#fleet = fleet;
  }

  /** A new lot of a random size on a random way, which a fifth of the clients cancel later. */
  handIn(): LotRecord {
    const { world, sight, options } = this.#fleet;
    const record = this.#newRecord();
    sight.lots.push(record);
    this.submit(record, world.chance.pick(options.season === undefined ? USUAL_WAYS : SEASON_WAYS));
    if (world.chance.happens(CANCELLED_SHARE))
      world.after(world.chance.between(...CANCELLED_AFTER), () => this.cancel(record));
    return record;
  }

  /** Sends a lot to any access node, and again until it is accepted or its tries are used up. */
  submit(record: LotRecord, way: string): void {
    const { world, accesses } = this.#fleet;
    const items: unknown[] = [];
    for (let slip = 0; slip < record.count; slip += 1) items.push({ key: record.key, slip });
    const attempt: Attempt = { record, way, askedAt: world.now, hasEnded: false };
    const torn = (): void => this.#end(attempt, { told: "torn" });
    const client: ClientSight = {
      ...deafClient,
      reply: (status, body) => this.#replied(attempt, status, body),
      torn,
    };
    const access = world.chance.pick(accesses);
    access.exchange(client, (ticket) =>
      access.core.submitLot(ticket, way, record.key, items, record.labels, world.now),
    );
    world.after(CLIENT_PATIENCE, torn);
  }

  /** Asks any access node to cancel an accepted lot, and again until it says so. */
  cancel(record: LotRecord): void {
    const { world, accesses } = this.#fleet;
    if (record.acceptedAt === undefined || record.lot === undefined) return;
    record.cancelAskedAt ??= world.now;
    const access = world.chance.pick(accesses);
    const client: ClientSight = {
      ...deafClient,
      reply: (status) => {
        if (status === 200) record.cancelledAt ??= world.now;
        else world.after(CANCEL_PAUSE, () => this.cancel(record));
      },
    };
    access.exchange(client, (ticket) => access.core.cancel(ticket, record.lot!, world.now));
  }

  #newRecord(): LotRecord {
    const { world, options } = this.#fleet;
    this.#lotNumber += 1;
    const isLabelled = options.labelled === true && this.#lotNumber % 2 === 0;
    return {
      key: `lot-${this.#lotNumber}`,
      count: 1 + world.chance.below(options.lotItems ?? USUAL_ITEMS),
      tries: [],
      views: [],
      handIns: [],
      ...(isLabelled ? { labels: { shift: "night" } } : {}),
    };
  }

  #replied(attempt: Attempt, status: number, body: Record<string, unknown>): void {
    const { record } = attempt;
    const lot = body["lot"] as string | undefined;
    if (status !== 202) {
      const told = status === 429 ? "refused" : String(body["trouble"]);
      const retryAfter = body["retryAfter"] as number | undefined;
      return this.#end(attempt, { told, lot, retryAfter });
    }
    const endsWithin = body["endsWithin"] as number | undefined;
    if (endsWithin !== undefined)
      record.endsAt = Math.min(
        record.endsAt ?? Number.POSITIVE_INFINITY,
        this.#fleet.world.now + 1_000 * endsWithin,
      );
    this.#end(attempt, { told: "accepted", lot });
  }

  #end(attempt: Attempt, { told, lot, retryAfter }: AttemptEnd): void {
    if (attempt.hasEnded) return;
    attempt.hasEnded = true;
    const { world, sight } = this.#fleet;
    const { record, askedAt } = attempt;
    record.tries.push(told);
    record.handIns.push({ askedAt, at: world.now, told, lot });
    if (lot !== undefined) record.lot = lot;
    if (told === "accepted") record.acceptedAt ??= world.now;
    /** The owner's refusal for want of room shows as well that admission works again. */
    const isServed = told === "accepted" || told === "refused";
    if (isServed && askedAt > sight.healedAt && sight.healedAt > 0)
      sight.serviceAt.lot ??= world.now;
    if (told !== "accepted") this.#retry(attempt, told === "refused", retryAfter ?? 1);
  }

  #retry({ record, way }: Attempt, isRefused: boolean, retryAfter: number): void {
    const { world, options } = this.#fleet;
    const again = (): void => this.submit(record, way);
    const triesMost = isRefused ? (options.lotTries ?? USUAL_REFUSED_TRIES) : TRIES_MOST;
    if (record.tries.length >= triesMost) return;
    world.after(isRefused ? retryAfter * 1_000 : world.chance.between(...RETRY_PAUSE), again);
  }
}
