import { bucket, type Bucket, type Draw, type Limits } from "./bucket.js";
import { constants } from "./constants.js";
import type { Ledger } from "./ledger.js";

/** Lots of passages in one queue: the same ledger and bucket, one atomic step each at its owner (docs/design.md §13.7). */
export interface PassEntry {
  /** The caller's id of the item. */
  readonly id: string;
  readonly path: string;
  /** Names and values in turn. */
  readonly headers: readonly string[];
  readonly body: Uint8Array;
  /** Prompt's tokens plus the most to be put out. */
  readonly tokens: number;
  readonly model: string | undefined;
  /** Parts of its prompt that others may share, by name and tokens. */
  readonly parts?: readonly { readonly name: string; readonly size: number }[];
}

export interface Claim {
  readonly lot: string;
  readonly index: number;
  readonly go: number;
}

/** How one claim ended; `text` is what came after event `upTo` of the grant, `events` how many events it holds. */
export type PassEnding =
  | { readonly kind: "solved"; readonly text: string; readonly events: number }
  /** The runner says that it can never be done. */
  | { readonly kind: "never" }
  /** The runner itself failed: counted up to the passage's most. */
  | { readonly kind: "trouble" }
  /** Sent, and the link broke after event `upTo`: back in its place, token spent, what came is kept. */
  | {
      readonly kind: "broken";
      readonly text: string;
      readonly events: number;
      readonly upTo: number | undefined;
    }
  /** Never sent, or refused outright: back in its place, token restored. */
  | { readonly kind: "unsent" };

export type PassCommand =
  /** allowance in tokens, 0 for none; keeps and within in ms. These and goesMost are entered by the owner from its configuration. */
  | {
      kind: "hand-in";
      lot: string;
      way: string;
      host: string;
      entries: readonly PassEntry[];
      allowance: number;
      goesMost: number;
      keeps: number;
      within?: number;
      /** Refused before for longer than it may take to be in time: it lets others pass from the start. */
      late?: boolean;
      /** One sending of it, and whether earlier ones of the same may be on their way still: then a refusal holds for all of them. */
      ticket?: string;
      final?: boolean;
    }
  /** One batch: the source's step for each prompt. able: passages whose runners have room at the dispatcher; others keep their place. */
  /** holder: address of the dispatcher; by: this life of it. */
  | { kind: "draw"; holder: string; by?: string; most: number; able: readonly string[] }
  | { kind: "settle"; endings: readonly { claim: Claim; ending: PassEnding }[] }
  | { kind: "end"; lot: string }
  /** The passage is gone from the configuration: its items end with it. */
  | { kind: "drop-way"; way: string }
  | { kind: "results"; lot: string; from: number }
  | { kind: "read-item"; lot: string; item: string };

/** A prompt that was drawn, with all that its run needs. */
export interface PassTask extends Claim {
  readonly way: string;
  readonly host: string;
  readonly entry: PassEntry;
  /** The run goes on after this event. */
  readonly upTo: number | undefined;
  /** ms until it may be given up, from the stamping. */
  readonly remaining: number;
}

export type PassResult =
  | { kind: "HANDED"; lot: string; again: boolean }
  /** final: no earlier sending of the same ticket will be taken. wait in ms, an estimate of the owner's. */
  | {
      kind: "NO_ROOM";
      tokens: number;
      waiting: number;
      allowance: number;
      final?: boolean;
      wait?: number;
    }
  | {
      kind: "DRAWN";
      tasks: readonly PassTask[];
      more: "some" | "EMPTY" | "RATE_LIMITED";
      wait: number | undefined;
    }
  /** freed: tokens that no longer wait. */
  | { kind: "SETTLED"; listed: readonly string[]; stale: number; freed: number }
  | { kind: "ENDED"; lot: string; holders: readonly string[] }
  | { kind: "RESULTS"; lot: string; total: number; open: boolean; results: readonly ListedResult[] }
  | { kind: "BODY"; body: Uint8Array }
  | { kind: "UNKNOWN_LOT" };

export interface ListedResult {
  readonly item: string;
  readonly state: "solved" | "failed";
  readonly text: string;
}

export interface PassLot {
  readonly id: string;
  readonly way: string;
  readonly host: string;
  readonly total: number;
  readonly open: number;
  readonly listed: number;
  readonly goesMost: number;
  /** Moment of the ledger from which its items may be given up. */
  readonly until: number;
  /** Moments from which its items let others pass, and from which they no longer do; none where no time is wanted. */
  readonly yieldsFrom?: number;
  readonly yieldsUntil?: number;
  readonly ended?: boolean;
  readonly finishedAt?: number;
}

/** State of an item that has not ended; body and text stand in records of their own, so that a claim rewrites neither. */
export interface TaskRecord {
  readonly sequence: number;
  readonly state: "queued" | "processing";
  readonly go: number;
  readonly troubles: number;
  readonly tokens: number;
  readonly holder?: string;
  readonly by?: string;
  /** Runs on end that broke without an event, and the moment before which it is not drawn again for that. */
  readonly breaks?: number;
  readonly restsUntil?: number;
}

/** What a run that broke had put out. */
interface Partial {
  readonly text: string;
  readonly events: number;
  readonly upTo: number;
}

/** That a lot was here, and ended so long ago that it is no longer kept. */
interface Bygone {
  readonly lot: string;
  readonly since: number;
}

/** A ticket refused for good: a sending of it that was held up on its way is not taken. */
interface Turned {
  readonly since: number;
}

const keySequence = "sequence";
const keyBucket = "bucket";

function handedKey(lot: string): string {
  return `handed/${lot}`;
}

function bygoneKey(lot: string): string {
  return `bygone/${lot}`;
}

function turnedKey(ticket: string): string {
  return `turned/${ticket}`;
}

/** Names of lots are their callers': the number stands last and is of one length, so any name can be cut off again. */
function numbered(kind: "task" | "body" | "text" | "result", lot: string, index: number): string {
  return `${kind}/${lot}/${String(index).padStart(6, "0")}`;
}

/** The claim that a key of a task, or of an item, stands for. */
export function claimOf(key: string, go: number): Claim {
  const cut = key.lastIndexOf("/");
  return { lot: key.slice(key.indexOf("/") + 1, cut), index: Number(key.slice(cut + 1)), go };
}

export function taskKey(lot: string, index: number): string {
  return numbered("task", lot, index);
}

function joined(
  left: { text: string; events: number } | undefined,
  right: { text: string; events: number },
): { text: string; events: number } {
  if (left === undefined || left.events === 0) return right;
  if (right.events === 0) return left;
  return { text: `${left.text}\n${right.text}`, events: left.events + right.events };
}

/** A waiting item in its place, with what its turn depends on. */
interface Place {
  readonly sequence: number;
  readonly key: string;
  readonly lot: PassLot;
  readonly restsUntil: number;
}

function placeOf(key: string, task: TaskRecord, lot: PassLot): Place {
  return { sequence: task.sequence, key, lot, restsUntil: task.restsUntil ?? 0 };
}

function sooner(left: Place, right: Place): number {
  return left.sequence - right.sequence;
}

/** Items whose time has run out are left to the expiry, and one that breaks again and again does not hold up those behind it. */
function mayRun({ lot, restsUntil }: Place, time: number): boolean {
  return lot.until > time && restsUntil <= time;
}

/** Late already, it lets those pass that still can be in time, though not for ever. */
function yields({ lot }: Place, time: number): boolean {
  return lot.yieldsFrom !== undefined && time >= lot.yieldsFrom && time < lot.yieldsUntil!;
}

function byAge(left: Bygone, right: Bygone): number {
  return left.since - right.since || (left.lot < right.lot ? -1 : 1);
}

function earlier(left: readonly [number, string], right: readonly [number, string]): number {
  return left[0] - right[0] || (left[1] < right[1] ? -1 : 1);
}

export class PassQueue {
  /** Derived from the ledger: what waits, by passage and in order of sequence. */
  #waiting = new Map<string, Place[]>();
  /** Tokens of what has not ended, by passage. */
  #tokens = new Map<string, number>();
  #processing = new Map<string, { go: number; holder: string; by: string | undefined }>();
  /** Moment at which time alone ends something of each lot: its items are given up, or it is no longer kept. */
  #dueAt = new Map<string, number>();
  #soonest = Number.POSITIVE_INFINITY;
  #bygones: Bygone[] = [];
  #turned: [since: number, ticket: string][] = [];

  rebuild(ledger: Ledger): void {
    this.#waiting.clear();
    this.#tokens.clear();
    this.#processing.clear();
    this.#dueAt.clear();
    this.#soonest = Number.POSITIVE_INFINITY;
    for (const [, lot] of ledger.under<PassLot>("handed/")) this.#watch(lot);
    for (const [key, task] of ledger.under<TaskRecord>("task/")) {
      const lot = ledger.read<PassLot>(handedKey(claimOf(key, 0).lot))!;
      this.#weigh(lot.way, task.tokens);
      if (task.state === "queued") this.#waitingOf(lot.way).push(placeOf(key, task, lot));
      else this.#processing.set(key, { go: task.go, holder: task.holder!, by: task.by });
    }
    for (const waiting of this.#waiting.values()) waiting.sort(sooner);
    this.#bygones = [];
    for (const [, bygone] of ledger.under<Bygone>("bygone/")) this.#bygones.push(bygone);
    this.#bygones.sort(byAge);
    this.#turned = [];
    for (const [key, { since }] of ledger.under<Turned>("turned/"))
      this.#turned.push([since, key.slice("turned/".length)]);
    this.#turned.sort(earlier);
  }

  get waiting(): number {
    let count = 0;
    for (const waiting of this.#waiting.values()) count += waiting.length;
    return count;
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
  *ways(): Generator<string> {
    for (const [way, tokens] of this.#tokens)
      if (tokens > 0 || (this.#waiting.get(way)?.length ?? 0) > 0) yield way;
  }

  /** Prompts of some passages that could be drawn now, counted up to a bound. */
  ready(able: readonly string[], time: number, most: number): number {
    let count = 0;
    for (const way of able)
      for (const place of this.#waiting.get(way) ?? []) {
        if (count >= most) return count;
        if (mayRun(place, time)) count += 1;
      }
    return count;
  }

  /** Whether a position of a lot is listed, or will never be: what a held read waits for. */
  isTold(ledger: Ledger, lot: string, from: number): boolean {
    const held = ledger.read<PassLot>(handedKey(lot));
    return held === undefined || held.listed > from || held.open === 0;
  }

  #waitingOf(way: string): Place[] {
    let waiting = this.#waiting.get(way);
    if (waiting === undefined) {
      waiting = [];
      this.#waiting.set(way, waiting);
    }
    return waiting;
  }

  #weigh(way: string, tokens: number): void {
    this.#tokens.set(way, (this.#tokens.get(way) ?? 0) + tokens);
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

  handIn(
    ledger: Ledger,
    command: Extract<PassCommand, { kind: "hand-in" }>,
    time: number,
  ): PassResult {
    const { lot, way, entries } = command;
    if (ledger.read(handedKey(lot)) !== undefined || ledger.read(bygoneKey(lot)) !== undefined)
      return { kind: "HANDED", lot, again: true };
    let tokens = 0;
    for (const entry of entries) tokens += entry.tokens;
    const waiting = this.#tokens.get(way) ?? 0;
    const turned =
      command.ticket !== undefined && ledger.read(turnedKey(command.ticket)) !== undefined;
    if (turned || (command.allowance > 0 && waiting + tokens > command.allowance)) {
      if (command.final === true && !turned) {
        ledger.put(turnedKey(command.ticket!), { since: time } satisfies Turned);
        this.#turned.push([time, command.ticket!]);
      }
      return {
        kind: "NO_ROOM",
        tokens,
        waiting,
        allowance: command.allowance,
        ...(command.final === true ? { final: true } : {}),
      };
    }
    const { keeps, within } = command;
    const record: PassLot = {
      id: lot,
      way,
      host: command.host,
      total: entries.length,
      open: entries.length,
      listed: 0,
      goesMost: command.goesMost,
      until: time + keeps + constants.deadlineGrace,
      ...(within === undefined
        ? {}
        : {
            yieldsFrom: command.late === true ? time : time + within - constants.runUsual,
            yieldsUntil: time + keeps * constants.yieldPart,
          }),
      ...(entries.length === 0 ? { finishedAt: time } : {}),
    };
    let sequence = ledger.read<number>(keySequence) ?? 1;
    for (const [index, entry] of entries.entries()) {
      const key = numbered("task", lot, index);
      const task: TaskRecord = {
        sequence,
        state: "queued",
        go: 0,
        troubles: 0,
        tokens: entry.tokens,
      };
      ledger.put(key, task);
      ledger.put(numbered("body", lot, index), entry);
      this.#waitingOf(way).push(placeOf(key, task, record));
      sequence += 1;
    }
    ledger.put(keySequence, sequence);
    this.#weigh(way, tokens);
    this.#keep(ledger, record);
    return { kind: "HANDED", lot, again: false };
  }

  #forget(ledger: Ledger, bygone: Bygone): void {
    ledger.put(bygoneKey(bygone.lot), bygone);
    let place = this.#bygones.length;
    while (place > 0 && byAge(bygone, this.#bygones[place - 1]!) < 0) place -= 1;
    this.#bygones.splice(place, 0, bygone);
  }

  /** The first in the queue whose passage has runners, and that can still be in time; else the first. */
  #first(
    ledger: Ledger,
    able: readonly string[],
    time: number,
  ): { key: string; task: TaskRecord; lot: PassLot } | undefined {
    let best: { waiting: Place[]; at: number; late: boolean } | undefined;
    for (const way of able) {
      const waiting = this.#waiting.get(way) ?? [];
      for (const [at, place] of waiting.entries()) {
        if (best !== undefined && !best.late && place.sequence > best.waiting[best.at]!.sequence)
          break;
        if (!mayRun(place, time)) continue;
        const late = yields(place, time);
        if (
          best === undefined ||
          (best.late && !late) ||
          (best.late === late && place.sequence < best.waiting[best.at]!.sequence)
        )
          best = { waiting, at, late };
        if (!late) break;
      }
    }
    if (best === undefined) return undefined;
    const [{ key }] = best.waiting.splice(best.at, 1) as [Place];
    return {
      key,
      task: ledger.read<TaskRecord>(key)!,
      lot: ledger.read<PassLot>(handedKey(claimOf(key, 0).lot))!,
    };
  }

  draw(
    ledger: Ledger,
    { holder, by, most, able }: Extract<PassCommand, { kind: "draw" }>,
    limits: Limits | undefined,
    time: number,
  ): PassResult {
    const bucketBefore = ledger.read<Bucket>(keyBucket);
    if (limits === undefined || bucketBefore === undefined)
      return { kind: "DRAWN", tasks: [], more: "RATE_LIMITED", wait: undefined };
    let held: Bucket = bucketBefore;
    const tasks: PassTask[] = [];
    const self = this;
    function take(): { key: string; task: TaskRecord; lot: PassLot } | undefined {
      return self.#first(ledger, able, time);
    }
    let more: "some" | "EMPTY" | "RATE_LIMITED" = "some";
    let wait: number | undefined;
    while (tasks.length < most) {
      const drawn: Draw<{ key: string; task: TaskRecord; lot: PassLot }> = bucket.draw(
        held,
        limits,
        time,
        take,
      );
      if (drawn.kind !== "TAKEN") {
        more = drawn.kind;
        if (drawn.kind === "RATE_LIMITED") wait = drawn.wait;
        break;
      }
      held = drawn.bucket;
      const { key, task, lot } = drawn.prompt;
      const go = task.go + 1;
      ledger.put(key, {
        ...task,
        state: "processing",
        go,
        holder,
        ...(by === undefined ? {} : { by }),
      } satisfies TaskRecord);
      this.#processing.set(key, { go, holder, by });
      const { index } = claimOf(key, go);
      const partial = ledger.read<Partial>(numbered("text", lot.id, index));
      tasks.push({
        lot: lot.id,
        index,
        go,
        way: lot.way,
        host: lot.host,
        entry: ledger.read<PassEntry>(numbered("body", lot.id, index))!,
        upTo: partial?.upTo,
        remaining: lot.until - time,
      });
    }
    if (tasks.length > 0) ledger.put(keyBucket, held);
    return { kind: "DRAWN", tasks, more, wait };
  }

  settle(
    ledger: Ledger,
    { endings }: Extract<PassCommand, { kind: "settle" }>,
    limits: Limits | undefined,
    time: number,
  ): PassResult {
    const listed = new Set<string>();
    let stale = 0;
    let freed = 0;
    for (const { claim, ending } of endings) {
      const key = numbered("task", claim.lot, claim.index);
      const task = ledger.read<TaskRecord>(key);
      const lot = ledger.read<PassLot>(handedKey(claim.lot));
      if (
        task === undefined ||
        lot === undefined ||
        task.state !== "processing" ||
        task.go !== claim.go
      ) {
        stale += 1;
        continue;
      }
      this.#processing.delete(key);
      if (!this.#settleOne(ledger, key, task, lot, claim.index, ending, limits, time)) continue;
      listed.add(lot.id);
      freed += task.tokens;
    }
    return { kind: "SETTLED", listed: [...listed], stale, freed };
  }

  /** True where the item is listed now. */
  #settleOne(
    ledger: Ledger,
    key: string,
    task: TaskRecord,
    lot: PassLot,
    index: number,
    ending: PassEnding,
    limits: Limits | undefined,
    time: number,
  ): boolean {
    const textKey = numbered("text", lot.id, index);
    switch (ending.kind) {
      case "solved": {
        this.#list(
          ledger,
          key,
          task,
          lot,
          index,
          "solved",
          joined(ledger.read<Partial>(textKey), ending).text,
          time,
        );
        return true;
      }
      case "never":
        this.#list(ledger, key, task, lot, index, "failed", "", time);
        return true;
      case "trouble": {
        const troubles = task.troubles + 1;
        if (troubles >= lot.goesMost) {
          this.#list(ledger, key, task, lot, index, "failed", "", time);
          return true;
        }
        this.#giveBack(ledger, key, { ...task, troubles, breaks: 0 }, lot);
        return false;
      }
      case "broken": {
        const goesOn = ending.events > 0 && ending.upTo !== undefined;
        if (goesOn)
          ledger.put(textKey, {
            ...joined(ledger.read<Partial>(textKey), ending),
            upTo: ending.upTo,
          } satisfies Partial);
        const breaks = goesOn ? 0 : (task.breaks ?? 0) + 1;
        this.#giveBack(
          ledger,
          key,
          {
            ...task,
            breaks,
            restsUntil:
              breaks < 2
                ? 0
                : time + Math.min(constants.restMost, constants.restFirst * 2 ** (breaks - 2)),
          },
          lot,
        );
        return false;
      }
      case "unsent": {
        const held = ledger.read<Bucket>(keyBucket);
        if (limits !== undefined && held !== undefined)
          ledger.put(keyBucket, bucket.restore(held, limits, time));
        this.#giveBack(ledger, key, task, lot);
        return false;
      }
    }
  }

  /** Back to its own place in the queue. */
  #giveBack(
    ledger: Ledger,
    key: string,
    { holder: _holder, by: _by, ...task }: TaskRecord,
    lot: PassLot,
  ): void {
    const back: TaskRecord = { ...task, state: "queued" };
    ledger.put(key, back);
    const waiting = this.#waitingOf(lot.way);
    let [low, high] = [0, waiting.length];
    while (low < high) {
      const middle = (low + high) >> 1;
      if (waiting[middle]!.sequence < task.sequence) low = middle + 1;
      else high = middle;
    }
    waiting.splice(low, 0, placeOf(key, back, lot));
  }

  /** The item ends: it gets the next position of its lot, for good. */
  #list(
    ledger: Ledger,
    key: string,
    task: TaskRecord,
    { id }: PassLot,
    index: number,
    state: ListedResult["state"],
    text: string,
    time: number,
  ): void {
    const lot = ledger.read<PassLot>(handedKey(id))!;
    const bodyKey = numbered("body", id, index);
    const { id: item } = ledger.read<PassEntry>(bodyKey)!;
    ledger.put(numbered("result", id, lot.listed), { item, state, text } satisfies ListedResult);
    this.#clear(ledger, key, id, index);
    this.#weigh(lot.way, -task.tokens);
    const open = lot.open - 1;
    this.#keep(ledger, {
      ...lot,
      open,
      listed: lot.listed + 1,
      ...(open === 0 ? { finishedAt: time } : {}),
    });
  }

  #clear(ledger: Ledger, key: string, lot: string, index: number): void {
    ledger.remove(key);
    ledger.remove(numbered("body", lot, index));
    ledger.remove(numbered("text", lot, index));
    this.#processing.delete(key);
  }

  /** Waiting items end at once and are not listed; those under way are dropped by who holds them. */
  end(
    ledger: Ledger,
    { lot: id }: Extract<PassCommand, { kind: "end" }>,
    time: number,
  ): PassResult {
    const lot = ledger.read<PassLot>(handedKey(id));
    if (lot === undefined)
      return ledger.read(bygoneKey(id)) === undefined
        ? { kind: "UNKNOWN_LOT" }
        : { kind: "ENDED", lot: id, holders: [] };
    if (lot.open === 0) return { kind: "ENDED", lot: id, holders: [] };
    const holders = new Set<string>();
    const ended = new Set<string>();
    for (const [index, key, task] of this.#unfinished(ledger, lot)) {
      if (task.holder !== undefined) holders.add(task.holder);
      ended.add(key);
      this.#weigh(lot.way, -task.tokens);
      this.#clear(ledger, key, id, index);
    }
    this.#leaveQueue(lot.way, ended);
    this.#keep(ledger, { ...lot, open: 0, ended: true, finishedAt: time });
    return { kind: "ENDED", lot: id, holders: [...holders] };
  }

  #unfinished(ledger: Ledger, lot: PassLot): [index: number, key: string, task: TaskRecord][] {
    const found: [number, string, TaskRecord][] = [];
    for (let index = 0; index < lot.total; index += 1) {
      const key = numbered("task", lot.id, index);
      const task = ledger.read<TaskRecord>(key);
      if (task !== undefined) found.push([index, key, task]);
    }
    return found;
  }

  #leaveQueue(way: string, ended: ReadonlySet<string>): void {
    const kept: Place[] = [];
    for (const place of this.#waitingOf(way)) if (!ended.has(place.key)) kept.push(place);
    this.#waiting.set(way, kept);
  }

  /** Everything unfinished of a lot is given up, and listed so. */
  #giveUp(ledger: Ledger, lot: PassLot, time: number): void {
    const ended = new Set<string>();
    for (const [index, key, task] of this.#unfinished(ledger, lot)) {
      ended.add(key);
      this.#list(ledger, key, task, lot, index, "failed", "", time);
    }
    this.#leaveQueue(lot.way, ended);
  }

  dropWay(ledger: Ledger, way: string, time: number): PassResult {
    const listed: string[] = [];
    for (const id of this.#dueAt.keys()) {
      const lot = ledger.read<PassLot>(handedKey(id))!;
      if (lot.way !== way || lot.open === 0) continue;
      this.#giveUp(ledger, lot, time);
      listed.push(id);
    }
    return { kind: "SETTLED", listed, stale: 0, freed: 0 };
  }

  due(time: number): boolean {
    return this.#soonest <= time || this.#isForgotten(time) || this.#isPast(time);
  }

  #isForgotten(time: number): boolean {
    const first = this.#bygones[0];
    return first !== undefined && first.since + constants.lotForgets <= time;
  }

  #isPast(time: number): boolean {
    const first = this.#turned[0];
    return first !== undefined && first[0] + constants.turnedLasts <= time;
  }

  expire(ledger: Ledger, time: number): number {
    let count = 0;
    while (this.#isPast(time)) {
      ledger.remove(turnedKey(this.#turned.shift()![1]));
      count += 1;
    }
    for (const [id, at] of [...this.#dueAt]) {
      if (at > time) continue;
      count += 1;
      const lot = ledger.read<PassLot>(handedKey(id))!;
      if (lot.finishedAt === undefined) {
        this.#giveUp(ledger, lot, time);
        continue;
      }
      for (let place = 0; place < lot.listed; place += 1)
        ledger.remove(numbered("result", id, place));
      ledger.remove(handedKey(id));
      this.#dueAt.delete(id);
      this.#forget(ledger, { lot: id, since: lot.finishedAt });
    }
    this.#soonest = Number.POSITIVE_INFINITY;
    for (const at of this.#dueAt.values()) this.#soonest = Math.min(this.#soonest, at);
    while (this.#isForgotten(time)) {
      ledger.remove(bygoneKey(this.#bygones.shift()!.lot));
      count += 1;
    }
    return count;
  }

  results(
    ledger: Ledger,
    { lot: id, from }: Extract<PassCommand, { kind: "results" }>,
  ): PassResult {
    const lot = ledger.read<PassLot>(handedKey(id));
    if (lot === undefined) return { kind: "UNKNOWN_LOT" };
    const results: ListedResult[] = [];
    let size = 0;
    for (let place = from; place < lot.listed; place += 1) {
      const result = ledger.read<ListedResult>(numbered("result", id, place))!;
      /** Bytes of a text are at most three for each of its units. */
      size += result.text.length * 3 + result.item.length * 3;
      if (results.length > 0 && size > constants.resultsMost) break;
      results.push(result);
    }
    return { kind: "RESULTS", lot: id, total: lot.total, open: lot.open > 0, results };
  }

  readItem(
    ledger: Ledger,
    { lot: id, item }: Extract<PassCommand, { kind: "read-item" }>,
  ): PassResult {
    const lot = ledger.read<PassLot>(handedKey(id));
    if (lot === undefined) return { kind: "UNKNOWN_LOT" };
    for (let index = 0; index < lot.total; index += 1) {
      const entry = ledger.read<PassEntry>(numbered("body", id, index));
      if (entry?.id === item) return { kind: "BODY", body: entry.body };
    }
    return { kind: "UNKNOWN_LOT" };
  }
}
