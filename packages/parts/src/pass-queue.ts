import { bucket, type Bucket } from "./bucket.js";
import { constants } from "./constants.js";
import type { Ledger } from "./ledger.js";
import type {
  Claim,
  ListedResult,
  PassCommand,
  PassEnding,
  PassEntry,
  PassResult,
  PassTask,
} from "./pass-messages.js";
import {
  bygonePrefix,
  claimOf,
  handedKey,
  isOpenTo,
  numbered,
  taskKey,
  type BygoneLot,
  type PartialText,
  type PassLot,
  type TaskRecord,
} from "./pass-records.js";
import { lotOf, mayRun, restOf, waitingTask, yields, type WaitingTask } from "./pass-turns.js";
import { keyBucket, keySequence, limitedBucket, restoreToken, type Step } from "./queue-bucket.js";
import { RefusedTickets } from "./refused-tickets.js";
import { Tombstones } from "./tombstones.js";
import { WaitingItems } from "./waiting.js";
import { WaitingTokens } from "./waiting-tokens.js";

type HandIn = Extract<PassCommand, { kind: "hand-in" }>;
type ReadResults = Extract<PassCommand, { kind: "results" }>;
type DrawCommand = Extract<PassCommand, { kind: "draw" }>;

/** An item that has not ended, with its records. */
interface OpenTask {
  readonly key: string;
  readonly index: number;
  readonly task: TaskRecord;
  readonly lot: PassLot;
}

/** How an item ended for good. */
type Final = Pick<ListedResult, "state" | "text">;

const failed: Final = { state: "failed", text: "" };

function joined(
  left: { text: string; events: number } | undefined,
  right: { text: string; events: number },
): { text: string; events: number } {
  if (left === undefined || left.events === 0) return right;
  if (right.events === 0) return left;
  return { text: `${left.text}\n${right.text}`, events: left.events + right.events };
}

function sinceOf({ since }: BygoneLot): number {
  return since;
}

/** Lots of passages in one queue: the same ledger and bucket, one atomic step each at its owner (docs/design.md §13.7). */
export class PassQueue {
  /** Derived from the ledger: what waits, by passage. */
  #waiting = new WaitingItems<WaitingTask>();
  /** Tokens of what has not ended. */
  #tokens = new WaitingTokens();
  #processing = new Map<string, { go: number; holder: string; by: string | undefined }>();
  /** Moment at which time alone ends something of each lot: its items are given up, or it is no longer kept. */
  #dueAt = new Map<string, number>();
  #soonest = Number.POSITIVE_INFINITY;
  #bygones = new Tombstones<BygoneLot>(bygonePrefix, sinceOf);
  #refused = new RefusedTickets();

  rebuild(ledger: Ledger): void {
    this.#waiting.clear();
    this.#tokens.clear();
    this.#processing.clear();
    this.#dueAt.clear();
    this.#soonest = Number.POSITIVE_INFINITY;
    for (const [, lot] of ledger.under<PassLot>("handed/")) this.#watch(lot);
    for (const [key, task] of ledger.under<TaskRecord>("task/")) {
      const lot = ledger.read<PassLot>(handedKey(claimOf(key, 0).lot))!;
      this.#tokens.add(lot.way, lot.tenant, task.tokens);
      if (task.state === "queued") this.#waiting.push(lot.way, waitingTask(key, task, lot));
      else this.#processing.set(key, { go: task.go, holder: task.holder!, by: task.by });
    }
    this.#waiting.sort();
    this.#bygones.rebuild(ledger);
    this.#refused.rebuild(ledger);
  }

  get waiting(): number {
    return this.#waiting.size;
  }

  get lots(): number {
    return this.#dueAt.size;
  }

  /** Claims under way, for the owner's watch over signs of life. */
  processing(): ReadonlyMap<
    string,
    { readonly go: number; readonly holder: string; readonly by: string | undefined }
  > {
    return this.#processing;
  }

  /** Passages that have something unfinished here. */
  ways(): ReadonlySet<string> {
    const found = new Set(this.#tokens.ways());
    for (const way of this.#waiting.groups()) if (this.#waiting.of(way).length > 0) found.add(way);
    return found;
  }

  /** Prompts of some passages that could be drawn now, counted up to a bound. */
  ready(able: readonly string[], time: number, most: number): number {
    let count = 0;
    for (const way of able)
      for (const waiting of this.#waiting.of(way)) {
        if (count >= most) return count;
        if (mayRun(waiting, time)) count += 1;
      }
    return count;
  }

  /** Whether a position of a lot is listed, or will never be for who asks: what a held read waits for. */
  isTold(ledger: Ledger, { lot, from, reader }: ReadResults): boolean {
    const held = ledger.read<PassLot>(handedKey(lot));
    if (held === undefined || !isOpenTo(held, reader)) return true;
    return held.listed > from || held.open === 0;
  }

  #watch(lot: PassLot): void {
    const at = lot.finishedAt === undefined ? lot.until : lot.finishedAt + constants.lotKept;
    this.#dueAt.set(lot.id, at);
    this.#soonest = Math.min(this.#soonest, at);
  }

  #keep(ledger: Ledger, lot: PassLot): void {
    ledger.put(handedKey(lot.id), lot);
    this.#watch(lot);
  }

  /** All items or none; the same id again is the same lot. */
  handIn(step: Step, command: HandIn): PassResult {
    const { ledger, time } = step;
    const { lot, way, tenant, entries } = command;
    const isKnown =
      ledger.read(handedKey(lot)) !== undefined || this.#bygones.read(ledger, lot) !== undefined;
    if (isKnown) return { kind: "HANDED", lot, again: true };
    let tokens = 0;
    for (const entry of entries) tokens += entry.tokens;
    const refused = this.#refused.has(ledger, command.ticket);
    const waiting = this.#tokens.of(way, tenant);
    if (refused || (command.allowance > 0 && waiting + tokens > command.allowance)) {
      const { allowance, final, ticket } = command;
      if (final === true && !refused) this.#refused.add(ledger, ticket!, time);
      const holds = final === true ? { final } : {};
      return { kind: "NO_ROOM", tokens, waiting, allowance, ...holds };
    }
    const record = lotOf(command, time);
    this.#enterItems(ledger, record, entries);
    this.#tokens.add(way, tenant, tokens);
    this.#keep(ledger, record);
    return { kind: "HANDED", lot, again: false };
  }

  #enterItems(ledger: Ledger, lot: PassLot, entries: readonly PassEntry[]): void {
    let sequence = ledger.read<number>(keySequence) ?? 1;
    for (const [index, entry] of entries.entries()) {
      const key = taskKey(lot.id, index);
      const task: TaskRecord = {
        sequence,
        state: "queued",
        go: 0,
        troubles: 0,
        tokens: entry.tokens,
      };
      ledger.put(key, task);
      ledger.put(numbered("body", lot.id, index), entry);
      this.#waiting.push(lot.way, waitingTask(key, task, lot));
      sequence += 1;
    }
    ledger.put(keySequence, sequence);
  }

  /** The source's step for each prompt, until the batch is full, nothing waits or no token is left. */
  draw(step: Step, command: DrawCommand): PassResult {
    const { ledger, time } = step;
    const limited = limitedBucket(ledger);
    if (limited === undefined)
      return { kind: "DRAWN", tasks: [], more: "RATE_LIMITED", wait: undefined };
    let held: Bucket = limited.held;
    const tasks: PassTask[] = [];
    const take = (): OpenTask | undefined => this.#first(step, command.able);
    let more: "some" | "EMPTY" | "RATE_LIMITED" = "some";
    let wait: number | undefined;
    while (tasks.length < command.most) {
      const drawn = bucket.draw(held, limited.limits, time, take);
      if (drawn.kind !== "TAKEN") {
        more = drawn.kind;
        if (drawn.kind === "RATE_LIMITED") wait = drawn.wait;
        break;
      }
      held = drawn.bucket;
      tasks.push(this.#claim(step, drawn.prompt, command));
    }
    if (tasks.length > 0) ledger.put(keyBucket, held);
    return { kind: "DRAWN", tasks, more, wait };
  }

  /** The first in the queue whose passage has runners, and that can still be in time; else the first. */
  #first({ ledger, time }: Step, able: readonly string[]): OpenTask | undefined {
    const taken = this.#waiting.takeFirst(able, {
      mayRun: (waiting) => mayRun(waiting, time),
      yields: (waiting) => yields(waiting, time),
    });
    return taken === undefined ? undefined : this.#openTask(ledger, taken.key);
  }

  #openTask(ledger: Ledger, key: string): OpenTask | undefined {
    const { lot: id, index } = claimOf(key, 0);
    const task = ledger.read<TaskRecord>(key);
    const lot = ledger.read<PassLot>(handedKey(id));
    return task === undefined || lot === undefined ? undefined : { key, index, task, lot };
  }

  #claim({ ledger, time }: Step, open: OpenTask, { holder, by }: DrawCommand): PassTask {
    const { key, index, task, lot } = open;
    const go = task.go + 1;
    ledger.put(key, {
      ...task,
      state: "processing",
      go,
      holder,
      ...(by === undefined ? {} : { by }),
    } satisfies TaskRecord);
    this.#processing.set(key, { go, holder, by });
    return {
      lot: lot.id,
      index,
      go,
      way: lot.way,
      host: lot.host,
      ...(lot.tenant === undefined ? {} : { tenant: lot.tenant }),
      entry: ledger.read<PassEntry>(numbered("body", lot.id, index))!,
      upTo: ledger.read<PartialText>(numbered("text", lot.id, index))?.upTo,
      remaining: lot.until - time,
    };
  }

  /** Ends claims; those that are no longer the newest of their item change nothing. */
  settle(step: Step, { endings }: Extract<PassCommand, { kind: "settle" }>): PassResult {
    const listed = new Set<string>();
    let stale = 0;
    let freed = 0;
    for (const { claim, ending } of endings) {
      const open = this.#claimed(step.ledger, claim);
      if (open === undefined) {
        stale += 1;
        continue;
      }
      this.#processing.delete(open.key);
      if (!this.#settleOne(step, open, ending)) continue;
      listed.add(open.lot.id);
      freed += open.task.tokens;
    }
    return { kind: "SETTLED", listed: [...listed], stale, freed };
  }

  #claimed(ledger: Ledger, claim: Claim): OpenTask | undefined {
    const open = this.#openTask(ledger, taskKey(claim.lot, claim.index));
    return open?.task.state === "processing" && open.task.go === claim.go ? open : undefined;
  }

  /** True where the item is listed now. */
  #settleOne(step: Step, open: OpenTask, ending: PassEnding): boolean {
    switch (ending.kind) {
      case "solved": {
        const before = step.ledger.read<PartialText>(numbered("text", open.lot.id, open.index));
        this.#list(step, open, { state: "solved", text: joined(before, ending).text });
        return true;
      }
      case "never":
        this.#list(step, open, failed);
        return true;
      case "trouble": {
        const troubles = open.task.troubles + 1;
        if (troubles < open.lot.goesMost) {
          this.#giveBack(step.ledger, { ...open, task: { ...open.task, troubles, breaks: 0 } });
          return false;
        }
        this.#list(step, open, failed);
        return true;
      }
      case "broken":
        this.#broke(step, open, ending);
        return false;
      case "unsent":
        restoreToken(step);
        this.#giveBack(step.ledger, open);
        return false;
    }
  }

  /** What came before the break is kept; an item that breaks twice on end without an event rests. */
  #broke(
    { ledger, time }: Step,
    open: OpenTask,
    ending: Extract<PassEnding, { kind: "broken" }>,
  ): void {
    const textKey = numbered("text", open.lot.id, open.index);
    const hasNews = ending.events > 0 && ending.upTo !== undefined;
    if (hasNews)
      ledger.put(textKey, {
        ...joined(ledger.read<PartialText>(textKey), ending),
        upTo: ending.upTo,
      } satisfies PartialText);
    const breaks = hasNews ? 0 : (open.task.breaks ?? 0) + 1;
    const restsUntil = breaks < 2 ? 0 : time + restOf(breaks);
    this.#giveBack(ledger, { ...open, task: { ...open.task, breaks, restsUntil } });
  }

  /** Back to its own place in the queue. */
  #giveBack(ledger: Ledger, { key, task: before, lot }: OpenTask): void {
    const { holder: _holder, by: _by, ...task } = before;
    const back: TaskRecord = { ...task, state: "queued" };
    ledger.put(key, back);
    this.#waiting.giveBack(lot.way, waitingTask(key, back, lot));
  }

  /** The item ends: it gets the next position of its lot, for good. */
  #list({ ledger, time }: Step, open: OpenTask, final: Final): void {
    const { id } = open.lot;
    const lot = ledger.read<PassLot>(handedKey(id))!;
    const { id: item } = ledger.read<PassEntry>(numbered("body", id, open.index))!;
    ledger.put(numbered("result", id, lot.listed), { item, ...final } satisfies ListedResult);
    this.#clear(ledger, open);
    this.#tokens.add(lot.way, lot.tenant, -open.task.tokens);
    const left = lot.open - 1;
    this.#keep(ledger, {
      ...lot,
      open: left,
      listed: lot.listed + 1,
      ...(left === 0 ? { finishedAt: time } : {}),
    });
  }

  #clear(ledger: Ledger, { key, lot, index }: OpenTask): void {
    ledger.remove(key);
    ledger.remove(numbered("body", lot.id, index));
    ledger.remove(numbered("text", lot.id, index));
    this.#processing.delete(key);
  }

  /** Waiting items end at once and are not listed; those under way are dropped by who holds them. */
  end(
    { ledger, time }: Step,
    { lot: id, reader }: Extract<PassCommand, { kind: "end" }>,
  ): PassResult {
    const lot = ledger.read<PassLot>(handedKey(id));
    const known = lot ?? this.#bygones.read(ledger, id);
    if (known === undefined || !isOpenTo(known, reader)) return { kind: "UNKNOWN_LOT" };
    if (lot === undefined) return { kind: "ENDED", lot: id, holders: [] };
    if (lot.open === 0) return { kind: "ENDED", lot: id, holders: [] };
    const holders = new Set<string>();
    const ended = new Set<string>();
    for (const open of this.#unfinished(ledger, lot)) {
      if (open.task.holder !== undefined) holders.add(open.task.holder);
      ended.add(open.key);
      this.#tokens.add(lot.way, lot.tenant, -open.task.tokens);
      this.#clear(ledger, open);
    }
    this.#waiting.remove(lot.way, ended);
    this.#keep(ledger, { ...lot, open: 0, ended: true, finishedAt: time });
    return { kind: "ENDED", lot: id, holders: [...holders] };
  }

  #unfinished(ledger: Ledger, lot: PassLot): OpenTask[] {
    const found: OpenTask[] = [];
    for (let index = 0; index < lot.total; index += 1) {
      const key = taskKey(lot.id, index);
      const task = ledger.read<TaskRecord>(key);
      if (task !== undefined) found.push({ key, index, task, lot });
    }
    return found;
  }

  /** Everything unfinished of a lot is given up, and listed so. */
  #giveUp(step: Step, lot: PassLot): void {
    const ended = new Set<string>();
    for (const open of this.#unfinished(step.ledger, lot)) {
      ended.add(open.key);
      this.#list(step, open, failed);
    }
    this.#waiting.remove(lot.way, ended);
  }

  /** The passage is gone: whatever of its lots is unfinished ends as failed. */
  dropWay(step: Step, way: string): PassResult {
    const listed: string[] = [];
    for (const id of this.#dueAt.keys()) {
      const lot = step.ledger.read<PassLot>(handedKey(id))!;
      if (lot.way !== way || lot.open === 0) continue;
      this.#giveUp(step, lot);
      listed.push(id);
    }
    return { kind: "SETTLED", listed, stale: 0, freed: 0 };
  }

  /** Whether time alone has something to do. */
  due(time: number): boolean {
    return this.#soonest <= time || this.#bygones.isDue(time) || this.#refused.isDue(time);
  }

  /** Gives up and forgets what time has come for; returns how much. */
  expire(step: Step): number {
    const { ledger, time } = step;
    let count = this.#refused.forgetDue(ledger, time);
    for (const [id, at] of [...this.#dueAt]) {
      if (at > time) continue;
      count += 1;
      const lot = ledger.read<PassLot>(handedKey(id))!;
      if (lot.finishedAt === undefined) this.#giveUp(step, lot);
      else this.#bury(ledger, lot, lot.finishedAt);
    }
    this.#soonest = Number.POSITIVE_INFINITY;
    for (const at of this.#dueAt.values()) this.#soonest = Math.min(this.#soonest, at);
    return count + this.#bygones.forgetDue(ledger, time);
  }

  /** Results are no longer kept; only that the lot was here. */
  #bury(ledger: Ledger, { id, listed, tenant }: PassLot, since: number): void {
    for (let at = 0; at < listed; at += 1) ledger.remove(numbered("result", id, at));
    ledger.remove(handedKey(id));
    this.#dueAt.delete(id);
    this.#bygones.put(ledger, {
      lot: id,
      since,
      ...(tenant === undefined ? {} : { tenant }),
    });
  }
}
