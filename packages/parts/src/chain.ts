import { constants } from "./constants.js";
import { Ledger, type Change, type Machine } from "./ledger.js";

/** Chain replication of one ledger: entered at the head, confirmed by the tail (docs/design.md §1). */
export interface Member {
  readonly identity: string;
  readonly address: string;
}

export interface ChainView {
  readonly mark: number;
  readonly members: readonly Member[];
  /** Being copied to; not yet counted as a copy. */
  readonly joiner?: Member;
  /** Who agrees on the next view, where these are not just the members (§2.3). */
  readonly voters?: readonly Member[];
  /** Where the members are too few to confirm: those of the last view that could, in its order. Each holds all that was confirmed (§1.5). */
  readonly holders?: readonly Member[];
}

export interface Entry {
  readonly place: number;
  /** Time of the ledger, stamped by the head (§3.2). */
  readonly time: number;
  readonly command: unknown;
}

export type ChainMessage = { readonly chain: string; readonly mark: number } & (
  | { readonly kind: "entries"; readonly entries: readonly Entry[]; readonly confirmed: number }
  | { readonly kind: "taken"; readonly place: number; readonly confirmed: number }
  | { readonly kind: "confirm"; readonly place: number }
  | { readonly kind: "probe"; readonly number: number }
  | { readonly kind: "probed"; readonly number: number }
  | { readonly kind: "want"; readonly place: number }
  | {
      readonly kind: "digest";
      readonly series: number;
      readonly part: number;
      readonly last: boolean;
      readonly place: number;
      readonly time: number;
      readonly records: readonly Change[];
    }
  /** A piece of a snapshot has come, so the next may follow (§1.8). */
  | { readonly kind: "digest-got"; readonly series: number; readonly part: number }
);

/** What is to be written, all of it or nothing, before `written(ticket)` is called. */
export interface ChainWrite {
  readonly clear: boolean;
  readonly changes: readonly Change[];
  readonly entries: readonly Entry[];
  readonly drop: readonly number[];
  readonly state: ChainState;
}

export interface ChainState {
  readonly place: number;
  readonly time: number;
  readonly confirmed: number;
  readonly view: ChainView;
}

/** What a data folder gave back for this chain. */
export interface ChainHolding {
  readonly state: ChainState;
  readonly records: readonly Change[];
  readonly entries: readonly Entry[];
}

export type ChainCommand =
  | { readonly kind: "send"; readonly to: string; readonly message: ChainMessage }
  | {
      readonly kind: "write";
      readonly chain: string;
      readonly ticket: number;
      readonly write: ChainWrite;
    }
  | { readonly kind: "result"; readonly ticket: string; readonly result: ChainResult }
  | {
      readonly kind: "confirmed";
      readonly chain: string;
      readonly place: number;
      readonly changes: readonly Change[];
    }
  | {
      readonly kind: "restored";
      readonly chain: string;
      readonly place: number;
      readonly records: readonly Change[];
    };

export type ChainResult =
  | { readonly kind: "confirmed"; readonly place: number; readonly value: unknown }
  /** Surely not taken: this member is not the owner now. */
  | { readonly kind: "elsewhere"; readonly view: ChainView | undefined }
  /** Taken, and what became of it cannot be said here. */
  | { readonly kind: "unknown" };

interface Waiter {
  readonly ticket: string;
  readonly place: number;
  readonly value: unknown;
}

interface Probe extends Waiter {
  readonly number: number;
  sentAt: number;
}

export class Chain {
  readonly name: string;
  readonly ledger = new Ledger();
  readonly machine: Machine;
  #self: Member;
  #view: ChainView | undefined;
  #viewSynced = 0;
  #place = 0;
  #synced = 0;
  #confirmed = 0;
  #time = 0;
  #timeAt: number;
  #entries: Entry[] = [];
  #changesAt = new Map<number, readonly Change[]>();
  #passed = 0;
  #taken = 0;
  #takenAt: number;
  #progressAt: number;
  #toldAt = 0;
  #waiters: Waiter[] = [];
  #probes = new Map<number, Probe>();
  #probeNumber = 0;
  #writeNumber = 0;
  #writes = new Map<
    number,
    { place: number; mark: number; at: number; whole: boolean; adopts: boolean }
  >();
  #joinerPlace: number | undefined;
  /** Up to where entries were sent to the joiner. */
  #joinerPassed = 0;
  /** While true, this tail confirms nothing that the joiner has not synced; only another view ends it (§1.6). */
  #joinerGates = false;
  /** The furthest place that the joiner told as synced in this view and life, and when that last went on. */
  #joinerSynced = 0;
  #joinerSyncedAt = 0;
  /** How often the joiner asked while it was too far behind to gate. */
  #joinerAsked = 0;
  /** The furthest place that the successor told in this view, and since when. */
  #successorPlace = 0;
  #successorSince = 0;
  #snapshotFor: Member | undefined;
  #series = 0;
  /** Pieces of a copy still to be sent, a few with each beat. */
  #sending: Sending | undefined;
  #parts:
    | {
        series: number;
        pieces: Map<number, readonly Change[]>;
        last: number | undefined;
        at: number;
      }
    | undefined;
  #copiedMark = 0;
  /** Place that a joiner's source told in this view, asked for once the copy is here: only up to there is the copy whole. */
  #sourcePlace: number | undefined;
  /** When this joiner last stood where its source did; a word of that is withdrawn when it grows old. */
  #wholeAt = 0;
  /** Entries whose changes are not at hand: the next moment without doubt is told as a whole. */
  #gap = false;

  /** Copies on which anything must be synced before it is confirmed: one more than may be lost at once (§13.3). */
  #least: number;

  constructor(
    name: string,
    self: Member,
    machine: Machine,
    now: number,
    holding?: ChainHolding,
    least: number = constants.copiesLeast,
  ) {
    this.#least = least;
    this.name = name;
    this.#self = self;
    this.machine = machine;
    this.#timeAt = now;
    this.#takenAt = now;
    this.#progressAt = now;
    if (holding !== undefined) {
      this.ledger.adopt(holding.records);
      this.#view = holding.state.view;
      this.#viewSynced = holding.state.view.mark;
      this.#place = holding.state.place;
      this.#synced = holding.state.place;
      this.#confirmed = holding.state.confirmed;
      this.#time = holding.state.time;
      this.#entries = holding.entries.filter(isAfter, { place: holding.state.confirmed });
      this.#passed = this.#confirmed;
      this.#taken = this.#confirmed;
      this.#gap = this.#place > this.#confirmed || this.position < 0;
      /** The life before may have told the joiner a place, so that it counts as whole. */
      this.#joinerGates = this.#isTail && holding.state.view.joiner !== undefined;
      this.#joinerSyncedAt = now;
    }
    machine.rebuild(this.ledger);
  }

  get view(): ChainView | undefined {
    return this.#view;
  }
  get place(): number {
    return this.#place;
  }
  get confirmed(): number {
    return this.#confirmed;
  }
  /** Mark of the view in which this joiner holds a whole synced copy, or 0. */
  get copiedMark(): number {
    return this.#copiedMark;
  }

  get position(): number {
    return this.#view === undefined ? -1 : positionOf(this.#view, this.#self);
  }

  get isHead(): boolean {
    return this.position === 0 && this.#ready;
  }

  /** Owner with enough copies to confirm anything. */
  get serves(): boolean {
    return this.isHead && this.#view!.members.length >= this.#least;
  }

  get #ready(): boolean {
    return this.#view !== undefined && this.#viewSynced === this.#view.mark;
  }

  get #isTail(): boolean {
    return this.#view !== undefined && this.position === this.#view.members.length - 1;
  }

  get #successor(): Member | undefined {
    const position = this.position;
    return position < 0 ? undefined : this.#view!.members[position + 1];
  }

  /** Ledger time goes on with the monotonic clock only, so no clock step refills a bucket (§3.2). */
  time(now: number): number {
    return this.#time + Math.max(0, now - this.#timeAt);
  }

  /** A successor that holds this chain up, or this member itself by its own disk (§3.4). */
  stuck(now: number): Member | undefined {
    for (const write of this.#writes.values()) {
      if (now - write.at > constants.slowAfter) return this.#self;
    }
    const successor = this.#successor;
    if (
      successor !== undefined &&
      this.#taken < this.#passed &&
      now - this.#takenAt > constants.slowAfter
    )
      return successor;
    if (
      this.#joinerGates &&
      this.#joinerSynced < this.#synced &&
      this.#confirmed < this.#synced &&
      now - this.#joinerSyncedAt > constants.slowAfter
    )
      return this.#view!.joiner;
    return undefined;
  }

  /** A new view ends service in the old at once; service in the new begins when the view is synced (§1.3). */
  adopt(view: ChainView, now: number): ChainCommand[] {
    if (this.#view !== undefined && view.mark <= this.#view.mark) return [];
    const before = this.#view;
    const commands: ChainCommand[] = [];
    this.#view = view;
    for (const probe of this.#probes.values())
      commands.push({ kind: "result", ticket: probe.ticket, result: { kind: "unknown" } });
    this.#probes.clear();
    if (positionOf(view, this.#self) !== 0) commands.push(...this.#abandonWaiters());
    /** A former member may hold entries that no later view knows; only a copy begun anew is sure (§1.4, §1.5). */
    const clear =
      before !== undefined &&
      this.#place > 0 &&
      !holds(view, this.#self) &&
      !copiedOn(before, view, this.#self);
    if (clear) this.#forget(now);
    if (!isSame(before?.joiner, this.#successor)) this.#joinerPlace = undefined;
    this.#passed =
      this.#joinerPlace === undefined
        ? this.#confirmed
        : Math.min(this.#confirmed, this.#joinerPlace);
    this.#taken = this.#passed;
    this.#joinerPlace = undefined;
    this.#joinerGates = false;
    this.#joinerSynced = 0;
    this.#joinerAsked = 0;
    this.#snapshotFor = undefined;
    this.#sending = undefined;
    this.#parts = undefined;
    this.#sourcePlace = undefined;
    this.#successorPlace = 0;
    this.#takenAt = now;
    this.#progressAt = now;
    commands.push(this.#write(clear, [], [], [], now));
    return commands;
  }

  #abandonWaiters(): ChainCommand[] {
    const commands: ChainCommand[] = [];
    for (const waiter of this.#waiters)
      commands.push({ kind: "result", ticket: waiter.ticket, result: { kind: "unknown" } });
    this.#waiters = [];
    return commands;
  }

  #forget(now: number): void {
    this.ledger.clear();
    this.machine.rebuild(this.ledger);
    this.#entries = [];
    this.#changesAt.clear();
    this.#place = 0;
    this.#synced = 0;
    this.#confirmed = 0;
    this.#time = 0;
    this.#timeAt = now;
    this.#copiedMark = 0;
    this.#gap = true;
  }

  #write(
    clear: boolean,
    changes: readonly Change[],
    entries: readonly Entry[],
    drop: readonly number[],
    now: number,
  ): ChainCommand {
    this.#writeNumber += 1;
    this.#writes.set(this.#writeNumber, {
      place: this.#place,
      mark: this.#view!.mark,
      at: now,
      whole: clear,
      adopts: changes.length + entries.length + drop.length === 0,
    });
    const state: ChainState = {
      place: this.#place,
      time: this.#time,
      confirmed: this.#confirmed,
      view: this.#view!,
    };
    return {
      kind: "write",
      chain: this.name,
      ticket: this.#writeNumber,
      write: { clear, changes, entries, drop, state },
    };
  }

  #send(to: Member, message: DistributiveBare): ChainCommand {
    return {
      kind: "send",
      to: to.address,
      message: { ...message, chain: this.name, mark: this.#view!.mark } as ChainMessage,
    };
  }

  /** A request at the owner: an entry where it changes records, else a read that probes the whole chain. */
  inquire(ticket: string, command: unknown, now: number): ChainCommand[] {
    if (!this.serves)
      return [{ kind: "result", ticket, result: { kind: "elsewhere", view: this.#view } }];
    const time = this.time(now);
    const value = this.machine.apply(this.ledger, command, time);
    const changes = this.ledger.takeChanges();
    if (changes.length === 0) {
      this.#probeNumber += 1;
      const probe: Probe = {
        ticket,
        place: this.#place,
        value,
        number: this.#probeNumber,
        sentAt: now,
      };
      this.#probes.set(probe.number, probe);
      return [this.#send(this.#successor!, { kind: "probe", number: probe.number })];
    }
    this.#place += 1;
    const entry: Entry = { place: this.#place, time, command };
    this.#waiters.push({ ticket, place: entry.place, value });
    return [this.#append(entry, changes, now)];
  }

  #append(entry: Entry, changes: readonly Change[], now: number): ChainCommand {
    this.#time = entry.time;
    this.#timeAt = now;
    if (this.#entries.length === 0) this.#progressAt = now;
    this.#entries.push(entry);
    this.#changesAt.set(entry.place, changes);
    return this.#write(false, changes, [entry], this.#prune(), now);
  }

  /** Confirmed entries leave memory and disk, but for those a joiner may still miss. */
  #prune(): number[] {
    const floor = Math.min(this.#confirmed, this.#joinerPlace ?? this.#confirmed);
    const dropped: number[] = [];
    while (this.#entries.length > 0 && this.#entries[0]!.place <= floor)
      dropped.push(this.#entries.shift()!.place);
    return dropped;
  }

  written(ticket: number, now: number): ChainCommand[] {
    const write = this.#writes.get(ticket);
    if (write === undefined) return [];
    this.#writes.delete(ticket);
    this.#viewSynced = Math.max(this.#viewSynced, write.mark);
    if (write.place > this.#synced && write.place <= this.#place) this.#synced = write.place;
    if (!this.#ready) return [];
    const commands: ChainCommand[] = [];
    commands.push(...this.#pass(now));
    if (isSame(this.#view!.joiner, this.#self)) {
      this.#countCopy(now);
      if ((write.whole && this.#place > 0) || write.adopts)
        commands.push(this.#send(this.#source!, { kind: "want", place: this.#place }));
    }
    return commands;
  }

  /** Passes on what is synced here: to the successor, or as the tail's word to all. */
  #pass(now: number): ChainCommand[] {
    const commands: ChainCommand[] = [];
    const view = this.#view!;
    const position = this.position;
    if (position < 0) {
      if (isSame(view.joiner, this.#self) && view.members.length > 0)
        commands.push(
          this.#send(view.members.at(-1)!, { kind: "taken", place: this.#synced, confirmed: 0 }),
        );
      return commands;
    }
    if (position > 0)
      commands.push(
        this.#send(view.members[position - 1]!, {
          kind: "taken",
          place: this.#synced,
          confirmed: this.#confirmed,
        }),
      );
    const successor = this.#successor;
    if (successor !== undefined) commands.push(...this.#sendEntries(successor, this.#passed, now));
    else commands.push(...this.#confirmAsTail(now));
    commands.push(...this.#restore());
    if (this.#snapshotFor !== undefined && this.#synced === this.#place)
      commands.push(...this.#sendSnapshot(this.#snapshotFor, now));
    return commands;
  }

  /** The tail confirms what is synced here, and at the joiner too once that counts as whole. */
  #confirmAsTail(now: number): ChainCommand[] {
    const view = this.#view!;
    const upTo = this.#joinerGates ? Math.min(this.#synced, this.#joinerSynced) : this.#synced;
    if (upTo <= this.#confirmed || view.members.length < this.#least) return [];
    const commands = this.#confirm(upTo, now);
    for (const member of view.members)
      if (!isSame(member, this.#self))
        commands.push(this.#send(member, { kind: "confirm", place: this.#confirmed }));
    return commands;
  }

  #sendEntries(to: Member, after: number, now: number): ChainCommand[] {
    const entries = this.#entriesAfter(after);
    if (entries.length === 0) return [];
    if (this.#taken >= this.#passed) this.#takenAt = now;
    this.#passed = Math.max(this.#passed, entries.at(-1)!.place);
    return [this.#send(to, { kind: "entries", entries, confirmed: this.#confirmed })];
  }

  /** What is synced here after a place, as much as goes into one message, and one entry at least (§1.7). */
  #entriesAfter(after: number): Entry[] {
    const entries: Entry[] = [];
    let weight = 0;
    for (const entry of this.#entries) {
      if (entry.place <= after || entry.place > this.#synced) continue;
      weight += weightOf(entry.command);
      if (
        entries.length === constants.entriesInMessage ||
        (entries.length > 0 && weight > constants.messageWeight)
      )
        break;
      entries.push(entry);
    }
    return entries;
  }

  #confirm(place: number, now: number): ChainCommand[] {
    if (place <= this.#confirmed) return [];
    const commands: ChainCommand[] = [];
    for (let at = this.#confirmed + 1; at <= place; at += 1) {
      const changes = this.#changesAt.get(at);
      this.#changesAt.delete(at);
      if (changes === undefined) this.#gap = true;
      else if (!this.#gap)
        commands.push({ kind: "confirmed", chain: this.name, place: at, changes });
    }
    this.#confirmed = place;
    commands.push(...this.#restore());
    this.#progressAt = now;
    while (this.#waiters.length > 0 && this.#waiters[0]!.place <= place) {
      const waiter = this.#waiters.shift()!;
      commands.push({
        kind: "result",
        ticket: waiter.ticket,
        result: { kind: "confirmed", place: waiter.place, value: waiter.value },
      });
    }
    const joiner = this.#view!.joiner;
    if (this.#isTail && joiner !== undefined && this.#joinerPlace !== undefined) {
      commands.push(...this.#sendJoiner(joiner));
    }
    return commands;
  }

  /** From a place on, message by message as each is taken; that does not make the successor any less slow (§3.4). */
  #sendAgain(to: Member, after: number, now: number): ChainCommand[] {
    const since = this.#taken < this.#passed ? this.#takenAt : now;
    this.#passed = after;
    const commands = this.#sendEntries(to, after, now);
    this.#takenAt = since;
    return commands;
  }

  #sendJoiner(joiner: Member): ChainCommand[] {
    const entries = this.#entriesAfter(this.#joinerPassed);
    if (entries.length === 0) return [];
    this.#joinerPassed = entries.at(-1)!.place;
    return [this.#send(joiner, { kind: "entries", entries, confirmed: this.#confirmed })];
  }

  /** What was copied, or stood on disk without its changes, is told as a whole once a view that confirms holds all of it. */
  #restore(): ChainCommand[] {
    const view = this.#view!;
    if (
      !this.#gap ||
      this.#confirmed !== this.#place ||
      this.position < 0 ||
      view.members.length < this.#least
    )
      return [];
    this.#gap = false;
    return [
      { kind: "restored", chain: this.name, place: this.#place, records: this.ledger.snapshot() },
    ];
  }

  /** A joiner's copy counts when it has reached the place where its source stood after the copying. */
  #countCopy(now: number): void {
    if (
      this.#sourcePlace === undefined ||
      this.#synced < this.#sourcePlace ||
      this.#parts !== undefined
    )
      return;
    this.#copiedMark = this.#view!.mark;
    this.#wholeAt = now;
  }

  receive(message: ChainMessage, from: string, now: number): ChainCommand[] {
    const view = this.#view;
    if (view === undefined || message.mark !== view.mark || !this.#ready) return [];
    switch (message.kind) {
      case "entries":
        return this.#receiveEntries(message.entries, from, now);
      case "taken":
        return this.#receiveTaken(message.place, message.confirmed, from, now);
      case "confirm":
        return this.#confirm(Math.min(message.place, this.#place), now);
      case "probe":
        return this.#receiveProbe(message.number);
      case "probed":
        return this.#receiveProbed(message.number);
      case "want":
        return this.#receiveWant(message.place, from, now);
      case "digest":
        return this.#receiveSnapshot(message, from, now);
      case "digest-got":
        return this.#receiveGot(message.series, message.part, from, now);
    }
  }

  /** The member this one takes entries from: its predecessor, or for a joiner the tail. */
  get #source(): Member | undefined {
    const view = this.#view;
    if (view === undefined) return undefined;
    const position = this.position;
    if (position > 0) return view.members[position - 1];
    return position < 0 && isSame(view.joiner, this.#self) ? view.members.at(-1) : undefined;
  }

  #receiveEntries(entries: readonly Entry[], from: string, now: number): ChainCommand[] {
    const source = this.#source;
    if (source === undefined || source.address !== from) return [];
    /** While a copy is on its way, what follows it is asked for afterwards. */
    if (this.#parts !== undefined || (this.#place === 0 && isSame(this.#view!.joiner, this.#self)))
      return [];
    const commands: ChainCommand[] = [];
    for (const entry of entries) {
      if (entry.place <= this.#place) continue;
      if (entry.place > this.#place + 1)
        return [...commands, this.#send(source, { kind: "want", place: this.#place })];
      this.machine.apply(this.ledger, entry.command, entry.time);
      this.#place = entry.place;
      commands.push(this.#append(entry, this.ledger.takeChanges(), now));
    }
    if (commands.length === 0) {
      commands.push(
        this.#send(source, { kind: "taken", place: this.#synced, confirmed: this.#confirmed }),
      );
      if (this.#isTail)
        for (const member of this.#view!.members)
          if (!isSame(member, this.#self))
            commands.push(this.#send(member, { kind: "confirm", place: this.#confirmed }));
    }
    return commands;
  }

  #receiveTaken(place: number, confirmed: number, from: string, now: number): ChainCommand[] {
    const view = this.#view!;
    if (view.joiner !== undefined && view.joiner.address === from && this.#isTail)
      return this.#receiveTakenByJoiner(view.joiner, place, now);
    if (isSame(view.joiner, this.#self) && this.#source!.address === from) {
      this.#sourcePlace = place;
      this.#countCopy(now);
      return [];
    }
    if (this.#successor?.address !== from) return [];
    if (place > this.#taken) {
      this.#taken = place;
      this.#takenAt = now;
    }
    if (place > this.#successorPlace) {
      this.#successorPlace = place;
      this.#successorSince = now;
    }
    /** It stands where entries are gone, and says so again and again: nothing else would ever make it ask. */
    if (
      place === this.#successorPlace &&
      place + 1 < this.#firstKept &&
      this.#sending === undefined &&
      now - this.#successorSince > constants.resendAfter * 2
    ) {
      this.#successorSince = now;
      return this.#receiveWant(place, from, now);
    }
    const commands = this.#confirm(Math.min(confirmed, this.#place), now);
    if (this.#synced > this.#passed)
      commands.push(...this.#sendEntries(this.#successor, this.#passed, now));
    return commands;
  }

  #receiveTakenByJoiner(joiner: Member, place: number, now: number): ChainCommand[] {
    if (place > this.#joinerSynced) {
      this.#joinerSynced = place;
      this.#joinerSyncedAt = now;
    }
    const commands = this.#confirmAsTail(now);
    if (this.#joinerPlace === undefined) return commands;
    this.#joinerPlace = Math.max(this.#joinerPlace, place);
    return [...commands, ...this.#sendJoiner(joiner)];
  }

  #receiveProbe(number: number): ChainCommand[] {
    const successor = this.#successor;
    if (this.position <= 0) return [];
    if (successor !== undefined) return [this.#send(successor, { kind: "probe", number })];
    return [this.#send(this.#view!.members[0]!, { kind: "probed", number })];
  }

  #receiveProbed(number: number): ChainCommand[] {
    const probe = this.#probes.get(number);
    if (probe === undefined) return [];
    this.#probes.delete(number);
    /** What the read saw must be confirmed before it is told. */
    if (probe.place > this.#confirmed) {
      this.#waiters.push({ ticket: probe.ticket, place: probe.place, value: probe.value });
      this.#waiters.sort(byPlace);
      return [];
    }
    return [
      {
        kind: "result",
        ticket: probe.ticket,
        result: { kind: "confirmed", place: probe.place, value: probe.value },
      },
    ];
  }

  get #firstKept(): number {
    return this.#entries[0]?.place ?? this.#place + 1;
  }

  #receiveWant(asked: number, from: string, now: number): ChainCommand[] {
    const view = this.#view!;
    const joiner = this.#isTail && view.joiner?.address === from ? view.joiner : undefined;
    /** What it told as synced since may have overtaken its asking. */
    const place = joiner === undefined ? asked : Math.max(asked, this.#joinerSynced);
    const asker = joiner ?? (this.#successor?.address === from ? this.#successor : undefined);
    if (asker === undefined) return [];
    if (place > 0 && place + 1 >= this.#firstKept && place <= this.#place) {
      return joiner === undefined
        ? this.#sendAgain(asker, place, now)
        : this.#bringUp(joiner, place, now);
    }
    if (this.#synced < this.#place) {
      this.#snapshotFor = asker;
      return [];
    }
    return this.#sendSnapshot(asker, now);
  }

  /**
   * What a joiner misses, and the place where this tail stands. On that word the joiner counts itself as whole as soon as it has
   * reached the place, so from then on nothing is confirmed here that it has not synced: whatever the next view confirms, the joiner
   * holds all that this one confirmed (§1.6). One that is far behind gets entries first, so that it does not hold the chain up.
   */
  #bringUp(joiner: Member, place: number, now: number): ChainCommand[] {
    this.#joinerPlace = place;
    /** A place that it holds without having told it as synced is sent again, which makes it tell. */
    this.#joinerPassed = Math.min(place, Math.max(this.#joinerSynced, this.#firstKept - 1));
    const sent = this.#sendJoiner(joiner);
    this.#joinerAsked += 1;
    const isNear = this.#joinerPassed >= this.#synced || this.#joinerAsked > constants.joinerAsks;
    if (!isNear && !this.#joinerGates) return sent;
    if (!this.#joinerGates) this.#joinerSyncedAt = now;
    this.#joinerGates = true;
    return [
      ...sent,
      this.#send(joiner, { kind: "taken", place: this.#synced, confirmed: this.#confirmed }),
    ];
  }

  /** A whole copy in pieces, taken only when all of it is synced here, so a copy never runs ahead (§1.4). */
  #sendSnapshot(to: Member, now: number): ChainCommand[] {
    this.#snapshotFor = undefined;
    this.#series += 1;
    if (isSame(this.#view!.joiner, to)) {
      this.#joinerPlace = this.#place;
      this.#joinerPassed = this.#place;
      /** A copy of nothing counts as whole at once. */
      if (this.#place === 0 && !this.#joinerGates) {
        this.#joinerGates = true;
        this.#joinerSyncedAt = now;
      }
    }
    const parts = cutInPieces(this.ledger.snapshot());
    const pieces: DistributiveBare[] = [];
    for (const [part, records] of parts.entries()) {
      pieces.push({
        kind: "digest",
        series: this.#series,
        part,
        last: part === parts.length - 1,
        place: this.#place,
        time: this.#time,
        records,
      });
    }
    this.#sending = { to, pieces, sent: 0, got: new Set(), at: now, isDeaf: false };
    return this.#sendPieces();
  }

  #sendPieces(): ChainCommand[] {
    const commands: ChainCommand[] = [];
    const sending = this.#sending;
    if (sending === undefined) return commands;
    const { to, pieces } = sending;
    const upTo = Math.min(
      pieces.length,
      sending.isDeaf
        ? sending.sent + constants.snapshotPiecesEachBeat
        : sending.got.size + constants.snapshotPiecesOut,
    );
    for (; sending.sent < upTo; sending.sent += 1)
      commands.push(this.#send(to, pieces[sending.sent]!));
    if (sending.isDeaf && sending.sent === pieces.length) this.#sending = undefined;
    return commands;
  }

  /** Pieces follow as fast as they are taken: more than the link carries would be dropped, and the copy begun anew for ever (§1.8). */
  #receiveGot(series: number, part: number, from: string, now: number): ChainCommand[] {
    const sending = this.#sending;
    if (
      sending === undefined ||
      series !== this.#series ||
      sending.to.address !== from ||
      sending.got.has(part)
    )
      return [];
    sending.got.add(part);
    sending.at = now;
    sending.isDeaf = false;
    if (sending.got.size === sending.pieces.length) this.#sending = undefined;
    return this.#sendPieces();
  }

  /** Pieces of which nothing is heard go out again; one that never says that it got any is of an earlier release, and gets a few each beat. */
  #sendPiecesAgain(now: number): ChainCommand[] {
    const sending = this.#sending;
    if (sending === undefined || sending.isDeaf) return this.#sendPieces();
    if (now - sending.at < constants.resendAfter * (sending.got.size === 0 ? 6 : 2)) return [];
    sending.at = now;
    const commands: ChainCommand[] = [];
    if (sending.got.size === 0) {
      sending.isDeaf = true;
      sending.sent = 0;
      return this.#sendPieces();
    }
    for (let part = 0; part < sending.sent; part += 1)
      if (!sending.got.has(part)) commands.push(this.#send(sending.to, sending.pieces[part]!));
    return commands;
  }

  #receiveSnapshot(
    message: Extract<ChainMessage, { kind: "digest" }>,
    from: string,
    now: number,
  ): ChainCommand[] {
    if (this.#source?.address !== from || this.position === 0) return [];
    if (this.#parts === undefined || this.#parts.series !== message.series) {
      this.#parts = { series: message.series, pieces: new Map(), last: undefined, at: now };
    }
    const parts = this.#parts;
    parts.at = now;
    const got: ChainCommand = this.#send(this.#source, {
      kind: "digest-got",
      series: message.series,
      part: message.part,
    });
    parts.pieces.set(message.part, message.records);
    if (message.last) parts.last = message.part;
    this.#progressAt = now;
    if (parts.last === undefined || parts.pieces.size !== parts.last + 1) return [got];
    this.#parts = undefined;
    if (message.place < this.#place) return [got];
    if (message.place === 0 && this.#copiedMark === message.mark) {
      this.#countCopy(now);
      return [got];
    }
    const records: Change[] = [];
    for (let part = 0; part <= parts.last; part += 1) records.push(...parts.pieces.get(part)!);
    this.ledger.clear();
    this.ledger.adopt(records);
    this.machine.rebuild(this.ledger);
    this.#entries = [];
    this.#changesAt.clear();
    this.#place = message.place;
    this.#time = message.time;
    this.#timeAt = now;
    const joins = isSame(this.#view!.joiner, this.#self);
    if (joins) this.#confirmed = message.place;
    if (joins && message.place === 0) this.#sourcePlace = 0;
    this.#gap = true;
    return [got, this.#write(true, records, [], [], now)];
  }

  beat(now: number): ChainCommand[] {
    if (this.#view === undefined || !this.#ready) return [];
    const commands: ChainCommand[] = this.#sendPiecesAgain(now);
    const late = now - this.#progressAt > constants.resendAfter;
    const source = this.#source;
    const joins = isSame(this.#view.joiner, this.#self);
    /** Pieces that do not come any more, since their sender began another life: it is asked anew. */
    if (this.#parts !== undefined && now - this.#parts.at > constants.resendAfter * 8) {
      this.#parts = undefined;
      commands.push(this.#send(source!, { kind: "want", place: this.#place }));
    }
    if (joins && this.#copiedMark > 0 && now - this.#wholeAt > constants.resendAfter * 4)
      this.#copiedMark = 0;
    if (
      joins &&
      this.#parts === undefined &&
      this.#writes.size === 0 &&
      now - this.#progressAt > constants.resendAfter
    ) {
      this.#progressAt = now;
      if (this.#synced > 0)
        commands.push(
          this.#send(source!, { kind: "taken", place: this.#synced, confirmed: this.#confirmed }),
        );
      commands.push(this.#send(source!, { kind: "want", place: this.#place }));
      return commands;
    }
    if (late && this.position >= 0) {
      this.#progressAt = now;
      const successor = this.#successor;
      if (successor !== undefined && this.#synced > this.#taken)
        commands.push(...this.#sendAgain(successor, this.#taken, now));
      for (const probe of this.#probes.values()) {
        if (now - probe.sentAt < constants.resendAfter) continue;
        probe.sentAt = now;
        commands.push(this.#send(successor!, { kind: "probe", number: probe.number }));
      }
    }
    if (this.position > 0 && now - this.#toldAt > constants.resendAfter * 2) {
      this.#toldAt = now;
      if (this.#isTail && this.#synced > this.#confirmed) commands.push(...this.#pass(now));
      else
        commands.push(
          this.#send(source!, { kind: "taken", place: this.#synced, confirmed: this.#confirmed }),
        );
    }
    return commands;
  }

  /** All that a blank folder would need, for tests and snapshots of control state. */
  holding(): ChainHolding | undefined {
    if (this.#view === undefined) return undefined;
    return {
      state: { place: this.#place, time: this.#time, confirmed: this.#confirmed, view: this.#view },
      records: this.ledger.snapshot(),
      entries: [...this.#entries],
    };
  }
}

/** A snapshot on its way. */
interface Sending {
  readonly to: Member;
  readonly pieces: readonly DistributiveBare[];
  sent: number;
  readonly got: Set<number>;
  /** When something of it was last heard, or it was last sent again. */
  at: number;
  /** Whether the other side says nothing of what it got. */
  isDeaf: boolean;
}

type DistributiveBare = ChainMessage extends infer Each
  ? Each extends unknown
    ? Omit<Each, "chain" | "mark">
    : never
  : never;

function positionOf(view: ChainView, member: Member): number {
  for (const [index, each] of view.members.entries())
    if (each.identity === member.identity) return index;
  return -1;
}

function isSame(left: Member | undefined, right: Member | undefined): boolean {
  return left !== undefined && right !== undefined && left.identity === right.identity;
}

/** Pieces of a snapshot: by number and by weight, and one where there is nothing (§1.7). */
function cutInPieces(records: readonly Change[]): Change[][] {
  const pieces: Change[][] = [[]];
  let weight = 0;
  for (const record of records) {
    const own = weightOf(record);
    const piece = pieces.at(-1)!;
    if (
      piece.length === constants.snapshotPiece ||
      (piece.length > 0 && weight + own > constants.messageWeight)
    ) {
      pieces.push([record]);
      weight = own;
    } else {
      piece.push(record);
      weight += own;
    }
  }
  return pieces;
}

/** bytes. About what a value takes in a message; names of fields count as their letters. */
function weightOf(value: unknown): number {
  if (typeof value === "string") return value.length;
  if (value instanceof Uint8Array) return value.byteLength;
  if (typeof value !== "object" || value === null) return 8;
  let weight = 8;
  if (Array.isArray(value)) for (const each of value) weight += weightOf(each);
  else for (const [name, each] of Object.entries(value)) weight += name.length + weightOf(each);
  return weight;
}

/** Whether this machine's copy counts in the view: as a member's, or as one of those that held all when the chain last confirmed. */
function holds(view: ChainView, self: Member): boolean {
  return positionOf(view, self) >= 0 || holdersOf(view).some(isMember, self);
}

/** Whether what a joiner was copied is a beginning of what the next view holds. What a view that confirms nothing holds may be dropped by the next (§1.5). */
function copiedOn(before: ChainView, view: ChainView, self: Member): boolean {
  if (!isSame(before.joiner, self) || !isSame(view.joiner, self)) return false;
  return (
    before.holders === undefined ||
    (view.mark === before.mark + 1 && view.members.some(isMember, before.members.at(-1)!))
  );
}

/** Each of them holds all that was confirmed (§1.5). */
export function holdersOf(view: ChainView): readonly Member[] {
  return view.holders ?? view.members;
}

/** Whether a member is there, by its identity. */
export interface Presence {
  has(identity: string): boolean;
}

/** Those of a view that are there, in the order in which they may go on; what was copied from a lone holder counts while just those holders stay (§1.5). */
export function presentOf(view: ChainView, there: Presence): Member[] {
  const present: Member[] = [];
  const joined: Member[] = [];
  let same = true;
  for (const member of holdersOf(view)) {
    if (there.has(member.identity)) present.push(member);
    if (there.has(member.identity) !== view.members.some(isMember, member)) same = false;
  }
  for (const member of view.members)
    if (there.has(member.identity) && !holdersOf(view).some(isMember, member)) joined.push(member);
  return same ? [...present, ...joined] : present;
}

function isMember(this: Member, member: Member): boolean {
  return member.identity === this.identity;
}

function isAfter(this: { place: number }, entry: Entry): boolean {
  return entry.place > this.place;
}

function byPlace(left: Waiter, right: Waiter): number {
  return left.place - right.place;
}
