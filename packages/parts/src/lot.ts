import { bucket, type Bucket } from "./bucket.js";
import { constants } from "./constants.js";
import type { Ledger, Machine } from "./ledger.js";
import type { Item, Lot, QueueCommand, QueueResult } from "./lot-messages.js";
import {
  endedAt,
  gone,
  isExpired,
  itemKey,
  itemViews,
  lotKey,
  seasonOf,
  ranOut,
  type Final,
  type OpenItem,
  type Stone,
} from "./lot-records.js";
import { classesOf, governs, sameLimits, weighsOn, type Share } from "./lot-shares.js";
import type { PassCommand } from "./pass-messages.js";
import { PassQueue } from "./pass-queue.js";
import { passReads } from "./pass-reads.js";
import {
  keyBucket,
  keyLimits,
  keySequence,
  limitedBucket,
  restoreToken,
  type Step,
} from "./queue-bucket.js";
import type { Selector } from "./season.js";
import { Tombstones } from "./tombstones.js";
import { WaitingItems, type WaitingItem } from "./waiting.js";

type Admission = Extract<QueueCommand, { kind: "admit" }>;

const none: readonly Selector[] = [];

/** One queue with its bucket, lots, items and results: one atomic step each at its owner (docs/design.md §3, §5). */
export class QueueMachine implements Machine {
  /** Derived from the ledger: what waits, by season. */
  #waiting = new WaitingItems<WaitingItem>();
  /** Items of each lot that wait or are under way, and the season whose share they weigh on. */
  #open = new Map<string, number>();
  #weighsOn = new Map<string, string>();
  #processing = new Map<string, number>();
  #lots = new Set<string>();
  #stones = new Tombstones<Stone>("gone/", endedAt);
  /** Lots of passages, under the same bucket and in the same order (§13.7). */
  readonly passes = new PassQueue();

  rebuild(ledger: Ledger): void {
    this.passes.rebuild(ledger);
    this.#waiting.clear();
    this.#open.clear();
    this.#processing.clear();
    this.#lots.clear();
    for (const [, lot] of ledger.under<Lot>("lot/")) {
      this.#lots.add(lot.id);
      if (lot.open > 0) this.#open.set(lot.id, lot.open);
    }
    for (const [key, item] of ledger.under<Item>("item/")) {
      if (item.state === "queued")
        this.#waiting.push(seasonOf(ledger, item), { sequence: item.sequence, key });
      if (item.state === "processing") this.#processing.set(key, item.go);
    }
    this.#waiting.sort();
    this.#weigh(ledger);
    this.#stones.rebuild(ledger);
  }

  /** Claims under way, for the owner's watch over signs of life. */
  processing(): ReadonlyMap<string, number> {
    return this.#processing;
  }

  share(ledger: Ledger): Share | undefined {
    return ledger.read<Share>(keyLimits);
  }

  get waiting(): number {
    return this.passes.waiting + this.#waiting.size;
  }

  /** What waits and what may come back to wait, by the season whose share it weighs on (§8.4). */
  open(): Map<string, number> {
    const counts = new Map<string, number>();
    for (const [lot, count] of this.#open) {
      const on = this.#weighsOn.get(lot) ?? "";
      counts.set(on, (counts.get(on) ?? 0) + count);
    }
    return counts;
  }

  /** A lot weighs on its own season while that is open, then on the first one that would select it now. */
  #weigh(ledger: Ledger): void {
    this.#weighsOn.clear();
    const classes = classesOf(this.share(ledger));
    for (const id of this.#open.keys()) {
      const lot = ledger.read<Lot>(lotKey(id))!;
      this.#weighsOn.set(id, weighsOn(classes, lot.season ?? "", lot.labels));
    }
  }

  /** Whether time alone has something to do: a deadline passed or a kept lot grown old. */
  due(ledger: Ledger, time: number): boolean {
    for (const id of this.#lots) {
      const lot = ledger.read<Lot>(lotKey(id));
      if (lot !== undefined && isExpired(lot, time)) return true;
    }
    return this.#stones.isDue(time) || this.passes.due(time);
  }

  apply(ledger: Ledger, input: unknown, time: number): QueueResult {
    const command = input as QueueCommand;
    const step: Step = { ledger, time };
    switch (command.kind) {
      case "limit":
        return this.#limit(step, command);
      case "admit":
        return this.#admit(step, command);
      case "pop":
        return this.#pop(step, command.holder, command.unable ?? []);
      case "record":
        return this.#record(step, command);
      case "cancel":
        return this.#cancel(step, command.lot);
      case "reset":
        return this.#reset(step, command.items);
      case "expire":
        return this.#expire(step);
      case "status":
        return this.#status(step, command.lot);
      case "count":
        return this.#count(step);
      default:
        return this.#applyPass(step, command);
    }
  }

  #applyPass(step: Step, command: PassCommand): QueueResult {
    switch (command.kind) {
      case "hand-in":
        return this.passes.handIn(step, command);
      case "draw":
        return this.passes.draw(step, command);
      case "settle":
        return this.passes.settle(step, command);
      case "end":
        return this.passes.end(step, command);
      case "drop-way":
        return this.passes.dropWay(step, command.way);
      case "results":
        return passReads.results(step.ledger, command);
      case "read-item":
        return passReads.readItem(step.ledger, command);
    }
  }

  /** Limits and the share of waiting work, entered by the owner under the mark of control state (§8.4). */
  #limit({ ledger, time }: Step, command: Share): QueueResult {
    const before = ledger.read<Share>(keyLimits);
    if (before !== undefined && before.mark >= command.mark) return { kind: "STALE" };
    const held = ledger.read<Bucket>(keyBucket);
    if (before === undefined || held === undefined)
      ledger.put(keyBucket, bucket.full(command.limits, time));
    else if (!sameLimits(before.limits, command.limits))
      ledger.put(keyBucket, bucket.relimit(held, before.limits, command.limits, time));
    ledger.put(keyLimits, {
      limits: command.limits,
      share: command.share,
      mark: command.mark,
      ...(command.classes === undefined ? {} : { classes: command.classes }),
    } satisfies Share);
    this.#weigh(ledger);
    return { kind: "DONE", count: 1 };
  }

  #admit(step: Step, command: Admission): QueueResult {
    const known = this.#knownLot(step, command);
    if (known !== undefined) return known;
    const governing = governs(this.share(step.ledger), command.labels);
    const share = governing?.share ?? 0;
    const allowance = governing?.season === "" ? Math.min(command.allowance, share) : share;
    const season = governing?.season ?? "";
    const waiting = this.open().get(season) ?? 0;
    const items = command.prompts.length;
    if (waiting + items > allowance) {
      const wait = this.#waitFor(step, items, waiting, allowance);
      return { kind: "FULL", items, waiting, allowance, season, wait };
    }
    return this.#enter(step, command, season, governing?.runners ?? none);
  }

  /** The same key with the same items is the same lot, also when it ended long ago. */
  #knownLot({ ledger, time }: Step, { lot, body }: Admission): QueueResult | undefined {
    const held = ledger.read<Lot>(lotKey(lot));
    if (held !== undefined) {
      if (held.body !== body) return { kind: "CONFLICT", lot };
      return { kind: "ADMITTED", lot, again: true, remaining: Math.max(0, held.deadline - time) };
    }
    const stone = this.#stones.read(ledger, lot);
    if (stone === undefined) return undefined;
    return stone.body === body ? gone(stone, time) : { kind: "CONFLICT", lot };
  }

  #enter(
    { ledger, time }: Step,
    command: Admission,
    season: string,
    runners: readonly Selector[],
  ): QueueResult {
    this.#enterItems(ledger, command, season);
    const lot: Lot = {
      id: command.lot,
      way: command.way,
      body: command.body,
      items: command.prompts.length,
      open: command.prompts.length,
      cancelled: false,
      admittedAt: time,
      deadline: time + command.lasts + constants.deadlineGrace,
      labels: command.labels,
      season,
      ...(runners.length === 0 ? {} : { runners }),
    };
    this.#open.set(lot.id, lot.items);
    this.#weighsOn.set(lot.id, season);
    ledger.put(lotKey(lot.id), lot);
    this.#lots.add(lot.id);
    return { kind: "ADMITTED", lot: lot.id, again: false, remaining: lot.deadline - time };
  }

  #enterItems(ledger: Ledger, { lot, prompts }: Admission, season: string): void {
    let sequence = ledger.read<number>(keySequence) ?? 1;
    for (const [index, prompt] of prompts.entries()) {
      const key = itemKey(lot, index);
      const item: Item = { lot, index, sequence, state: "queued", go: 0, troubles: 0, prompt };
      ledger.put(key, item);
      this.#waiting.push(season, { sequence, key });
      sequence += 1;
    }
    ledger.put(keySequence, sequence);
  }

  /** When there could be room at the earliest: what is too much must end, and what is not under way yet needs a token first. */
  #waitFor(
    { ledger, time }: Step,
    items: number,
    open: number,
    allowance: number,
  ): number | undefined {
    const limited = limitedBucket(ledger);
    if (items > allowance || limited === undefined) return undefined;
    const rate = bucket.rate(limited.limits);
    if (rate <= 0) return undefined;
    const toDraw = open - this.#processing.size + items - allowance;
    const level = bucket.level(limited.held, limited.limits, time);
    return Math.max(0, (toDraw - level) / rate) * 1_000;
  }

  #pop(step: Step, holder: string, unable: readonly string[]): QueueResult {
    const { ledger, time } = step;
    const limited = limitedBucket(ledger);
    if (limited === undefined) return { kind: "RATE_LIMITED", wait: undefined };
    const take = (): OpenItem | undefined => this.#first(step, unable);
    const drawn = bucket.draw(limited.held, limited.limits, time, take);
    if (drawn.kind !== "TAKEN") return drawn;
    const { key, item } = drawn.prompt;
    const lot = ledger.read<Lot>(lotKey(item.lot))!;
    const claimed: Item = { ...item, state: "processing", go: item.go + 1, holder };
    ledger.put(key, claimed);
    ledger.put(keyBucket, drawn.bucket);
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
      runners: lot.runners ?? none,
    };
  }

  /** The first in the queue whose season has runners; items of a lot whose time has run out are left to the expiry, not run. */
  #first({ ledger, time }: Step, unable: readonly string[]): OpenItem | undefined {
    const able = [...this.#waiting.groups()].filter((season) => !unable.includes(season));
    const taken = this.#waiting.takeFirst(able, {
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

  #record(step: Step, command: Extract<QueueCommand, { kind: "record" }>): QueueResult {
    const key = itemKey(command.lot, command.index);
    const item = step.ledger.read<Item>(key);
    const lot = step.ledger.read<Lot>(lotKey(command.lot));
    if (item === undefined || lot === undefined) return { kind: "UNKNOWN_LOT" };
    if (item.state !== "processing" || item.go !== command.go) return { kind: "STALE" };
    this.#processing.delete(key);
    const ending = command.ending;
    if (ending.kind === "solved")
      return this.#finish(step, { key, item }, { state: "solved", result: ending.result });
    if (ending.kind === "unsent") restoreToken(step);
    const troubles = item.troubles + (ending.kind === "trouble" ? 1 : 0);
    const open: OpenItem = { key, item: { ...item, troubles } };
    if (ending.kind === "trouble" && troubles >= constants.troublesMost)
      return this.#finish(step, open, { state: "failed", reason: ending.reason });
    return this.#giveBack(step, open, lot);
  }

  /** Back to its own place in the queue; in a cancelled lot it ends there. */
  #giveBack(step: Step, open: OpenItem, lot: Lot): QueueResult {
    if (lot.cancelled) return this.#finish(step, open, { state: "cancelled" });
    const { key, item } = open;
    step.ledger.put(key, { ...item, state: "queued", holder: undefined });
    this.#waiting.giveBack(lot.season ?? "", { sequence: item.sequence, key });
    return { kind: "RECORDED", state: "queued" };
  }

  #finish({ ledger, time }: Step, { key, item }: OpenItem, final: Final): QueueResult {
    const { prompt: _prompt, ...kept } = item;
    ledger.put(key, { ...kept, prompt: null, holder: undefined, ...final });
    const lot = ledger.read<Lot>(lotKey(item.lot))!;
    const open = lot.open - 1;
    if (open === 0) this.#open.delete(lot.id);
    else this.#open.set(lot.id, open);
    ledger.put(lotKey(lot.id), { ...lot, open, ...(open === 0 ? { finishedAt: time } : {}) });
    return { kind: "RECORDED", state: final.state };
  }

  #cancel(step: Step, id: string): QueueResult {
    const { ledger } = step;
    const lot = ledger.read<Lot>(lotKey(id));
    if (lot === undefined)
      return this.#stones.read(ledger, id) === undefined
        ? { kind: "UNKNOWN_LOT" }
        : { kind: "CANCELLED", lot: id, stopped: 0 };
    if (lot.cancelled || lot.open === 0) return { kind: "CANCELLED", lot: id, stopped: 0 };
    ledger.put(lotKey(id), { ...lot, cancelled: true });
    const stopped = this.#endWaiting(step, id, { state: "cancelled" });
    return { kind: "CANCELLED", lot: id, stopped };
  }

  /** Ends what waits of a lot; returns how many items that were. */
  #endWaiting(step: Step, id: string, final: Final): number {
    const { ledger } = step;
    const season = ledger.read<Lot>(lotKey(id))!.season ?? "";
    const ended = new Set<string>();
    for (const { key } of this.#waiting.of(season)) {
      const item = ledger.read<Item>(key)!;
      if (item.lot !== id) continue;
      this.#finish(step, { key, item }, final);
      ended.add(key);
    }
    this.#waiting.remove(season, ended);
    return ended.size;
  }

  #reset(step: Step, items: readonly { lot: string; index: number; go: number }[]): QueueResult {
    let count = 0;
    for (const { lot, index, go } of items) {
      const ended = this.#record(step, {
        kind: "record",
        lot,
        index,
        go,
        ending: { kind: "broken" },
      });
      if (ended.kind === "RECORDED") count += 1;
    }
    return { kind: "DONE", count };
  }

  #expire(step: Step): QueueResult {
    const { ledger, time } = step;
    let count = this.passes.expire(step);
    for (const id of [...this.#lots]) {
      const lot = ledger.read<Lot>(lotKey(id))!;
      if (!isExpired(lot, time)) continue;
      count += 1;
      if (lot.finishedAt === undefined) this.#giveUp(step, lot);
      else this.#bury(ledger, lot, lot.finishedAt);
    }
    return { kind: "DONE", count: count + this.#stones.forgetDue(ledger, time) };
  }

  /** The time of a lot has run out: what is not finished ends as failed. */
  #giveUp(step: Step, { id, items }: Lot): void {
    this.#endWaiting(step, id, ranOut);
    for (let index = 0; index < items; index += 1) {
      const key = itemKey(id, index);
      const item = step.ledger.read<Item>(key)!;
      if (item.state !== "processing") continue;
      this.#processing.delete(key);
      this.#finish(step, { key, item }, ranOut);
    }
  }

  /** Results are no longer kept; only that the lot was here. */
  #bury(ledger: Ledger, lot: Lot, finishedAt: number): void {
    for (let index = 0; index < lot.items; index += 1) ledger.remove(itemKey(lot.id, index));
    ledger.remove(lotKey(lot.id));
    this.#lots.delete(lot.id);
    this.#stones.put(ledger, {
      lot: lot.id,
      way: lot.way,
      body: lot.body,
      items: lot.items,
      cancelled: lot.cancelled,
      endedAt: finishedAt,
    });
  }

  #status({ ledger, time }: Step, id: string): QueueResult {
    const lot = ledger.read<Lot>(lotKey(id));
    if (lot !== undefined) return { kind: "LOT", lot, items: itemViews(ledger, lot), now: time };
    const stone = this.#stones.read(ledger, id);
    return stone === undefined ? { kind: "UNKNOWN_LOT" } : gone(stone, time);
  }

  #count({ ledger, time }: Step): QueueResult {
    const limited = limitedBucket(ledger);
    return {
      kind: "COUNT",
      waiting: this.waiting,
      processing: this.#processing.size + this.passes.processing().size,
      lots: this.#lots.size + this.passes.lots,
      tokens: limited === undefined ? 0 : bucket.level(limited.held, limited.limits, time),
      limits: ledger.read<Share>(keyLimits)?.limits,
      open: Object.fromEntries(this.open()),
    };
  }
}
