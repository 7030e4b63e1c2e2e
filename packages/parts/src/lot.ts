import { bucket, type Bucket } from "./bucket.js";
import { constants } from "./constants.js";
import type { Ledger, StateMachine } from "./ledger.js";
import { LotDirectory } from "./lot-directory.js";
import type { Item, Lot, QueueCommand, QueueResult } from "./lot-messages.js";
import {
  endedAt,
  goneResult,
  isExpired,
  itemKey,
  itemViews,
  lotKey,
  seasonOf,
  deadlineExceeded,
  type FinalState,
  type OpenItem,
  type LotTombstone,
} from "./lot-records.js";
import { classesOf, governingClass, sameLimits, seasonCharged, type Share } from "./lot-shares.js";
import { applyPassCommand } from "./pass-commands.js";
import { PassQueue } from "./pass-queue.js";
import {
  bucketKey,
  limitsKey,
  sequenceKey,
  limitedBucket,
  restoreToken,
  type Context,
} from "./queue-bucket.js";
import type { Selector } from "./season.js";
import { Tombstones } from "./tombstones.js";
import { WaitingItems, type WaitingItem } from "./waiting.js";

type SubmitCommand = Extract<QueueCommand, { kind: "admit" }>;

const noSelectors: readonly Selector[] = [];

/**
 * The replicated state machine of one queue: its token bucket, lots (batch jobs), their items and results. The queue's owner
 * applies each command atomically (docs/design.md §3, §5).
 */
export class QueueMachine implements StateMachine {
  /** Queued items by season; derived from the ledger. */
  #waiting = new WaitingItems<WaitingItem>();
  /** Number of unfinished items by lot. */
  #openByLot = new Map<string, number>();
  /** By lot: the season whose share its unfinished items count against. */
  #seasonByLot = new Map<string, string>();
  /** Attempt number of each active claim, by item key. */
  #processing = new Map<string, number>();
  #lots = new Set<string>();
  #tombstones = new Tombstones<LotTombstone>("gone/", endedAt);
  /** Lots that were submitted on passages; they share the bucket and the sequence numbers (docs/design.md §13.7). */
  readonly passQueue = new PassQueue();
  /** Only the chain of the lot directory has records of it. */
  readonly #directory = new LotDirectory();

  rebuild(ledger: Ledger): void {
    this.passQueue.rebuild(ledger);
    this.#directory.rebuild(ledger);
    this.#waiting.clear();
    this.#openByLot.clear();
    this.#processing.clear();
    this.#lots.clear();
    for (const [, lot] of ledger.under<Lot>("lot/")) {
      this.#lots.add(lot.id);
      if (lot.open > 0) this.#openByLot.set(lot.id, lot.open);
    }
    for (const [key, item] of ledger.under<Item>("item/")) {
      if (item.state === "queued")
        this.#waiting.push(seasonOf(ledger, item), { sequence: item.sequence, key });
      if (item.state === "processing") this.#processing.set(key, item.go);
    }
    this.#waiting.sort();
    this.#assignSeasons(ledger);
    this.#tombstones.rebuild(ledger);
  }

  /** Active claims by item key, each with its attempt number; the queue's owner checks them for missing heartbeats. */
  processing(): ReadonlyMap<string, number> {
    return this.#processing;
  }

  share(ledger: Ledger): Share | undefined {
    return ledger.read<Share>(limitsKey);
  }

  get waiting(): number {
    return this.passQueue.waiting + this.#waiting.size;
  }

  /** Number of unfinished items (queued, or claimed and possibly requeued) by the season whose share they count against. */
  openItemsBySeason(): Map<string, number> {
    const counts = new Map<string, number>();
    for (const [lot, count] of this.#openByLot) {
      const season = this.#seasonByLot.get(lot) ?? "";
      counts.set(season, (counts.get(season) ?? 0) + count);
    }
    return counts;
  }

  /** Unfinished lots count against their own season while it has a share, then against the first one that selects them now. */
  #assignSeasons(ledger: Ledger): void {
    this.#seasonByLot.clear();
    const classes = classesOf(this.share(ledger));
    for (const id of this.#openByLot.keys()) {
      const lot = ledger.read<Lot>(lotKey(id))!;
      this.#seasonByLot.set(id, seasonCharged(classes, lot.season ?? "", lot.labels));
    }
  }

  /** Whether `expire` has something to do: a deadline has passed, or the retention of results or tombstones has ended. */
  isExpiryDue(ledger: Ledger, time: number): boolean {
    for (const id of this.#lots) {
      const lot = ledger.read<Lot>(lotKey(id));
      if (lot !== undefined && isExpired(lot, time)) return true;
    }
    return (
      this.#tombstones.hasExpired(time) ||
      this.passQueue.isExpiryDue(time) ||
      this.#directory.isExpiryDue(time)
    );
  }

  apply(ledger: Ledger, input: unknown, time: number): QueueResult {
    const command = input as QueueCommand;
    const context: Context = { ledger, time };
    switch (command.kind) {
      case "limit":
        return this.#applyLimits(context, command);
      case "admit":
        return this.#submit(context, command);
      case "pop":
        return this.#dequeue(context, command.holder, command.unable ?? []);
      case "record":
        return this.#record(context, command);
      case "cancel":
        return this.#cancel(context, command.lot);
      case "reset":
        return this.#reset(context, command.items);
      case "expire":
        return this.#expire(context);
      case "status":
        return this.#status(context, command.lot);
      case "count":
        return this.#count(context);
      case "assign-lot":
        return this.#directory.assign(context, command);
      default:
        return applyPassCommand(this.passQueue, context, command);
    }
  }

  /** Stores the limits and the queue's share of waiting work; an older version of the control state is rejected as stale. */
  #applyLimits({ ledger, time }: Context, command: Share): QueueResult {
    const previous = ledger.read<Share>(limitsKey);
    if (previous !== undefined && previous.mark >= command.mark) return { kind: "STALE" };
    const current = ledger.read<Bucket>(bucketKey);
    if (previous === undefined || current === undefined)
      ledger.put(bucketKey, bucket.full(command.limits, time));
    else if (!sameLimits(previous.limits, command.limits))
      ledger.put(bucketKey, bucket.changeLimits(current, previous.limits, command.limits, time));
    ledger.put(limitsKey, {
      limits: command.limits,
      share: command.share,
      mark: command.mark,
      ...(command.classes === undefined ? {} : { classes: command.classes }),
    } satisfies Share);
    this.#assignSeasons(ledger);
    return { kind: "DONE", count: 1 };
  }

  #submit(context: Context, command: SubmitCommand): QueueResult {
    const known = this.#findKnownLot(context, command);
    if (known !== undefined) return known;
    const governing = governingClass(this.share(context.ledger), command.labels);
    const share = governing?.share ?? 0;
    const allowance = governing?.season === "" ? Math.min(command.allowance, share) : share;
    const season = governing?.season ?? "";
    const waiting = this.openItemsBySeason().get(season) ?? 0;
    const items = command.prompts.length;
    if (waiting + items > allowance) {
      const wait = this.#estimateWait(context, items, waiting, allowance);
      return { kind: "FULL", items, waiting, allowance, season, wait };
    }
    return this.#addLot(context, command, season, governing?.runners ?? noSelectors);
  }

  /** Idempotency: a known lot id with the same body is acknowledged again, also after its results were deleted. */
  #findKnownLot({ ledger, time }: Context, { lot, body }: SubmitCommand): QueueResult | undefined {
    const known = ledger.read<Lot>(lotKey(lot));
    if (known !== undefined) {
      if (known.body !== body) return { kind: "CONFLICT", lot };
      return { kind: "ADMITTED", lot, again: true, remaining: Math.max(0, known.deadline - time) };
    }
    const tombstone = this.#tombstones.read(ledger, lot);
    if (tombstone === undefined) return undefined;
    return tombstone.body === body ? goneResult(tombstone, time) : { kind: "CONFLICT", lot };
  }

  #addLot(
    { ledger, time }: Context,
    command: SubmitCommand,
    season: string,
    runners: readonly Selector[],
  ): QueueResult {
    this.#addItems(ledger, command, season);
    const lot: Lot = {
      id: command.lot,
      way: command.way,
      body: command.body,
      items: command.prompts.length,
      open: command.prompts.length,
      cancelled: false,
      admittedAt: time,
      deadline: time + command.lasts + constants.deadlineGraceMs,
      labels: command.labels,
      season,
      ...(runners.length === 0 ? {} : { runners }),
    };
    this.#openByLot.set(lot.id, lot.items);
    this.#seasonByLot.set(lot.id, season);
    ledger.put(lotKey(lot.id), lot);
    this.#lots.add(lot.id);
    return { kind: "ADMITTED", lot: lot.id, again: false, remaining: lot.deadline - time };
  }

  #addItems(ledger: Ledger, { lot, prompts }: SubmitCommand, season: string): void {
    let sequence = ledger.read<number>(sequenceKey) ?? 1;
    for (const [index, prompt] of prompts.entries()) {
      const key = itemKey(lot, index);
      const item: Item = { lot, index, sequence, state: "queued", go: 0, troubles: 0, prompt };
      ledger.put(key, item);
      this.#waiting.push(season, { sequence, key });
      sequence += 1;
    }
    ledger.put(sequenceKey, sequence);
  }

  /**
   * Earliest time at which there could be free capacity, in ms from now: the excess items must end, and those that are
   * not running yet need a token first.
   */
  #estimateWait(
    { ledger, time }: Context,
    items: number,
    open: number,
    allowance: number,
  ): number | undefined {
    const limited = limitedBucket(ledger);
    if (items > allowance || limited === undefined) return undefined;
    const rate = bucket.rate(limited.limits);
    if (rate <= 0) return undefined;
    const toDequeue = open - this.#processing.size + items - allowance;
    const level = bucket.tokensAt(limited.held, limited.limits, time);
    return Math.max(0, (toDequeue - level) / rate) * 1_000;
  }

  #dequeue(context: Context, holder: string, unable: readonly string[]): QueueResult {
    const { ledger, time } = context;
    const limited = limitedBucket(ledger);
    if (limited === undefined) return { kind: "RATE_LIMITED", wait: undefined };
    const takeNext = (): OpenItem | undefined => this.#takeNext(context, unable);
    const drawn = bucket.draw(limited.held, limited.limits, time, takeNext);
    if (drawn.kind !== "TAKEN") return drawn;
    const { key, item } = drawn.prompt;
    const lot = ledger.read<Lot>(lotKey(item.lot))!;
    const claimed: Item = { ...item, state: "processing", go: item.go + 1, holder };
    ledger.put(key, claimed);
    ledger.put(bucketKey, drawn.bucket);
    this.#processing.set(key, claimed.go);
    return {
      kind: "TAKEN",
      lot: lot.id,
      index: item.index,
      go: claimed.go,
      prompt: item.prompt,
      way: lot.way,
      remaining: lot.deadline - time,
      season: lot.season ?? "",
      runners: lot.runners ?? noSelectors,
    };
  }

  /** Takes the first queued item whose season has runners. Items of lots past their deadline are left for `expire`. */
  #takeNext({ ledger, time }: Context, unable: readonly string[]): OpenItem | undefined {
    const seasons = [...this.#waiting.groups()].filter((season) => !unable.includes(season));
    const taken = this.#waiting.takeFirst(seasons, {
      mayRun: ({ key }) => {
        const item = ledger.read<Item>(key)!;
        return ledger.read<Lot>(lotKey(item.lot))!.deadline > time;
      },
      yields: () => false,
    });
    return taken === undefined
      ? undefined
      : { key: taken.key, item: ledger.read<Item>(taken.key)! };
  }

  /** Records the end of a claim. A claim that is no longer the newest of its item is stale and changes nothing. */
  #record(context: Context, command: Extract<QueueCommand, { kind: "record" }>): QueueResult {
    const key = itemKey(command.lot, command.index);
    const item = context.ledger.read<Item>(key);
    const lot = context.ledger.read<Lot>(lotKey(command.lot));
    if (item === undefined || lot === undefined) return { kind: "UNKNOWN_LOT" };
    if (item.state !== "processing" || item.go !== command.go) return { kind: "STALE" };
    this.#processing.delete(key);
    const ending = command.ending;
    if (ending.kind === "solved")
      return this.#finish(context, { key, item }, { state: "solved", result: ending.result });
    if (ending.kind === "unsent") restoreToken(context);
    const troubles = item.troubles + (ending.kind === "trouble" ? 1 : 0);
    const open: OpenItem = { key, item: { ...item, troubles } };
    if (ending.kind === "trouble" && troubles >= constants.maxFailedAttempts)
      return this.#finish(context, open, { state: "failed", reason: ending.reason });
    return this.#requeue(context, open, lot);
  }

  /** Puts the item back at its original position in the queue; in a cancelled lot it is cancelled instead. */
  #requeue(context: Context, open: OpenItem, lot: Lot): QueueResult {
    if (lot.cancelled) return this.#finish(context, open, { state: "cancelled" });
    const { key, item } = open;
    context.ledger.put(key, { ...item, state: "queued", holder: undefined });
    this.#waiting.reinsert(lot.season ?? "", { sequence: item.sequence, key });
    return { kind: "RECORDED", state: "queued" };
  }

  #finish({ ledger, time }: Context, { key, item }: OpenItem, final: FinalState): QueueResult {
    const { prompt: _prompt, ...kept } = item;
    ledger.put(key, { ...kept, prompt: null, holder: undefined, ...final });
    const lot = ledger.read<Lot>(lotKey(item.lot))!;
    const open = lot.open - 1;
    if (open === 0) this.#openByLot.delete(lot.id);
    else this.#openByLot.set(lot.id, open);
    ledger.put(lotKey(lot.id), { ...lot, open, ...(open === 0 ? { finishedAt: time } : {}) });
    return { kind: "RECORDED", state: final.state };
  }

  /** Cancels the queued items of a lot at once; running ones are cancelled when they are requeued. */
  #cancel(context: Context, id: string): QueueResult {
    const { ledger } = context;
    const lot = ledger.read<Lot>(lotKey(id));
    if (lot === undefined)
      return this.#tombstones.read(ledger, id) === undefined
        ? { kind: "UNKNOWN_LOT" }
        : { kind: "CANCELLED", lot: id, stopped: 0 };
    if (lot.cancelled || lot.open === 0) return { kind: "CANCELLED", lot: id, stopped: 0 };
    ledger.put(lotKey(id), { ...lot, cancelled: true });
    const stopped = this.#finishQueued(context, id, { state: "cancelled" });
    return { kind: "CANCELLED", lot: id, stopped };
  }

  /** Ends all queued items of a lot; returns how many there were. */
  #finishQueued(context: Context, id: string, final: FinalState): number {
    const { ledger } = context;
    const season = ledger.read<Lot>(lotKey(id))!.season ?? "";
    const ended = new Set<string>();
    for (const { key } of this.#waiting.itemsOf(season)) {
      const item = ledger.read<Item>(key)!;
      if (item.lot !== id) continue;
      this.#finish(context, { key, item }, final);
      ended.add(key);
    }
    this.#waiting.remove(season, ended);
    return ended.size;
  }

  /** Requeues items whose claims lost their dispatcher. */
  #reset(
    context: Context,
    items: readonly { lot: string; index: number; go: number }[],
  ): QueueResult {
    let count = 0;
    for (const { lot, index, go } of items) {
      const result = this.#record(context, {
        kind: "record",
        lot,
        index,
        go,
        ending: { kind: "broken" },
      });
      if (result.kind === "RECORDED") count += 1;
    }
    return { kind: "DONE", count };
  }

  /** Fails the lots past their deadline and deletes records past their retention. */
  #expire(context: Context): QueueResult {
    const { ledger, time } = context;
    let count = this.passQueue.expire(context) + this.#directory.expire(context);
    for (const id of [...this.#lots]) {
      const lot = ledger.read<Lot>(lotKey(id))!;
      if (!isExpired(lot, time)) continue;
      count += 1;
      if (lot.finishedAt === undefined) this.#failOpenItems(context, lot);
      else this.#replaceWithTombstone(ledger, lot, lot.finishedAt);
    }
    return { kind: "DONE", count: count + this.#tombstones.removeExpired(ledger, time) };
  }

  /** The lot's deadline has passed: its unfinished items fail. */
  #failOpenItems(context: Context, { id, items }: Lot): void {
    this.#finishQueued(context, id, deadlineExceeded);
    for (let index = 0; index < items; index += 1) {
      const key = itemKey(id, index);
      const item = context.ledger.read<Item>(key)!;
      if (item.state !== "processing") continue;
      this.#processing.delete(key);
      this.#finish(context, { key, item }, deadlineExceeded);
    }
  }

  /** Deletes a lot and its results after their retention; a tombstone remains. */
  #replaceWithTombstone(ledger: Ledger, lot: Lot, finishedAt: number): void {
    for (let index = 0; index < lot.items; index += 1) ledger.remove(itemKey(lot.id, index));
    ledger.remove(lotKey(lot.id));
    this.#lots.delete(lot.id);
    this.#tombstones.put(ledger, {
      lot: lot.id,
      way: lot.way,
      body: lot.body,
      items: lot.items,
      cancelled: lot.cancelled,
      endedAt: finishedAt,
    });
  }

  #status({ ledger, time }: Context, id: string): QueueResult {
    const lot = ledger.read<Lot>(lotKey(id));
    if (lot !== undefined) return { kind: "LOT", lot, items: itemViews(ledger, lot), now: time };
    const tombstone = this.#tombstones.read(ledger, id);
    return tombstone === undefined ? { kind: "UNKNOWN_LOT" } : goneResult(tombstone, time);
  }

  #count({ ledger, time }: Context): QueueResult {
    const limited = limitedBucket(ledger);
    return {
      kind: "COUNT",
      waiting: this.waiting,
      processing: this.#processing.size + this.passQueue.processing().size,
      lots: this.#lots.size + this.passQueue.lotCount,
      tokens: limited === undefined ? 0 : bucket.tokensAt(limited.held, limited.limits, time),
      limits: ledger.read<Share>(limitsKey)?.limits,
      open: Object.fromEntries(this.openItemsBySeason()),
    };
  }
}
