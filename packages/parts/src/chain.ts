/**
 * Chain replication of one ledger: the head appends entries to the log, each member passes them on to its successor once they are
 * durable, and the tail commits them (docs/design.md §1).
 */
import { constants } from "./constants.js";
import { Ledger, type Change, type StateMachine } from "./ledger.js";

/** A machine that takes part in replication. */
export interface Member {
  readonly identity: string;
  readonly address: string;
}

/** Configuration of a chain. */
export interface ChainView {
  /** Epoch of the view; each view has a higher one than the view before. */
  readonly mark: number;
  /** Replicas in chain order, from the head to the tail. */
  readonly members: readonly Member[];
  /** Learner: receives a copy of the ledger, and does not count as a replica yet. */
  readonly joiner?: Member;
  /** Voters on the next view, if they differ from the members (docs/design.md §2.3). */
  readonly voters?: readonly Member[];
  /**
   * Set if the members are too few to commit: the members of the last view that could, in chain order. Each of them holds all
   * committed entries (docs/design.md §1.5).
   */
  readonly holders?: readonly Member[];
}

/** A command in the log. */
export interface LogEntry {
  /** Log index of the entry. */
  readonly place: number;
  /** Ledger time, in ms, assigned by the head (docs/design.md §3.2). */
  readonly time: number;
  readonly command: unknown;
}

/**
 * Messages between replicas. `mark` is the epoch of the sender's view, `place` a log index, and `confirmed` the commit index of the
 * sender.
 */
export type ChainMessage = { readonly chain: string; readonly mark: number } & (
  | { readonly kind: "entries"; readonly entries: readonly LogEntry[]; readonly confirmed: number }
  /** Acknowledgement: the sender has all entries up to `place` synced to disk. */
  | { readonly kind: "taken"; readonly place: number; readonly confirmed: number }
  /** All entries up to `place` are committed. */
  | { readonly kind: "confirm"; readonly place: number }
  /** Passed along the chain to check that the view of a read is still in force. */
  | { readonly kind: "probe"; readonly number: number }
  /** The tail's reply to a probe. */
  | { readonly kind: "probed"; readonly number: number }
  /** Requests the entries after `place`, or a snapshot if they are no longer retained. */
  | { readonly kind: "want"; readonly place: number }
  /** A piece of a snapshot. */
  | {
      readonly kind: "digest";
      readonly series: number;
      readonly part: number;
      readonly last: boolean;
      readonly place: number;
      readonly time: number;
      readonly records: readonly Change[];
    }
  /** Acknowledges a piece of a snapshot, so that the sender can send the next one (docs/design.md §1.8). */
  | { readonly kind: "digest-got"; readonly series: number; readonly part: number }
);

/** An atomic write; `writeCompleted(ticket)` is called when it is durable. */
export interface ChainWrite {
  /** Whether all earlier records and entries of the chain are deleted first. */
  readonly clear: boolean;
  readonly changes: readonly Change[];
  readonly entries: readonly LogEntry[];
  /** Log indexes of the entries to delete. */
  readonly drop: readonly number[];
  readonly state: ChainState;
}

/** Replication state that is stored with each write. */
export interface ChainState {
  /** Log index of the last entry applied to the records. */
  readonly place: number;
  /** Ledger time of that entry. */
  readonly time: number;
  /** Commit index. */
  readonly confirmed: number;
  readonly view: ChainView;
}

/** Persisted state of a chain, as read from the data folder. */
export interface PersistedChain {
  readonly state: ChainState;
  readonly records: readonly Change[];
  readonly entries: readonly LogEntry[];
}

/** Effects that the chain requests from its host. */
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

/** Outcome of a request. */
export type ChainResult =
  /** Committed; `place` is the log index that the result reflects. */
  | { readonly kind: "confirmed"; readonly place: number; readonly value: unknown }
  /** Not accepted, because this replica is not the serving head. */
  | { readonly kind: "elsewhere"; readonly view: ChainView | undefined }
  /** Accepted, but this replica cannot tell whether it was or will be committed. */
  | { readonly kind: "unknown" };

/** A request whose result is held back until its log index is committed. */
interface Waiter {
  readonly ticket: string;
  readonly place: number;
  readonly value: unknown;
}

/** A read that waits for its probe to pass the whole chain. */
interface Probe extends Waiter {
  readonly number: number;
  sentAt: number;
}

/** One replica of a chain: consumes messages and completed writes, and returns the commands to perform. */
export class Chain {
  readonly name: string;
  readonly ledger = new Ledger();
  readonly machine: StateMachine;
  #self: Member;
  #view: ChainView | undefined;
  /** Epoch of the last view that is synced to disk. */
  #durableEpoch = 0;
  /** Index of the last entry applied to the ledger. */
  #lastIndex = 0;
  /** Index of the last entry that is synced to disk. */
  #durableIndex = 0;
  #commitIndex = 0;
  #ledgerTime = 0;
  #ledgerTimeSetAt: number;
  #entries: LogEntry[] = [];
  #changesByIndex = new Map<number, readonly Change[]>();
  /** Index of the last entry sent to the successor, and of the last that it acknowledged as durable. */
  #sentIndex = 0;
  #ackedIndex = 0;
  #ackedAt: number;
  #lastProgressAt: number;
  #lastReportAt = 0;
  #waiters: Waiter[] = [];
  #probes = new Map<number, Probe>();
  #probeNumber = 0;
  #writeNumber = 0;
  #writes = new Map<
    number,
    { place: number; mark: number; at: number; whole: boolean; adopts: boolean }
  >();
  /** Highest index known to be held by the learner, once it has requested entries or was sent a snapshot. */
  #learnerIndex: number | undefined;
  /** Index of the last entry sent to the learner. */
  #learnerSentIndex = 0;
  /** While true, this tail commits only what is durable on the learner too; only a new view resets it (docs/design.md §1.6). */
  #learnerGatesCommit = false;
  /** Highest index that the learner acknowledged in this view and incarnation, and when it last rose. */
  #learnerAckedIndex = 0;
  #learnerAckedAt = 0;
  /** Number of catch-up requests from the learner in this view. */
  #learnerRequests = 0;
  /** Highest index that the successor acknowledged in this view, and when it last rose or a snapshot was last sent instead. */
  #successorReportedIndex = 0;
  #successorReportedAt = 0;
  #snapshotPendingFor: Member | undefined;
  #snapshotSeries = 0;
  /** The snapshot that is being sent. */
  #outgoingSnapshot: OutgoingSnapshot | undefined;
  #incomingSnapshot:
    | {
        series: number;
        pieces: Map<number, readonly Change[]>;
        last: number | undefined;
        at: number;
      }
    | undefined;
  #copiedEpoch = 0;
  /**
   * On a learner: index that its source reported in this view, requested once the snapshot is stored. The copy is complete when it
   * has reached this index.
   */
  #sourceIndex: number | undefined;
  /** When this learner was last known to be caught up with its source; expires if it is not renewed. */
  #caughtUpAt = 0;
  /** Set if the changes of some entries are unknown: all records are then published together, once every applied entry is committed in a view that can commit. */
  #needsFullPublish = false;

  /** Replicas on which an entry must be durable to be committed: one more than may be lost at once (docs/design.md §13.3). */
  #minimumCopies: number;

  constructor(
    name: string,
    self: Member,
    machine: StateMachine,
    now: number,
    persisted?: PersistedChain,
    minimumCopies: number = constants.copiesLeast,
  ) {
    this.#minimumCopies = minimumCopies;
    this.name = name;
    this.#self = self;
    this.machine = machine;
    this.#ledgerTimeSetAt = now;
    this.#ackedAt = now;
    this.#lastProgressAt = now;
    if (persisted !== undefined) {
      this.ledger.applyChanges(persisted.records);
      this.#view = persisted.state.view;
      this.#durableEpoch = persisted.state.view.mark;
      this.#lastIndex = persisted.state.place;
      this.#durableIndex = persisted.state.place;
      this.#commitIndex = persisted.state.confirmed;
      this.#ledgerTime = persisted.state.time;
      this.#entries = persisted.entries.filter(isAfter, { place: persisted.state.confirmed });
      this.#sentIndex = this.#commitIndex;
      this.#ackedIndex = this.#commitIndex;
      this.#needsFullPublish = this.#lastIndex > this.#commitIndex || this.position < 0;
      // The previous incarnation may have reported an index to the learner, which then counts its copy as complete.
      this.#learnerGatesCommit = this.#isTail && persisted.state.view.joiner !== undefined;
      this.#learnerAckedAt = now;
    }
    machine.rebuild(this.ledger);
  }

  get view(): ChainView | undefined {
    return this.#view;
  }
  /** Index of the last log entry applied here. */
  get place(): number {
    return this.#lastIndex;
  }
  /** Commit index as known here. */
  get confirmed(): number {
    return this.#commitIndex;
  }
  /** Epoch of the view in which this learner holds a complete durable copy, or 0. */
  get copiedMark(): number {
    return this.#copiedEpoch;
  }

  /** Position in the chain, 0 for the head, or -1 if this replica is not a member. */
  get position(): number {
    return this.#view === undefined ? -1 : positionOf(this.#view, this.#self);
  }

  get isHead(): boolean {
    return this.position === 0 && this.#isViewDurable;
  }

  /** Whether this replica is the head of a chain that has enough members to commit. */
  get serves(): boolean {
    return this.isHead && this.#view!.members.length >= this.#minimumCopies;
  }

  get #isViewDurable(): boolean {
    return this.#view !== undefined && this.#durableEpoch === this.#view.mark;
  }

  get #isTail(): boolean {
    return this.#view !== undefined && this.position === this.#view.members.length - 1;
  }

  get #successor(): Member | undefined {
    const position = this.position;
    return position < 0 ? undefined : this.#view!.members[position + 1];
  }

  /** Ledger time, which advances with the monotonic clock only, so that no clock step refills a token bucket (docs/design.md §3.2). */
  time(now: number): number {
    return this.#ledgerTime + Math.max(0, now - this.#ledgerTimeSetAt);
  }

  /** The replica that slows the chain down: the successor, the learner, or this replica because of its disk (docs/design.md §3.4). */
  slowReplica(now: number): Member | undefined {
    for (const write of this.#writes.values()) {
      if (now - write.at > constants.slowReplicaTimeoutMs) return this.#self;
    }
    const successor = this.#successor;
    if (
      successor !== undefined &&
      this.#ackedIndex < this.#sentIndex &&
      now - this.#ackedAt > constants.slowReplicaTimeoutMs
    )
      return successor;
    if (
      this.#learnerGatesCommit &&
      this.#learnerAckedIndex < this.#durableIndex &&
      this.#commitIndex < this.#durableIndex &&
      now - this.#learnerAckedAt > constants.slowReplicaTimeoutMs
    )
      return this.#view!.joiner;
    return undefined;
  }

  /** Stops serving in the old view at once; serving in the new view begins when the view is durable (docs/design.md §1.3). */
  adopt(view: ChainView, now: number): ChainCommand[] {
    if (this.#view !== undefined && view.mark <= this.#view.mark) return [];
    const previous = this.#view;
    const commands: ChainCommand[] = [];
    this.#view = view;
    for (const probe of this.#probes.values())
      commands.push({ kind: "result", ticket: probe.ticket, result: { kind: "unknown" } });
    this.#probes.clear();
    if (positionOf(view, this.#self) !== 0) commands.push(...this.#abandonWaiters());
    // A former member may hold entries that no later view contains, so it starts again from an empty copy.
    const clear =
      previous !== undefined &&
      this.#lastIndex > 0 &&
      !countsOnCopy(view, this.#self) &&
      !continuesLearnerCopy(previous, view, this.#self);
    if (clear) this.#discardCopy(now);
    if (!isSameMember(previous?.joiner, this.#successor)) this.#learnerIndex = undefined;
    this.#sentIndex =
      this.#learnerIndex === undefined
        ? this.#commitIndex
        : Math.min(this.#commitIndex, this.#learnerIndex);
    this.#ackedIndex = this.#sentIndex;
    this.#learnerIndex = undefined;
    this.#learnerGatesCommit = false;
    this.#learnerAckedIndex = 0;
    this.#learnerRequests = 0;
    this.#snapshotPendingFor = undefined;
    this.#outgoingSnapshot = undefined;
    this.#incomingSnapshot = undefined;
    this.#sourceIndex = undefined;
    this.#successorReportedIndex = 0;
    this.#ackedAt = now;
    this.#lastProgressAt = now;
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

  #discardCopy(now: number): void {
    this.ledger.clear();
    this.machine.rebuild(this.ledger);
    this.#entries = [];
    this.#changesByIndex.clear();
    this.#lastIndex = 0;
    this.#durableIndex = 0;
    this.#commitIndex = 0;
    this.#ledgerTime = 0;
    this.#ledgerTimeSetAt = now;
    this.#copiedEpoch = 0;
    this.#needsFullPublish = true;
  }

  #write(
    clear: boolean,
    changes: readonly Change[],
    entries: readonly LogEntry[],
    drop: readonly number[],
    now: number,
  ): ChainCommand {
    this.#writeNumber += 1;
    this.#writes.set(this.#writeNumber, {
      place: this.#lastIndex,
      mark: this.#view!.mark,
      at: now,
      whole: clear,
      adopts: changes.length + entries.length + drop.length === 0,
    });
    const state: ChainState = {
      place: this.#lastIndex,
      time: this.#ledgerTime,
      confirmed: this.#commitIndex,
      view: this.#view!,
    };
    return {
      kind: "write",
      chain: this.name,
      ticket: this.#writeNumber,
      write: { clear, changes, entries, drop, state },
    };
  }

  #send(to: Member, message: MessageBody): ChainCommand {
    return {
      kind: "send",
      to: to.address,
      message: { ...message, chain: this.name, mark: this.#view!.mark } as ChainMessage,
    };
  }

  /** Executes a request at the head: one that changes records becomes a log entry, any other is a read that probes the whole chain. */
  execute(ticket: string, command: unknown, now: number): ChainCommand[] {
    if (!this.serves)
      return [{ kind: "result", ticket, result: { kind: "elsewhere", view: this.#view } }];
    const time = this.time(now);
    const value = this.machine.apply(this.ledger, command, time);
    const changes = this.ledger.drainChanges();
    if (changes.length === 0) {
      this.#probeNumber += 1;
      const probe: Probe = {
        ticket,
        place: this.#lastIndex,
        value,
        number: this.#probeNumber,
        sentAt: now,
      };
      this.#probes.set(probe.number, probe);
      return [this.#send(this.#successor!, { kind: "probe", number: probe.number })];
    }
    this.#lastIndex += 1;
    const entry: LogEntry = { place: this.#lastIndex, time, command };
    this.#waiters.push({ ticket, place: entry.place, value });
    return [this.#append(entry, changes, now)];
  }

  #append(entry: LogEntry, changes: readonly Change[], now: number): ChainCommand {
    this.#ledgerTime = entry.time;
    this.#ledgerTimeSetAt = now;
    if (this.#entries.length === 0) this.#lastProgressAt = now;
    this.#entries.push(entry);
    this.#changesByIndex.set(entry.place, changes);
    return this.#write(false, changes, [entry], this.#prune(), now);
  }

  /** Removes from memory the committed entries that the learner no longer needs; returns their indexes, so that they are deleted from disk too. */
  #prune(): number[] {
    const lastPrunableIndex = Math.min(this.#commitIndex, this.#learnerIndex ?? this.#commitIndex);
    const dropped: number[] = [];
    while (this.#entries.length > 0 && this.#entries[0]!.place <= lastPrunableIndex)
      dropped.push(this.#entries.shift()!.place);
    return dropped;
  }

  /** Called when the write with this ticket is durable. */
  writeCompleted(ticket: number, now: number): ChainCommand[] {
    const write = this.#writes.get(ticket);
    if (write === undefined) return [];
    this.#writes.delete(ticket);
    this.#durableEpoch = Math.max(this.#durableEpoch, write.mark);
    if (write.place > this.#durableIndex && write.place <= this.#lastIndex)
      this.#durableIndex = write.place;
    if (!this.#isViewDurable) return [];
    const commands: ChainCommand[] = [];
    commands.push(...this.#propagate(now));
    if (isSameMember(this.#view!.joiner, this.#self)) {
      this.#updateCopyStatus(now);
      if ((write.whole && this.#lastIndex > 0) || write.adopts)
        commands.push(this.#send(this.#source!, { kind: "want", place: this.#lastIndex }));
    }
    return commands;
  }

  /** Propagates what is durable here: acknowledges it upstream, and sends it to the successor or, as the tail, commits it. */
  #propagate(now: number): ChainCommand[] {
    const commands: ChainCommand[] = [];
    const view = this.#view!;
    const position = this.position;
    if (position < 0) {
      if (isSameMember(view.joiner, this.#self) && view.members.length > 0)
        commands.push(
          this.#send(view.members.at(-1)!, {
            kind: "taken",
            place: this.#durableIndex,
            confirmed: 0,
          }),
        );
      return commands;
    }
    if (position > 0)
      commands.push(
        this.#send(view.members[position - 1]!, {
          kind: "taken",
          place: this.#durableIndex,
          confirmed: this.#commitIndex,
        }),
      );
    const successor = this.#successor;
    if (successor !== undefined)
      commands.push(...this.#sendEntries(successor, this.#sentIndex, now));
    else commands.push(...this.#commitAsTail(now));
    commands.push(...this.#publishAll());
    if (this.#snapshotPendingFor !== undefined && this.#durableIndex === this.#lastIndex)
      commands.push(...this.#sendSnapshot(this.#snapshotPendingFor, now));
    return commands;
  }

  /** Commits what is durable on this tail and, once the learner counts as complete, on the learner too. */
  #commitAsTail(now: number): ChainCommand[] {
    const view = this.#view!;
    const upTo = this.#learnerGatesCommit
      ? Math.min(this.#durableIndex, this.#learnerAckedIndex)
      : this.#durableIndex;
    if (upTo <= this.#commitIndex || view.members.length < this.#minimumCopies) return [];
    const commands = this.#commit(upTo, now);
    for (const member of view.members)
      if (!isSameMember(member, this.#self))
        commands.push(this.#send(member, { kind: "confirm", place: this.#commitIndex }));
    return commands;
  }

  #sendEntries(to: Member, after: number, now: number): ChainCommand[] {
    const entries = this.#entriesAfter(after);
    if (entries.length === 0) return [];
    if (this.#ackedIndex >= this.#sentIndex) this.#ackedAt = now;
    this.#sentIndex = Math.max(this.#sentIndex, entries.at(-1)!.place);
    return [this.#send(to, { kind: "entries", entries, confirmed: this.#commitIndex })];
  }

  /** Durable entries after an index, up to the size limit of a message but at least one (docs/design.md §1.7). */
  #entriesAfter(after: number): LogEntry[] {
    const entries: LogEntry[] = [];
    let bytes = 0;
    for (const entry of this.#entries) {
      if (entry.place <= after || entry.place > this.#durableIndex) continue;
      bytes += estimateBytes(entry.command);
      if (
        entries.length === constants.maxEntriesPerMessage ||
        (entries.length > 0 && bytes > constants.targetMessageBytes)
      )
        break;
      entries.push(entry);
    }
    return entries;
  }

  /** Raises the commit index, and completes the requests that waited for it. */
  #commit(newCommitIndex: number, now: number): ChainCommand[] {
    if (newCommitIndex <= this.#commitIndex) return [];
    const commands: ChainCommand[] = [];
    for (let index = this.#commitIndex + 1; index <= newCommitIndex; index += 1) {
      const changes = this.#changesByIndex.get(index);
      this.#changesByIndex.delete(index);
      if (changes === undefined) this.#needsFullPublish = true;
      else if (!this.#needsFullPublish)
        commands.push({ kind: "confirmed", chain: this.name, place: index, changes });
    }
    this.#commitIndex = newCommitIndex;
    commands.push(...this.#publishAll());
    this.#lastProgressAt = now;
    while (this.#waiters.length > 0 && this.#waiters[0]!.place <= newCommitIndex) {
      const waiter = this.#waiters.shift()!;
      commands.push({
        kind: "result",
        ticket: waiter.ticket,
        result: { kind: "confirmed", place: waiter.place, value: waiter.value },
      });
    }
    const learner = this.#view!.joiner;
    if (this.#isTail && learner !== undefined && this.#learnerIndex !== undefined) {
      commands.push(...this.#sendEntriesToLearner(learner));
    }
    return commands;
  }

  /** Resends entries after an index, message by message as each is acknowledged; does not restart the timer of a slow successor. */
  #resendEntries(to: Member, after: number, now: number): ChainCommand[] {
    const previousAckedAt = this.#ackedIndex < this.#sentIndex ? this.#ackedAt : now;
    this.#sentIndex = after;
    const commands = this.#sendEntries(to, after, now);
    this.#ackedAt = previousAckedAt;
    return commands;
  }

  #sendEntriesToLearner(learner: Member): ChainCommand[] {
    const entries = this.#entriesAfter(this.#learnerSentIndex);
    if (entries.length === 0) return [];
    this.#learnerSentIndex = entries.at(-1)!.place;
    return [this.#send(learner, { kind: "entries", entries, confirmed: this.#commitIndex })];
  }

  /** Publishes all records, if the changes of some entries are unknown, once all of them are committed in a view that can commit. */
  #publishAll(): ChainCommand[] {
    const view = this.#view!;
    if (
      !this.#needsFullPublish ||
      this.#commitIndex !== this.#lastIndex ||
      this.position < 0 ||
      view.members.length < this.#minimumCopies
    )
      return [];
    this.#needsFullPublish = false;
    return [
      {
        kind: "restored",
        chain: this.name,
        place: this.#lastIndex,
        records: this.ledger.snapshot(),
      },
    ];
  }

  /** Marks a learner's copy as complete when it has reached the index that its source reported after the snapshot. */
  #updateCopyStatus(now: number): void {
    if (
      this.#sourceIndex === undefined ||
      this.#durableIndex < this.#sourceIndex ||
      this.#incomingSnapshot !== undefined
    )
      return;
    this.#copiedEpoch = this.#view!.mark;
    this.#caughtUpAt = now;
  }

  receive(message: ChainMessage, from: string, now: number): ChainCommand[] {
    const view = this.#view;
    if (view === undefined || message.mark !== view.mark || !this.#isViewDurable) return [];
    switch (message.kind) {
      case "entries":
        return this.#receiveEntries(message.entries, from, now);
      case "taken":
        return this.#receiveAck(message.place, message.confirmed, from, now);
      case "confirm":
        return this.#commit(Math.min(message.place, this.#lastIndex), now);
      case "probe":
        return this.#receiveProbe(message.number);
      case "probed":
        return this.#receiveProbeReply(message.number);
      case "want":
        return this.#receiveEntriesRequest(message.place, from, now);
      case "digest":
        return this.#receiveSnapshot(message, from, now);
      case "digest-got":
        return this.#receivePieceAck(message.series, message.part, from, now);
    }
  }

  /** The replica that sends entries to this one: its predecessor, or the tail for a learner. */
  get #source(): Member | undefined {
    const view = this.#view;
    if (view === undefined) return undefined;
    const position = this.position;
    if (position > 0) return view.members[position - 1];
    return position < 0 && isSameMember(view.joiner, this.#self) ? view.members.at(-1) : undefined;
  }

  #receiveEntries(entries: readonly LogEntry[], from: string, now: number): ChainCommand[] {
    const source = this.#source;
    if (source === undefined || source.address !== from) return [];
    // While a snapshot is being received, later entries are ignored; they are requested after it.
    if (
      this.#incomingSnapshot !== undefined ||
      (this.#lastIndex === 0 && isSameMember(this.#view!.joiner, this.#self))
    )
      return [];
    const commands: ChainCommand[] = [];
    for (const entry of entries) {
      if (entry.place <= this.#lastIndex) continue;
      if (entry.place > this.#lastIndex + 1)
        return [...commands, this.#send(source, { kind: "want", place: this.#lastIndex })];
      this.machine.apply(this.ledger, entry.command, entry.time);
      this.#lastIndex = entry.place;
      commands.push(this.#append(entry, this.ledger.drainChanges(), now));
    }
    if (commands.length === 0) {
      commands.push(
        this.#send(source, {
          kind: "taken",
          place: this.#durableIndex,
          confirmed: this.#commitIndex,
        }),
      );
      if (this.#isTail)
        for (const member of this.#view!.members)
          if (!isSameMember(member, this.#self))
            commands.push(this.#send(member, { kind: "confirm", place: this.#commitIndex }));
    }
    return commands;
  }

  #receiveAck(ackedIndex: number, commitIndex: number, from: string, now: number): ChainCommand[] {
    const view = this.#view!;
    if (view.joiner !== undefined && view.joiner.address === from && this.#isTail)
      return this.#receiveLearnerAck(view.joiner, ackedIndex, now);
    if (isSameMember(view.joiner, this.#self) && this.#source!.address === from) {
      this.#sourceIndex = ackedIndex;
      this.#updateCopyStatus(now);
      return [];
    }
    if (this.#successor?.address !== from) return [];
    if (ackedIndex > this.#ackedIndex) {
      this.#ackedIndex = ackedIndex;
      this.#ackedAt = now;
    }
    if (ackedIndex > this.#successorReportedIndex) {
      this.#successorReportedIndex = ackedIndex;
      this.#successorReportedAt = now;
    }
    // The successor keeps reporting an index whose next entries are no longer retained. It sees no gap, so it never requests a
    // snapshot by itself.
    if (
      ackedIndex === this.#successorReportedIndex &&
      ackedIndex + 1 < this.#firstRetainedIndex &&
      this.#outgoingSnapshot === undefined &&
      now - this.#successorReportedAt > constants.resendDelayMs * 2
    ) {
      this.#successorReportedAt = now;
      return this.#receiveEntriesRequest(ackedIndex, from, now);
    }
    const commands = this.#commit(Math.min(commitIndex, this.#lastIndex), now);
    if (this.#durableIndex > this.#sentIndex)
      commands.push(...this.#sendEntries(this.#successor, this.#sentIndex, now));
    return commands;
  }

  #receiveLearnerAck(learner: Member, ackedIndex: number, now: number): ChainCommand[] {
    if (ackedIndex > this.#learnerAckedIndex) {
      this.#learnerAckedIndex = ackedIndex;
      this.#learnerAckedAt = now;
    }
    const commands = this.#commitAsTail(now);
    if (this.#learnerIndex === undefined) return commands;
    this.#learnerIndex = Math.max(this.#learnerIndex, ackedIndex);
    return [...commands, ...this.#sendEntriesToLearner(learner)];
  }

  #receiveProbe(number: number): ChainCommand[] {
    const successor = this.#successor;
    if (this.position <= 0) return [];
    if (successor !== undefined) return [this.#send(successor, { kind: "probe", number })];
    return [this.#send(this.#view!.members[0]!, { kind: "probed", number })];
  }

  #receiveProbeReply(number: number): ChainCommand[] {
    const probe = this.#probes.get(number);
    if (probe === undefined) return [];
    this.#probes.delete(number);
    // The state that the read saw must be committed before its result is returned.
    if (probe.place > this.#commitIndex) {
      this.#waiters.push({ ticket: probe.ticket, place: probe.place, value: probe.value });
      this.#waiters.sort(byLogIndex);
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

  get #firstRetainedIndex(): number {
    return this.#entries[0]?.place ?? this.#lastIndex + 1;
  }

  #receiveEntriesRequest(requestedIndex: number, from: string, now: number): ChainCommand[] {
    const view = this.#view!;
    const learner = this.#isTail && view.joiner?.address === from ? view.joiner : undefined;
    // The learner may have acknowledged a higher index since it sent this request.
    const afterIndex =
      learner === undefined ? requestedIndex : Math.max(requestedIndex, this.#learnerAckedIndex);
    const requester = learner ?? (this.#successor?.address === from ? this.#successor : undefined);
    if (requester === undefined) return [];
    if (
      afterIndex > 0 &&
      afterIndex + 1 >= this.#firstRetainedIndex &&
      afterIndex <= this.#lastIndex
    ) {
      return learner === undefined
        ? this.#resendEntries(requester, afterIndex, now)
        : this.#catchUpLearner(learner, afterIndex, now);
    }
    if (this.#durableIndex < this.#lastIndex) {
      this.#snapshotPendingFor = requester;
      return [];
    }
    return this.#sendSnapshot(requester, now);
  }

  /**
   * Sends a learner the entries that it misses, and then the durable index of this tail. The learner counts its copy as complete as
   * soon as it has reached that index, so from then on this tail commits only what is durable on the learner: the learner then holds
   * everything that this view commits, whatever the next view is (docs/design.md §1.6). A learner that is far behind gets only
   * entries at first, so that it does not slow the chain down.
   */
  #catchUpLearner(learner: Member, afterIndex: number, now: number): ChainCommand[] {
    this.#learnerIndex = afterIndex;
    // Entries that the learner holds but has not acknowledged are sent again, which makes it acknowledge them.
    this.#learnerSentIndex = Math.min(
      afterIndex,
      Math.max(this.#learnerAckedIndex, this.#firstRetainedIndex - 1),
    );
    const sent = this.#sendEntriesToLearner(learner);
    this.#learnerRequests += 1;
    const shouldGateCommit =
      this.#learnerSentIndex >= this.#durableIndex ||
      this.#learnerRequests > constants.learnerRequestsBeforeThrottling;
    if (!shouldGateCommit && !this.#learnerGatesCommit) return sent;
    if (!this.#learnerGatesCommit) this.#learnerAckedAt = now;
    this.#learnerGatesCommit = true;
    return [
      ...sent,
      this.#send(learner, {
        kind: "taken",
        place: this.#durableIndex,
        confirmed: this.#commitIndex,
      }),
    ];
  }

  /** Starts to send a snapshot in pieces; called only when all of it is durable here, so a copy is never ahead of its source. */
  #sendSnapshot(to: Member, now: number): ChainCommand[] {
    this.#snapshotPendingFor = undefined;
    this.#snapshotSeries += 1;
    if (isSameMember(this.#view!.joiner, to)) {
      this.#learnerIndex = this.#lastIndex;
      this.#learnerSentIndex = this.#lastIndex;
      // An empty ledger has no records to copy, so the learner's copy counts as complete immediately.
      if (this.#lastIndex === 0 && !this.#learnerGatesCommit) {
        this.#learnerGatesCommit = true;
        this.#learnerAckedAt = now;
      }
    }
    const parts = splitIntoPieces(this.ledger.snapshot());
    const pieces: MessageBody[] = [];
    for (const [part, records] of parts.entries()) {
      pieces.push({
        kind: "digest",
        series: this.#snapshotSeries,
        part,
        last: part === parts.length - 1,
        place: this.#lastIndex,
        time: this.#ledgerTime,
        records,
      });
    }
    this.#outgoingSnapshot = {
      to,
      pieces,
      sent: 0,
      acknowledged: new Set(),
      at: now,
      sendsNoAcks: false,
    };
    return this.#sendPieces();
  }

  #sendPieces(): ChainCommand[] {
    const commands: ChainCommand[] = [];
    const outgoing = this.#outgoingSnapshot;
    if (outgoing === undefined) return commands;
    const { to, pieces } = outgoing;
    const upTo = Math.min(
      pieces.length,
      outgoing.sendsNoAcks
        ? outgoing.sent + constants.maxSnapshotPiecesPerTick
        : outgoing.acknowledged.size + constants.maxSnapshotPiecesInFlight,
    );
    for (; outgoing.sent < upTo; outgoing.sent += 1)
      commands.push(this.#send(to, pieces[outgoing.sent]!));
    if (outgoing.sendsNoAcks && outgoing.sent === pieces.length) this.#outgoingSnapshot = undefined;
    return commands;
  }

  /**
   * Sends further pieces as earlier ones are acknowledged. If more were sent than the link carries, pieces would be dropped and the
   * snapshot would be restarted again and again (docs/design.md §1.8).
   */
  #receivePieceAck(series: number, part: number, from: string, now: number): ChainCommand[] {
    const outgoing = this.#outgoingSnapshot;
    if (
      outgoing === undefined ||
      series !== this.#snapshotSeries ||
      outgoing.to.address !== from ||
      outgoing.acknowledged.has(part)
    )
      return [];
    outgoing.acknowledged.add(part);
    outgoing.at = now;
    outgoing.sendsNoAcks = false;
    if (outgoing.acknowledged.size === outgoing.pieces.length) this.#outgoingSnapshot = undefined;
    return this.#sendPieces();
  }

  /**
   * Resends pieces that were not acknowledged in time. A receiver that acknowledges none runs an earlier release, and is sent a
   * fixed number with each tick.
   */
  #resendPieces(now: number): ChainCommand[] {
    const outgoing = this.#outgoingSnapshot;
    if (outgoing === undefined || outgoing.sendsNoAcks) return this.#sendPieces();
    if (now - outgoing.at < constants.resendDelayMs * (outgoing.acknowledged.size === 0 ? 6 : 2))
      return [];
    outgoing.at = now;
    const commands: ChainCommand[] = [];
    if (outgoing.acknowledged.size === 0) {
      outgoing.sendsNoAcks = true;
      outgoing.sent = 0;
      return this.#sendPieces();
    }
    for (let part = 0; part < outgoing.sent; part += 1)
      if (!outgoing.acknowledged.has(part))
        commands.push(this.#send(outgoing.to, outgoing.pieces[part]!));
    return commands;
  }

  #receiveSnapshot(
    message: Extract<ChainMessage, { kind: "digest" }>,
    from: string,
    now: number,
  ): ChainCommand[] {
    if (this.#source?.address !== from || this.position === 0) return [];
    if (this.#incomingSnapshot === undefined || this.#incomingSnapshot.series !== message.series) {
      this.#incomingSnapshot = {
        series: message.series,
        pieces: new Map(),
        last: undefined,
        at: now,
      };
    }
    const incoming = this.#incomingSnapshot;
    incoming.at = now;
    const ack: ChainCommand = this.#send(this.#source, {
      kind: "digest-got",
      series: message.series,
      part: message.part,
    });
    incoming.pieces.set(message.part, message.records);
    if (message.last) incoming.last = message.part;
    this.#lastProgressAt = now;
    if (incoming.last === undefined || incoming.pieces.size !== incoming.last + 1) return [ack];
    this.#incomingSnapshot = undefined;
    if (message.place < this.#lastIndex) return [ack];
    if (message.place === 0 && this.#copiedEpoch === message.mark) {
      this.#updateCopyStatus(now);
      return [ack];
    }
    const records: Change[] = [];
    for (let part = 0; part <= incoming.last; part += 1)
      records.push(...incoming.pieces.get(part)!);
    this.ledger.clear();
    this.ledger.applyChanges(records);
    this.machine.rebuild(this.ledger);
    this.#entries = [];
    this.#changesByIndex.clear();
    this.#lastIndex = message.place;
    this.#ledgerTime = message.time;
    this.#ledgerTimeSetAt = now;
    const isLearner = isSameMember(this.#view!.joiner, this.#self);
    if (isLearner) this.#commitIndex = message.place;
    if (isLearner && message.place === 0) this.#sourceIndex = 0;
    this.#needsFullPublish = true;
    return [ack, this.#write(true, records, [], [], now)];
  }

  tick(now: number): ChainCommand[] {
    if (this.#view === undefined || !this.#isViewDurable) return [];
    const commands: ChainCommand[] = this.#resendPieces(now);
    const isOverdue = now - this.#lastProgressAt > constants.resendDelayMs;
    const source = this.#source;
    const isLearner = isSameMember(this.#view.joiner, this.#self);
    // The sender of the snapshot stopped sending, for example because it restarted: request a new snapshot.
    if (
      this.#incomingSnapshot !== undefined &&
      now - this.#incomingSnapshot.at > constants.resendDelayMs * 8
    ) {
      this.#incomingSnapshot = undefined;
      commands.push(this.#send(source!, { kind: "want", place: this.#lastIndex }));
    }
    if (isLearner && this.#copiedEpoch > 0 && now - this.#caughtUpAt > constants.resendDelayMs * 4)
      this.#copiedEpoch = 0;
    if (
      isLearner &&
      this.#incomingSnapshot === undefined &&
      this.#writes.size === 0 &&
      now - this.#lastProgressAt > constants.resendDelayMs
    ) {
      this.#lastProgressAt = now;
      if (this.#durableIndex > 0)
        commands.push(
          this.#send(source!, {
            kind: "taken",
            place: this.#durableIndex,
            confirmed: this.#commitIndex,
          }),
        );
      commands.push(this.#send(source!, { kind: "want", place: this.#lastIndex }));
      return commands;
    }
    if (isOverdue && this.position >= 0) {
      this.#lastProgressAt = now;
      const successor = this.#successor;
      if (successor !== undefined && this.#durableIndex > this.#ackedIndex)
        commands.push(...this.#resendEntries(successor, this.#ackedIndex, now));
      for (const probe of this.#probes.values()) {
        if (now - probe.sentAt < constants.resendDelayMs) continue;
        probe.sentAt = now;
        commands.push(this.#send(successor!, { kind: "probe", number: probe.number }));
      }
    }
    if (this.position > 0 && now - this.#lastReportAt > constants.resendDelayMs * 2) {
      this.#lastReportAt = now;
      if (this.#isTail && this.#durableIndex > this.#commitIndex)
        commands.push(...this.#propagate(now));
      else
        commands.push(
          this.#send(source!, {
            kind: "taken",
            place: this.#durableIndex,
            confirmed: this.#commitIndex,
          }),
        );
    }
    return commands;
  }

  /** The complete state in the form that is persisted; used by tests and for snapshots of the control state. */
  persistedState(): PersistedChain | undefined {
    if (this.#view === undefined) return undefined;
    return {
      state: {
        place: this.#lastIndex,
        time: this.#ledgerTime,
        confirmed: this.#commitIndex,
        view: this.#view,
      },
      records: this.ledger.snapshot(),
      entries: [...this.#entries],
    };
  }
}

/** A snapshot that is being sent. */
interface OutgoingSnapshot {
  readonly to: Member;
  readonly pieces: readonly MessageBody[];
  sent: number;
  readonly acknowledged: Set<number>;
  /** Time of the last acknowledgement or resend. */
  at: number;
  /** Whether the receiver acknowledges no pieces. */
  sendsNoAcks: boolean;
}

/** Any chain message without the fields that `#send` fills in. */
type MessageBody = ChainMessage extends infer Each
  ? Each extends unknown
    ? Omit<Each, "chain" | "mark">
    : never
  : never;

function positionOf(view: ChainView, member: Member): number {
  for (const [index, each] of view.members.entries())
    if (each.identity === member.identity) return index;
  return -1;
}

function isSameMember(left: Member | undefined, right: Member | undefined): boolean {
  return left !== undefined && right !== undefined && left.identity === right.identity;
}

/** Splits a snapshot into pieces limited in records and in bytes; an empty snapshot is one empty piece (docs/design.md §1.7). */
function splitIntoPieces(records: readonly Change[]): Change[][] {
  const pieces: Change[][] = [[]];
  let bytes = 0;
  for (const record of records) {
    const recordBytes = estimateBytes(record);
    const piece = pieces.at(-1)!;
    if (
      piece.length === constants.snapshotPieceRecords ||
      (piece.length > 0 && bytes + recordBytes > constants.targetMessageBytes)
    ) {
      pieces.push([record]);
      bytes = recordBytes;
    } else {
      piece.push(record);
      bytes += recordBytes;
    }
  }
  return pieces;
}

/** Estimates the encoded size of a value in bytes; a field name counts by its length. */
function estimateBytes(value: unknown): number {
  if (typeof value === "string") return value.length;
  if (value instanceof Uint8Array) return value.byteLength;
  if (typeof value !== "object" || value === null) return 8;
  let bytes = 8;
  if (Array.isArray(value)) for (const each of value) bytes += estimateBytes(each);
  else for (const [name, each] of Object.entries(value)) bytes += name.length + estimateBytes(each);
  return bytes;
}

/** Whether the view counts on this replica's copy: as a member's, or as one of those that hold all committed entries. */
function countsOnCopy(view: ChainView, self: Member): boolean {
  return positionOf(view, self) >= 0 || holdersOf(view).some(hasSameIdentity, self);
}

/**
 * Whether a learner's copy is a prefix of the log of the next view. Entries held by a view that is too small to commit may be dropped
 * by the next view (docs/design.md §1.5).
 */
function continuesLearnerCopy(previous: ChainView, view: ChainView, self: Member): boolean {
  if (!isSameMember(previous.joiner, self) || !isSameMember(view.joiner, self)) return false;
  return (
    previous.holders === undefined ||
    (view.mark === previous.mark + 1 &&
      view.members.some(hasSameIdentity, previous.members.at(-1)!))
  );
}

/** Members that each hold all committed entries (docs/design.md §1.5). */
export function holdersOf(view: ChainView): readonly Member[] {
  return view.holders ?? view.members;
}

/** Set of the identities that are reachable. */
export interface IdentitySet {
  has(identity: string): boolean;
}

/**
 * The reachable replicas of a view that can form the next one, in chain order. Members that copied from the holders count only while
 * exactly the holders that are members are reachable (docs/design.md §1.5).
 */
export function reachableReplicas(view: ChainView, reachable: IdentitySet): Member[] {
  const present: Member[] = [];
  const copied: Member[] = [];
  let sameHolders = true;
  for (const member of holdersOf(view)) {
    if (reachable.has(member.identity)) present.push(member);
    if (reachable.has(member.identity) !== view.members.some(hasSameIdentity, member))
      sameHolders = false;
  }
  for (const member of view.members)
    if (reachable.has(member.identity) && !holdersOf(view).some(hasSameIdentity, member))
      copied.push(member);
  return sameHolders ? [...present, ...copied] : present;
}

function hasSameIdentity(this: Member, member: Member): boolean {
  return member.identity === this.identity;
}

function isAfter(this: { place: number }, entry: LogEntry): boolean {
  return entry.place > this.place;
}

function byLogIndex(left: Waiter, right: Waiter): number {
  return left.place - right.place;
}
