import { bucket, type Bucket, type Limits } from "./bucket.js";
import { constants } from "./constants.js";
import type { Ledger, Machine } from "./ledger.js";
import { PassQueue, type PassCommand, type PassResult } from "./pass-queue.js";
import { season as seasons, type Selector } from "./season.js";

/** One queue with its bucket, lots, items and results: one atomic step each at its owner (docs/design.md §3, §5). */
export type ItemState = "queued" | "processing" | "solved" | "failed" | "cancelled";

export interface Lot {
  readonly id: string;
  readonly way: string;
  readonly body: string;
  readonly items: number;
  readonly open: number;
  readonly cancelled: boolean;
  readonly admittedAt: number;
  readonly deadline: number;
  readonly finishedAt?: number;
  readonly labels: Readonly<Record<string, string>>;
  /** The season that governs it from its admission on, or "" for the model's own waiting (§8.4). */
  readonly season?: string;
  /** Which runners it may use. */
  readonly runners?: readonly Selector[];
}

export interface Item {
  readonly lot: string;
  readonly index: number;
  readonly sequence: number;
  readonly state: ItemState;
  /** Number of the claim; only the go that holds the claim may record. */
  readonly go: number;
  readonly troubles: number;
  readonly prompt: unknown;
  readonly holder?: string;
  readonly result?: unknown;
  readonly reason?: string;
}

export type QueueCommand =
  | { kind: "limit"; limits: Limits; share: number; mark: number; classes?: readonly ShareClass[] }
  | {
      kind: "admit";
      lot: string;
      way: string;
      body: string;
      prompts: unknown[];
      labels: Record<string, string>;
      lasts: number;
      allowance: number;
    }
  /** unable: seasons whose runners have no room at the dispatcher; their lots keep their place. */
  | { kind: "pop"; holder: string; unable?: readonly string[] }
  | { kind: "record"; lot: string; index: number; go: number; ending: Ending }
  | { kind: "cancel"; lot: string }
  | { kind: "reset"; items: { lot: string; index: number; go: number }[] }
  | { kind: "expire" }
  | { kind: "status"; lot: string }
  | { kind: "count" }
  | PassCommand;

export type Ending =
  | { kind: "solved"; result: unknown }
  /** The runner itself said that it failed: one of three gos. */
  | { kind: "trouble"; reason: string }
  /** Sent, and the link or the dispatcher broke: back in its place, token spent. */
  | { kind: "broken" }
  /** Never sent, or refused outright: back in its place, token restored. */
  | { kind: "unsent" };

export type QueueResult =
  /** remaining: ms until the lot's time runs out, from the stamping of this result. */
  | { kind: "ADMITTED"; lot: string; again: boolean; remaining: number }
  | { kind: "CONFLICT"; lot: string }
  /** Accepted once and ended long ago: its results are no longer kept, and it does not run again. */
  | {
      kind: "GONE";
      lot: string;
      way: string;
      items: number;
      cancelled: boolean;
      endedBefore: number;
    }
  /** wait in ms until that many items have been drawn off at the full rate; undefined: no wait can be told. */
  | {
      kind: "FULL";
      items: number;
      waiting: number;
      allowance: number;
      season: string;
      wait: number | undefined;
    }
  | {
      kind: "TAKEN";
      lot: string;
      index: number;
      go: number;
      prompt: unknown;
      way: string;
      remaining: number;
      season: string;
      runners: readonly Selector[];
    }
  | { kind: "EMPTY" }
  | { kind: "RATE_LIMITED"; wait: number | undefined }
  | { kind: "RECORDED"; state: ItemState }
  | { kind: "STALE" }
  | { kind: "UNKNOWN_LOT" }
  | { kind: "CANCELLED"; lot: string; stopped: number }
  | { kind: "DONE"; count: number }
  | { kind: "LOT"; lot: Lot; items: ItemView[]; now: number }
  | {
      kind: "COUNT";
      waiting: number;
      processing: number;
      lots: number;
      tokens: number;
      limits: Limits | undefined;
      open: Readonly<Record<string, number>>;
    }
  | PassResult;

/** What the owner holds of control's word: the limits, its share of waiting work, and the mark of both. */
export interface Share {
  readonly limits: Limits;
  /** Sum of the classes' shares. */
  readonly share: number;
  readonly mark: number;
  readonly classes?: readonly ShareClass[];
}

/** Lots of one season in this queue, or those that no season selects (""); asked in this order (§8.4). */
export interface ShareClass {
  readonly season: string;
  readonly select: readonly Selector[];
  readonly runners: readonly Selector[];
  readonly share: number;
}

const none: readonly Selector[] = [];

/** What releases without classes wrote is one class that takes every lot. */
export function classesOf(share: Share | undefined): readonly ShareClass[] {
  return share === undefined
    ? []
    : (share.classes ?? [{ season: "", select: none, runners: none, share: share.share }]);
}

export interface ItemView {
  readonly index: number;
  readonly state: ItemState;
  readonly result?: unknown;
  readonly reason?: string;
}

/** What is left of a lot when its results are no longer kept. */
interface Stone {
  readonly lot: string;
  readonly way: string;
  readonly body: string;
  readonly items: number;
  readonly cancelled: boolean;
  readonly endedAt: number;
}

const keyBucket = "bucket";
const keyLimits = "limits";
const keySequence = "sequence";

function lotKey(lot: string): string {
  return `lot/${lot}`;
}

function stoneKey(lot: string): string {
  return `gone/${lot}`;
}

function itemKey(lot: string, index: number): string {
  return `item/${lot}/${String(index).padStart(6, "0")}`;
}

export function sameLimits(left: Limits, right: Limits): boolean {
  return (
    left.tokens === right.tokens &&
    left.windowSeconds === right.windowSeconds &&
    left.capacity === right.capacity
  );
}

function earlierEnd(left: Stone, right: Stone): number {
  return left.endedAt - right.endedAt || (left.lot < right.lot ? -1 : 1);
}

function isShared(this: { season: string }, each: ShareClass): boolean {
  return each.season === this.season && each.share > 0;
}

/** The first class that selects a lot by its labels. */
function governs(
  share: Share | undefined,
  labels: Readonly<Record<string, string>>,
): ShareClass | undefined {
  for (const each of classesOf(share)) if (seasons.matches(each.select, labels)) return each;
  return undefined;
}

function seasonOf(ledger: Ledger, item: Item): string {
  return ledger.read<Lot>(lotKey(item.lot))?.season ?? "";
}

function sooner(left: [number, string], right: [number, string]): number {
  return left[0] - right[0];
}

export class QueueMachine implements Machine {
  /** Derived from the ledger, by season and in order of sequence: what waits, as [sequence, key of item]. */
  #waiting = new Map<string, [number, string][]>();
  /** Items of each lot that wait or are under way, and the season whose share they weigh on. */
  #open = new Map<string, number>();
  #weighsOn = new Map<string, string>();
  #processing = new Map<string, number>();
  #lots = new Set<string>();
  /** Stones in the order in which they are to be forgotten. */
  #stones: Stone[] = [];
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
        this.#waitingOf(seasonOf(ledger, item)).push([item.sequence, key]);
      if (item.state === "processing") this.#processing.set(key, item.go);
    }
    for (const waiting of this.#waiting.values()) waiting.sort(sooner);
    this.#weigh(ledger);
    this.#stones = [];
    for (const [, stone] of ledger.under<Stone>("gone/")) this.#stones.push(stone);
    this.#stones.sort(earlierEnd);
  }

  /** Claims under way, for the owner's watch over signs of life. */
  processing(): ReadonlyMap<string, number> {
    return this.#processing;
  }

  share(ledger: Ledger): Share | undefined {
    return ledger.read<Share>(keyLimits);
  }

  get waiting(): number {
    let count = this.passes.waiting;
    for (const waiting of this.#waiting.values()) count += waiting.length;
    return count;
  }

  #waitingOf(season: string): [number, string][] {
    let waiting = this.#waiting.get(season);
    if (waiting === undefined) {
      waiting = [];
      this.#waiting.set(season, waiting);
    }
    return waiting;
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
      const own = lot.season ?? "";
      let on = own;
      if (!classes.some(isShared, { season: own }))
        for (const each of classes) {
          if (each.share === 0 || !seasons.matches(each.select, lot.labels)) continue;
          on = each.season;
          break;
        }
      this.#weighsOn.set(id, on);
    }
  }

  /** Whether time alone has something to do: a deadline passed or a kept lot grown old. */
  due(ledger: Ledger, time: number): boolean {
    for (const id of this.#lots) {
      const lot = ledger.read<Lot>(lotKey(id));
      if (lot !== undefined && this.#expired(lot, time)) return true;
    }
    return this.#isForgotten(this.#stones[0], time) || this.passes.due(time);
  }

  apply(ledger: Ledger, input: unknown, time: number): QueueResult {
    const command = input as QueueCommand;
    switch (command.kind) {
      case "limit":
        return this.#limit(ledger, command, time);
      case "admit":
        return this.#admit(ledger, command, time);
      case "pop":
        return this.#pop(ledger, command.holder, command.unable ?? [], time);
      case "record":
        return this.#record(ledger, command, time);
      case "cancel":
        return this.#cancel(ledger, command.lot, time);
      case "reset":
        return this.#reset(ledger, command.items, time);
      case "expire":
        return this.#expire(ledger, time);
      case "status":
        return this.#status(ledger, command.lot, time);
      case "count":
        return this.#count(ledger, time);
      case "hand-in":
        return this.passes.handIn(ledger, command, time);
      case "draw":
        return this.passes.draw(ledger, command, this.#limits(ledger), time);
      case "settle":
        return this.passes.settle(ledger, command, this.#limits(ledger), time);
      case "end":
        return this.passes.end(ledger, command, time);
      case "drop-way":
        return this.passes.dropWay(ledger, command.way, time);
      case "results":
        return this.passes.results(ledger, command);
      case "read-item":
        return this.passes.readItem(ledger, command);
    }
  }

  #limits(ledger: Ledger): Limits | undefined {
    return ledger.read<Share>(keyLimits)?.limits;
  }

  /** Limits and the share of waiting work, entered by the owner under the mark of control state (§8.4). */
  #limit(ledger: Ledger, command: Share, time: number): QueueResult {
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

  #admit(
    ledger: Ledger,
    command: Extract<QueueCommand, { kind: "admit" }>,
    time: number,
  ): QueueResult {
    const held = ledger.read<Lot>(lotKey(command.lot));
    if (held !== undefined) {
      return held.body === command.body
        ? {
            kind: "ADMITTED",
            lot: held.id,
            again: true,
            remaining: Math.max(0, held.deadline - time),
          }
        : { kind: "CONFLICT", lot: held.id };
    }
    const stone = ledger.read<Stone>(stoneKey(command.lot));
    if (stone !== undefined)
      return stone.body === command.body
        ? this.#gone(stone, time)
        : { kind: "CONFLICT", lot: stone.lot };
    const governing = governs(this.share(ledger), command.labels);
    const allowance =
      governing?.season === ""
        ? Math.min(command.allowance, governing.share)
        : (governing?.share ?? 0);
    const open = this.open().get(governing?.season ?? "") ?? 0;
    if (open + command.prompts.length > allowance) {
      return {
        kind: "FULL",
        items: command.prompts.length,
        waiting: open,
        allowance,
        season: governing?.season ?? "",
        wait: this.#waitFor(ledger, command.prompts.length, open, allowance, time),
      };
    }
    let sequence = ledger.read<number>(keySequence) ?? 1;
    for (const [index, prompt] of command.prompts.entries()) {
      const key = itemKey(command.lot, index);
      const item: Item = {
        lot: command.lot,
        index,
        sequence,
        state: "queued",
        go: 0,
        troubles: 0,
        prompt,
      };
      ledger.put(key, item);
      this.#waitingOf(governing!.season).push([sequence, key]);
      sequence += 1;
    }
    ledger.put(keySequence, sequence);
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
      season: governing!.season,
      ...(governing!.runners.length === 0 ? {} : { runners: governing!.runners }),
    };
    this.#open.set(lot.id, lot.items);
    this.#weighsOn.set(lot.id, governing!.season);
    ledger.put(lotKey(lot.id), lot);
    this.#lots.add(lot.id);
    return { kind: "ADMITTED", lot: lot.id, again: false, remaining: lot.deadline - time };
  }

  /** When there could be room at the earliest: what is too much must end, and what is not under way yet needs a token first. */
  #waitFor(
    ledger: Ledger,
    items: number,
    open: number,
    allowance: number,
    time: number,
  ): number | undefined {
    const limits = this.#limits(ledger);
    const held = ledger.read<Bucket>(keyBucket);
    if (items > allowance || limits === undefined || held === undefined || bucket.rate(limits) <= 0)
      return undefined;
    const toDraw = open - this.#processing.size + items - allowance;
    return Math.max(0, (toDraw - bucket.level(held, limits, time)) / bucket.rate(limits)) * 1_000;
  }

  #pop(ledger: Ledger, holder: string, unable: readonly string[], time: number): QueueResult {
    const limits = this.#limits(ledger);
    const held = ledger.read<Bucket>(keyBucket);
    if (limits === undefined || held === undefined)
      return { kind: "RATE_LIMITED", wait: undefined };
    const all = this.#waiting;
    /** The first in the queue whose season has runners; items of a lot whose time has run out are left to the expiry, not run. */
    function take(): { key: string; item: Item; lot: Lot } | undefined {
      let best:
        | { waiting: [number, string][]; place: number; sequence: number; item: Item; lot: Lot }
        | undefined;
      for (const [season, waiting] of all) {
        if (unable.includes(season)) continue;
        for (const [place, [sequence, key]] of waiting.entries()) {
          if (best !== undefined && sequence > best.sequence) break;
          const item = ledger.read<Item>(key)!;
          const lot = ledger.read<Lot>(lotKey(item.lot))!;
          if (lot.deadline <= time) continue;
          best = { waiting, place, sequence, item, lot };
          break;
        }
      }
      if (best === undefined) return undefined;
      const [[, key]] = best.waiting.splice(best.place, 1) as [[number, string]];
      return { key, item: best.item, lot: best.lot };
    }
    const drawn = bucket.draw(held, limits, time, take);
    if (drawn.kind !== "TAKEN") return drawn;
    const { key, item, lot } = drawn.prompt;
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

  #record(
    ledger: Ledger,
    command: Extract<QueueCommand, { kind: "record" }>,
    time: number,
  ): QueueResult {
    const key = itemKey(command.lot, command.index);
    const item = ledger.read<Item>(key);
    const lot = ledger.read<Lot>(lotKey(command.lot));
    if (item === undefined || lot === undefined) return { kind: "UNKNOWN_LOT" };
    if (item.state !== "processing" || item.go !== command.go) return { kind: "STALE" };
    this.#processing.delete(key);
    const ending = command.ending;
    if (ending.kind === "solved")
      return this.#finish(ledger, key, item, "solved", time, { result: ending.result });
    if (ending.kind === "unsent") this.#restore(ledger, time);
    const troubles = item.troubles + (ending.kind === "trouble" ? 1 : 0);
    if (ending.kind === "trouble" && troubles >= constants.troublesMost) {
      return this.#finish(ledger, key, { ...item, troubles }, "failed", time, {
        reason: ending.reason,
      });
    }
    return this.#giveBack(ledger, key, { ...item, troubles }, lot, time);
  }

  #restore(ledger: Ledger, time: number): void {
    const limits = this.#limits(ledger);
    const held = ledger.read<Bucket>(keyBucket);
    if (limits !== undefined && held !== undefined)
      ledger.put(keyBucket, bucket.restore(held, limits, time));
  }

  /** Back to its own place in the queue; in a cancelled lot it ends there. */
  #giveBack(ledger: Ledger, key: string, item: Item, lot: Lot, time: number): QueueResult {
    if (lot.cancelled) return this.#finish(ledger, key, item, "cancelled", time, {});
    ledger.put(key, { ...item, state: "queued", holder: undefined });
    const waiting = this.#waitingOf(lot.season ?? "");
    let place = waiting.length;
    while (place > 0 && waiting[place - 1]![0] > item.sequence) place -= 1;
    waiting.splice(place, 0, [item.sequence, key]);
    return { kind: "RECORDED", state: "queued" };
  }

  #finish(
    ledger: Ledger,
    key: string,
    item: Item,
    state: ItemState,
    time: number,
    more: { result?: unknown; reason?: string },
  ): QueueResult {
    const { prompt: _prompt, ...kept } = item;
    ledger.put(key, { ...kept, prompt: null, state, holder: undefined, ...more });
    const lot = ledger.read<Lot>(lotKey(item.lot))!;
    const open = lot.open - 1;
    if (open === 0) this.#open.delete(lot.id);
    else this.#open.set(lot.id, open);
    ledger.put(lotKey(lot.id), { ...lot, open, ...(open === 0 ? { finishedAt: time } : {}) });
    return { kind: "RECORDED", state };
  }

  #cancel(ledger: Ledger, id: string, time: number): QueueResult {
    const lot = ledger.read<Lot>(lotKey(id));
    if (lot === undefined)
      return ledger.read(stoneKey(id)) === undefined
        ? { kind: "UNKNOWN_LOT" }
        : { kind: "CANCELLED", lot: id, stopped: 0 };
    if (lot.cancelled || lot.open === 0) return { kind: "CANCELLED", lot: id, stopped: 0 };
    ledger.put(lotKey(id), { ...lot, cancelled: true });
    return {
      kind: "CANCELLED",
      lot: id,
      stopped: this.#endWaiting(ledger, id, "cancelled", time, undefined),
    };
  }

  #endWaiting(
    ledger: Ledger,
    id: string,
    state: ItemState,
    time: number,
    reason: string | undefined,
  ): number {
    const kept: [number, string][] = [];
    const season = ledger.read<Lot>(lotKey(id))!.season ?? "";
    let count = 0;
    for (const entry of this.#waitingOf(season)) {
      const item = ledger.read<Item>(entry[1])!;
      if (item.lot === id) {
        this.#finish(ledger, entry[1], item, state, time, reason === undefined ? {} : { reason });
        count += 1;
      } else kept.push(entry);
    }
    this.#waiting.set(season, kept);
    return count;
  }

  #reset(
    ledger: Ledger,
    items: readonly { lot: string; index: number; go: number }[],
    time: number,
  ): QueueResult {
    let count = 0;
    for (const { lot, index, go } of items) {
      if (
        this.#record(ledger, { kind: "record", lot, index, go, ending: { kind: "broken" } }, time)
          .kind === "RECORDED"
      )
        count += 1;
    }
    return { kind: "DONE", count };
  }

  #isForgotten(stone: Stone | undefined, time: number): boolean {
    return stone !== undefined && stone.endedAt + constants.lotForgets <= time;
  }

  #gone({ lot, way, items, cancelled, endedAt }: Stone, time: number): QueueResult {
    return { kind: "GONE", lot, way, items, cancelled, endedBefore: time - endedAt };
  }

  #expired(lot: Lot, time: number): boolean {
    return lot.finishedAt === undefined
      ? lot.deadline <= time
      : lot.finishedAt + constants.lotKept <= time;
  }

  #expire(ledger: Ledger, time: number): QueueResult {
    let count = this.passes.expire(ledger, time);
    for (const id of [...this.#lots]) {
      const lot = ledger.read<Lot>(lotKey(id))!;
      if (!this.#expired(lot, time)) continue;
      count += 1;
      if (lot.finishedAt === undefined) {
        this.#endWaiting(ledger, id, "failed", time, "the lot's time ran out");
        for (let index = 0; index < lot.items; index += 1) {
          const key = itemKey(id, index);
          const item = ledger.read<Item>(key)!;
          if (item.state !== "processing") continue;
          this.#processing.delete(key);
          this.#finish(ledger, key, item, "failed", time, { reason: "the lot's time ran out" });
        }
      } else {
        for (let index = 0; index < lot.items; index += 1) ledger.remove(itemKey(id, index));
        ledger.remove(lotKey(id));
        this.#lots.delete(id);
        const stone: Stone = {
          lot: id,
          way: lot.way,
          body: lot.body,
          items: lot.items,
          cancelled: lot.cancelled,
          endedAt: lot.finishedAt,
        };
        ledger.put(stoneKey(id), stone);
        let place = this.#stones.length;
        while (place > 0 && earlierEnd(stone, this.#stones[place - 1]!) < 0) place -= 1;
        this.#stones.splice(place, 0, stone);
      }
    }
    while (this.#isForgotten(this.#stones[0], time)) {
      ledger.remove(stoneKey(this.#stones.shift()!.lot));
      count += 1;
    }
    return { kind: "DONE", count };
  }

  #status(ledger: Ledger, id: string, time: number): QueueResult {
    const lot = ledger.read<Lot>(lotKey(id));
    if (lot === undefined) {
      const stone = ledger.read<Stone>(stoneKey(id));
      return stone === undefined ? { kind: "UNKNOWN_LOT" } : this.#gone(stone, time);
    }
    const items: ItemView[] = [];
    for (let index = 0; index < lot.items; index += 1) {
      const { state, result, reason } = ledger.read<Item>(itemKey(id, index))!;
      items.push({
        index,
        state,
        ...(result === undefined ? {} : { result }),
        ...(reason === undefined ? {} : { reason }),
      });
    }
    return { kind: "LOT", lot, items, now: time };
  }

  #count(ledger: Ledger, time: number): QueueResult {
    const limits = this.#limits(ledger);
    const held = ledger.read<Bucket>(keyBucket);
    const tokens =
      limits === undefined || held === undefined ? 0 : bucket.level(held, limits, time);
    return {
      kind: "COUNT",
      waiting: this.waiting,
      processing: this.#processing.size + this.passes.processing().size,
      lots: this.#lots.size + this.passes.lots,
      tokens,
      limits,
      open: Object.fromEntries(this.open()),
    };
  }
}
