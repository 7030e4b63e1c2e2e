import { bucket, type Bucket } from "./bucket.js";
import { constants } from "./constants.js";
import { ExpiryIndex } from "./expiry-index.js";
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
  lotPrefix,
  tombstonePrefix,
  claimOf,
  concatenate,
  hasUnassignedLots,
  passLotKey,
  isVisibleTo,
  indexedKey,
  taskKey,
  type PassTombstone,
  type PartialText,
  type ActiveClaim,
  type PassLot,
  type TaskRecord,
} from "./pass-records.js";
import { newLot, mayRun, retryDelay, waitingTask, yields, type WaitingTask } from "./pass-turns.js";
import {
  bucketKey,
  sequenceKey,
  limitedBucket,
  restoreToken,
  type Context,
} from "./queue-bucket.js";
import { RefusedTickets } from "./refused-tickets.js";
import { Tombstones } from "./tombstones.js";
import { WaitingItems } from "./waiting.js";
import { WaitingTokens } from "./waiting-tokens.js";

type SubmitCommand = Extract<PassCommand, { kind: "hand-in" }>;
type ResultsCommand = Extract<PassCommand, { kind: "results" }>;
type DequeueCommand = Extract<PassCommand, { kind: "draw" }>;

/** An unfinished item with its records. */
interface OpenTask {
  readonly key: string;
  readonly index: number;
  readonly task: TaskRecord;
  readonly lot: PassLot;
}

/** The final outcome of an item. */
type FinalState = Pick<ListedResult, "state" | "text">;

const failed: FinalState = { state: "failed", text: "" };

function endedAt({ since }: PassTombstone): number {
  return since;
}

/**
 * Lots (batch jobs) that were submitted on passages (configured routes), within one queue. They share the queue's ledger and
 * token bucket with the other lots, and the queue's owner applies each command atomically (docs/design.md §13.7).
 */
export class PassQueue {
  /** Queued items by passage; derived from the ledger. */
  #waiting = new WaitingItems<WaitingTask>();
  /** Token counts of unfinished items. */
  #tokens = new WaitingTokens();
  /** Active claims by item key. */
  #processing = new Map<string, ActiveClaim>();
  /** Next expiry of each lot, by lot: its unfinished items fail, or its results are deleted. */
  #expiry = new ExpiryIndex();
  #tombstones = new Tombstones<PassTombstone>(tombstonePrefix, endedAt);
  #refusedTickets = new RefusedTickets();
  /** Whether a lot or tombstone is here whose id the lot directory may not know; derived from the ledger. */
  #hasUnassignedLots = false;

  rebuild(ledger: Ledger): void {
    this.#waiting.clear();
    this.#tokens.clear();
    this.#processing.clear();
    this.#expiry.clear();
    for (const [, lot] of ledger.under<PassLot>(lotPrefix)) this.#trackExpiry(lot);
    for (const [key, task] of ledger.under<TaskRecord>("task/")) {
      const lot = ledger.read<PassLot>(passLotKey(claimOf(key, 0).lot))!;
      this.#tokens.add(lot.way, lot.tenant, task.tokens);
      if (task.state === "queued") this.#waiting.push(lot.way, waitingTask(key, task, lot));
      else this.#processing.set(key, { go: task.go, holder: task.holder!, by: task.by });
    }
    this.#waiting.sort();
    this.#tombstones.rebuild(ledger);
    this.#refusedTickets.rebuild(ledger);
    this.#hasUnassignedLots = hasUnassignedLots(ledger);
  }

  get waiting(): number {
    return this.#waiting.size;
  }

  get lotCount(): number {
    return this.#expiry.size;
  }

  /** Whether the lot directory knows every lot that this queue has accepted and not forgotten. */
  get isDirectoryComplete(): boolean {
    return !this.#hasUnassignedLots;
  }

  /** Active claims by item key; the queue's owner checks them for missing heartbeats. */
  processing(): ReadonlyMap<string, ActiveClaim> {
    return this.#processing;
  }

  /** Passages with unfinished items in this queue. */
  activePassages(): ReadonlySet<string> {
    const passages = new Set(this.#tokens.passages());
    for (const passage of this.#waiting.groups())
      if (this.#waiting.itemsOf(passage).length > 0) passages.add(passage);
    return passages;
  }

  /** Number of items of the given passages that can be dequeued now, counted up to a limit. */
  countReady(passages: readonly string[], time: number, limit: number): number {
    let count = 0;
    for (const passage of passages)
      for (const item of this.#waiting.itemsOf(passage)) {
        if (count >= limit) return count;
        if (mayRun(item, time)) count += 1;
      }
    return count;
  }

  /** Whether a held read can be answered: the requested position is listed, or the reader will never see it. */
  canAnswerRead(ledger: Ledger, { lot: id, from, reader }: ResultsCommand): boolean {
    const lot = ledger.read<PassLot>(passLotKey(id));
    if (lot === undefined || !isVisibleTo(lot, reader)) return true;
    return lot.listed > from || lot.open === 0;
  }

  #trackExpiry(lot: PassLot): void {
    const expiry =
      lot.finishedAt === undefined ? lot.until : lot.finishedAt + constants.lotResultRetentionMs;
    this.#expiry.set(lot.id, expiry);
  }

  #saveLot(ledger: Ledger, lot: PassLot): void {
    ledger.put(passLotKey(lot.id), lot);
    this.#trackExpiry(lot);
  }

  /** Accepts all items of a lot or none. Idempotent: a known lot id is acknowledged again. */
  submit(context: Context, command: SubmitCommand): PassResult {
    const { ledger, time } = context;
    const { lot, way: passage, tenant, entries } = command;
    const isKnown =
      ledger.read(passLotKey(lot)) !== undefined ||
      this.#tombstones.read(ledger, lot) !== undefined;
    if (isKnown) return { kind: "HANDED", lot, again: true };
    let tokens = 0;
    for (const entry of entries) tokens += entry.tokens;
    const isRefused = this.#refusedTickets.has(ledger, command.ticket);
    const waiting = this.#tokens.of(passage, tenant);
    if (isRefused || (command.allowance > 0 && waiting + tokens > command.allowance)) {
      const { allowance, final, ticket } = command;
      if (final === true && !isRefused) this.#refusedTickets.add(ledger, ticket!, time);
      const finality = final === true ? { final } : {};
      return { kind: "NO_ROOM", tokens, waiting, allowance, ...finality };
    }
    const record = newLot(command, time);
    this.#addItems(ledger, record, entries);
    this.#tokens.add(passage, tenant, tokens);
    this.#saveLot(ledger, record);
    if (record.assigned !== true) this.#hasUnassignedLots = true;
    return { kind: "HANDED", lot, again: false };
  }

  #addItems(ledger: Ledger, lot: PassLot, entries: readonly PassEntry[]): void {
    let sequence = ledger.read<number>(sequenceKey) ?? 1;
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
      ledger.put(indexedKey("body", lot.id, index), entry);
      this.#waiting.push(lot.way, waitingTask(key, task, lot));
      sequence += 1;
    }
    ledger.put(sequenceKey, sequence);
  }

  /** Dequeues items, one token each, until the batch is full, the queue is empty or the bucket has no token left. */
  dequeue(context: Context, command: DequeueCommand): PassResult {
    const { ledger, time } = context;
    const limited = limitedBucket(ledger);
    if (limited === undefined)
      return { kind: "DRAWN", tasks: [], more: "RATE_LIMITED", wait: undefined };
    let current: Bucket = limited.held;
    const tasks: PassTask[] = [];
    const takeNext = (): OpenTask | undefined => this.#takeNext(context, command.able);
    let more: "some" | "EMPTY" | "RATE_LIMITED" = "some";
    let wait: number | undefined;
    while (tasks.length < command.most) {
      const drawn = bucket.draw(current, limited.limits, time, takeNext);
      if (drawn.kind !== "TAKEN") {
        more = drawn.kind;
        if (drawn.kind === "RATE_LIMITED") wait = drawn.wait;
        break;
      }
      current = drawn.bucket;
      tasks.push(this.#claim(context, drawn.prompt, command));
    }
    if (tasks.length > 0) ledger.put(bucketKey, current);
    return { kind: "DRAWN", tasks, more, wait };
  }

  /**
   * Takes the first eligible item of the given passages (those with available runners) that can still meet its target
   * time, else the first eligible one.
   */
  #takeNext({ ledger, time }: Context, passages: readonly string[]): OpenTask | undefined {
    const taken = this.#waiting.takeFirst(passages, {
      mayRun: (item) => mayRun(item, time),
      yields: (item) => yields(item, time),
    });
    return taken === undefined ? undefined : this.#readTask(ledger, taken.key);
  }

  #readTask(ledger: Ledger, key: string): OpenTask | undefined {
    const { lot: id, index } = claimOf(key, 0);
    const task = ledger.read<TaskRecord>(key);
    const lot = ledger.read<PassLot>(passLotKey(id));
    return task === undefined || lot === undefined ? undefined : { key, index, task, lot };
  }

  #claim({ ledger, time }: Context, open: OpenTask, { holder, by }: DequeueCommand): PassTask {
    const { key, index, task, lot } = open;
    const attempt = task.go + 1;
    ledger.put(key, {
      ...task,
      state: "processing",
      go: attempt,
      holder,
      ...(by === undefined ? {} : { by }),
    } satisfies TaskRecord);
    this.#processing.set(key, { go: attempt, holder, by });
    return {
      lot: lot.id,
      index,
      go: attempt,
      way: lot.way,
      host: lot.host,
      ...(lot.tenant === undefined ? {} : { tenant: lot.tenant }),
      entry: ledger.read<PassEntry>(indexedKey("body", lot.id, index))!,
      upTo: ledger.read<PartialText>(indexedKey("text", lot.id, index))?.upTo,
      remaining: lot.until - time,
    };
  }

  /** Ends claims. A claim that is no longer the newest of its item is stale and changes nothing. */
  settle(context: Context, { endings }: Extract<PassCommand, { kind: "settle" }>): PassResult {
    const listed = new Set<string>();
    let stale = 0;
    let freed = 0;
    for (const { claim, ending } of endings) {
      const open = this.#findClaimed(context.ledger, claim);
      if (open === undefined) {
        stale += 1;
        continue;
      }
      this.#processing.delete(open.key);
      if (!this.#applyEnding(context, open, ending)) continue;
      listed.add(open.lot.id);
      freed += open.task.tokens;
    }
    return { kind: "SETTLED", listed: [...listed], stale, freed };
  }

  #findClaimed(ledger: Ledger, claim: Claim): OpenTask | undefined {
    const open = this.#readTask(ledger, taskKey(claim.lot, claim.index));
    return open?.task.state === "processing" && open.task.go === claim.go ? open : undefined;
  }

  /** Returns whether the item is now final and listed. */
  #applyEnding(context: Context, open: OpenTask, ending: PassEnding): boolean {
    switch (ending.kind) {
      case "solved": {
        const prior = context.ledger.read<PartialText>(indexedKey("text", open.lot.id, open.index));
        this.#finish(context, open, { state: "solved", text: concatenate(prior, ending).text });
        return true;
      }
      case "never":
        this.#finish(context, open, failed);
        return true;
      case "trouble": {
        const troubles = open.task.troubles + 1;
        if (troubles < open.lot.goesMost) {
          this.#requeue(context.ledger, { ...open, task: { ...open.task, troubles, breaks: 0 } });
          return false;
        }
        this.#finish(context, open, failed);
        return true;
      }
      case "broken":
        this.#requeueBroken(context, open, ending);
        return false;
      case "unsent":
        restoreToken(context);
        this.#requeue(context.ledger, open);
        return false;
    }
  }

  /** Keeps the partial output and requeues the item. After two consecutive broken runs without an event, the item backs off. */
  #requeueBroken(
    { ledger, time }: Context,
    open: OpenTask,
    ending: Extract<PassEnding, { kind: "broken" }>,
  ): void {
    const textKey = indexedKey("text", open.lot.id, open.index);
    const hasNewEvents = ending.events > 0 && ending.upTo !== undefined;
    if (hasNewEvents)
      ledger.put(textKey, {
        ...concatenate(ledger.read<PartialText>(textKey), ending),
        upTo: ending.upTo,
      } satisfies PartialText);
    const breaks = hasNewEvents ? 0 : (open.task.breaks ?? 0) + 1;
    const restsUntil = breaks < 2 ? 0 : time + retryDelay(breaks);
    this.#requeue(ledger, { ...open, task: { ...open.task, breaks, restsUntil } });
  }

  /** Puts the item back at its original position in the queue. */
  #requeue(ledger: Ledger, { key, task: before, lot }: OpenTask): void {
    const { holder: _holder, by: _by, ...task } = before;
    const queued: TaskRecord = { ...task, state: "queued" };
    ledger.put(key, queued);
    this.#waiting.reinsert(lot.way, waitingTask(key, queued, lot));
  }

  /** Ends the item and appends its result to the lot's list; the position is permanent. */
  #finish({ ledger, time }: Context, open: OpenTask, final: FinalState): void {
    const { id } = open.lot;
    const lot = ledger.read<PassLot>(passLotKey(id))!;
    const { id: item } = ledger.read<PassEntry>(indexedKey("body", id, open.index))!;
    ledger.put(indexedKey("result", id, lot.listed), { item, ...final } satisfies ListedResult);
    this.#removeRecords(ledger, open);
    this.#tokens.add(lot.way, lot.tenant, -open.task.tokens);
    const remaining = lot.open - 1;
    this.#saveLot(ledger, {
      ...lot,
      open: remaining,
      listed: lot.listed + 1,
      ...(remaining === 0 ? { finishedAt: time } : {}),
    });
  }

  #removeRecords(ledger: Ledger, { key, lot, index }: OpenTask): void {
    ledger.remove(key);
    ledger.remove(indexedKey("body", lot.id, index));
    ledger.remove(indexedKey("text", lot.id, index));
    this.#processing.delete(key);
  }

  /** Ends a lot: its unfinished items are removed and never listed. Returns the dispatchers that must abort running items. */
  end(
    { ledger, time }: Context,
    { lot: id, reader }: Extract<PassCommand, { kind: "end" }>,
  ): PassResult {
    const lot = ledger.read<PassLot>(passLotKey(id));
    const known = lot ?? this.#tombstones.read(ledger, id);
    if (known === undefined || !isVisibleTo(known, reader)) return { kind: "UNKNOWN_LOT" };
    if (lot === undefined || lot.open === 0) return { kind: "ENDED", lot: id, holders: [] };
    const holders = new Set<string>();
    const ended = new Set<string>();
    for (const open of this.#openTasks(ledger, lot)) {
      if (open.task.holder !== undefined) holders.add(open.task.holder);
      ended.add(open.key);
      this.#tokens.add(lot.way, lot.tenant, -open.task.tokens);
      this.#removeRecords(ledger, open);
    }
    this.#waiting.remove(lot.way, ended);
    this.#saveLot(ledger, { ...lot, open: 0, ended: true, finishedAt: time });
    return { kind: "ENDED", lot: id, holders: [...holders] };
  }

  #openTasks(ledger: Ledger, lot: PassLot): OpenTask[] {
    const found: OpenTask[] = [];
    for (let index = 0; index < lot.total; index += 1) {
      const key = taskKey(lot.id, index);
      const task = ledger.read<TaskRecord>(key);
      if (task !== undefined) found.push({ key, index, task, lot });
    }
    return found;
  }

  /** Ends all unfinished items of a lot as failed and lists them. */
  #failOpenItems(context: Context, lot: PassLot): void {
    const ended = new Set<string>();
    for (const open of this.#openTasks(context.ledger, lot)) {
      ended.add(open.key);
      this.#finish(context, open, failed);
    }
    this.#waiting.remove(lot.way, ended);
  }

  /** The passage was removed from the configuration: all unfinished items of its lots fail. */
  dropPassage(context: Context, passage: string): PassResult {
    const listed: string[] = [];
    for (const id of this.#expiry.ids()) {
      const lot = context.ledger.read<PassLot>(passLotKey(id))!;
      if (lot.way !== passage || lot.open === 0) continue;
      this.#failOpenItems(context, lot);
      listed.push(id);
    }
    return { kind: "SETTLED", listed, stale: 0, freed: 0 };
  }

  /** Whether `expire` has something to do at this time. */
  isExpiryDue(time: number): boolean {
    return (
      this.#expiry.isDue(time) ||
      this.#tombstones.hasExpired(time) ||
      this.#refusedTickets.isDue(time)
    );
  }

  /** Fails overdue items and deletes records past their retention; returns the number of affected lots, tickets and tombstones. */
  expire(context: Context): number {
    const { ledger, time } = context;
    let count = this.#refusedTickets.forgetDue(ledger, time);
    for (const id of this.#expiry.due(time)) {
      count += 1;
      const lot = ledger.read<PassLot>(passLotKey(id))!;
      if (lot.finishedAt === undefined) this.#failOpenItems(context, lot);
      else this.#replaceWithTombstone(ledger, lot, lot.finishedAt);
    }
    this.#expiry.refresh();
    count += this.#tombstones.removeExpired(ledger, time);
    if (this.#hasUnassignedLots) this.#hasUnassignedLots = hasUnassignedLots(ledger);
    return count;
  }

  /** Deletes a lot and its results after their retention; a tombstone remains. */
  #replaceWithTombstone(
    ledger: Ledger,
    { id, listed, tenant, assigned }: PassLot,
    since: number,
  ): void {
    for (let position = 0; position < listed; position += 1)
      ledger.remove(indexedKey("result", id, position));
    ledger.remove(passLotKey(id));
    this.#expiry.delete(id);
    this.#tombstones.put(ledger, {
      lot: id,
      since,
      ...(tenant === undefined ? {} : { tenant }),
      ...(assigned === undefined ? {} : { assigned }),
    });
  }
}
