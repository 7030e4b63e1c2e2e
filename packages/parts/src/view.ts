import { constants } from "./constants.js";
import { holdersOf, presentOf, type ChainView, type Member } from "./chain.js";
import { ControlPeers } from "./control-peers.js";
import type { Ballot, Greeting, ViewCommand, ViewMessage, VoteState } from "./view-messages.js";
import {
  byIdentity,
  hasIdentity,
  haveSameMembers,
  highestAccepted,
  isHigherBallot,
  isSameBallot,
  majority,
  votersOf,
} from "./view-voters.js";

/** A view that this machine proposes. */
interface Proposal {
  readonly mark: number;
  readonly ballot: Ballot;
  readonly wished: ChainView;
  /** Whether the wished view goes on without one that stops as planned. */
  readonly isHandover: boolean;
  readonly promises: Map<string, VoteState["accepted"]>;
  readonly accepts: Set<string>;
  value: ChainView | undefined;
}

/** The small agreed view that mends the control chain (docs/design.md §2). */
export class Agreement {
  #self: Member;
  #seeds: readonly string[];
  #state: VoteState;
  #peers: ControlPeers;
  #proposal: Proposal | undefined;
  #round = 0;
  #greetAt = Number.NEGATIVE_INFINITY;
  #startedAt: number;
  #wishSince: number | undefined;
  #ticket = 0;
  #waiting = new Map<number, ViewCommand[]>();
  #copiedMark = 0;
  /** Identity of a joiner that holds the chain up, as its tail here found. */
  #stuckJoiner: string | undefined;
  #leaving = false;
  #beatAt: number;
  #settledSince: number | undefined;
  #settledBefore: number | undefined;

  /** Whether a first view may be founded here: never by a machine that came later with an empty folder (§2.2). */
  #mayFound: boolean;
  /** machines. What the group is mended to. */
  #wanted: number;

  /** Copies on which the group confirms anything. */
  #least: number;

  constructor(
    self: Member,
    seeds: readonly string[],
    now: number,
    state?: VoteState,
    founding = true,
    wanted: number = constants.copiesWanted,
    least: number = constants.copiesLeast,
  ) {
    this.#least = least;
    this.#mayFound = founding || state?.founding !== undefined;
    this.#wanted = wanted;
    this.#self = self;
    this.#peers = new ControlPeers(self);
    this.#seeds = [...seeds].sort();
    this.#startedAt = now;
    this.#beatAt = now;
    this.#state = state ?? {
      view: undefined,
      founding: undefined,
      promised: undefined,
      accepted: undefined,
    };
    this.#round = this.#state.promised?.round ?? 0;
  }

  get view(): ChainView | undefined {
    return this.#state.view;
  }

  leave(): ViewCommand[] {
    this.#leaving = true;
    return this.#greetings();
  }

  /** This machine asks to be taken in again after it had left. */
  stay(): ViewCommand[] {
    this.#leaving = false;
    return this.#greetings();
  }

  /**
   * Whether one that stops as planned must still wait though it is no member: it holds all that was confirmed while too few do, or
   * the voters that are there are no majority without it (§8.6).
   */
  get isNeeded(): boolean {
    const view = this.#state.view;
    const { identity } = this.#self;
    if (view === undefined) return false;
    if (holdersOf(view).some(hasIdentity, { identity })) return true;
    const voters = votersOf(view);
    if (!voters.some(hasIdentity, { identity })) return false;
    return this.#peers.alive(voters, this.#beatAt).length - 1 < majority(view);
  }

  #isLeaving(identity: string): boolean {
    return identity === this.#self.identity
      ? this.#leaving
      : this.#peers.get(identity)?.leaving === true;
  }

  /** Since when every member of the view before had told that it works in that view; undefined if one never did (§7.2). */
  get settledBefore(): number | undefined {
    return this.#settledBefore;
  }

  #settle(now: number): void {
    const view = this.#state.view;
    if (view === undefined || this.#settledSince !== undefined) return;
    for (const { identity } of view.members)
      if (identity !== this.#self.identity && this.#peers.get(identity)?.view?.mark !== view.mark)
        return;
    this.#settledSince = now;
  }

  /** Whether a machine was heard lately, and hears this one (§2.3). */
  heardWithin(identity: string, within: number, now: number): boolean {
    return this.#peers.heardWithin(identity, within, now);
  }

  /** Whether enough of those who agree are heard: else this machine is the one that is away. */
  isNear(now: number): boolean {
    const view = this.#state.view;
    return view !== undefined && this.#peers.alive(votersOf(view), now).length >= majority(view);
  }

  /** Control machines to talk to: the view, its joiner, the seeds and whoever greets. */
  addresses(): string[] {
    const found = new Set<string>(this.#seeds);
    for (const member of this.#state.view?.members ?? []) found.add(member.address);
    for (const holder of this.#state.view?.holders ?? []) found.add(holder.address);
    for (const voter of this.#state.view?.voters ?? []) found.add(voter.address);
    if (this.#state.view?.joiner !== undefined) found.add(this.#state.view.joiner.address);
    for (const { member } of this.#peers.all()) found.add(member.address);
    found.delete(this.#self.address);
    return [...found];
  }

  written(ticket: number): ViewCommand[] {
    const commands = this.#waiting.get(ticket) ?? [];
    this.#waiting.delete(ticket);
    return commands;
  }

  #keep(state: VoteState, after: ViewCommand[]): ViewCommand[] {
    this.#state = state;
    this.#ticket += 1;
    this.#waiting.set(this.#ticket, after);
    return [{ kind: "vote", ticket: this.#ticket, state }];
  }

  beat(now: number, copiedMark: number, stuckJoiner?: string): ViewCommand[] {
    this.#stuckJoiner = stuckJoiner;
    /** A copy that is done is told at once. */
    if (copiedMark > this.#copiedMark) this.#greetAt = Number.NEGATIVE_INFINITY;
    this.#copiedMark = copiedMark;
    /** What was not heard in sleep is no silence of others. */
    if (now - this.#beatAt > constants.sleptLeast) this.#startedAt = now;
    this.#beatAt = now;
    this.#settle(now);
    const commands: ViewCommand[] = [];
    if (now - this.#greetAt >= constants.greetEvery) {
      this.#greetAt = now;
      commands.push(...this.#greetings());
      this.#peers.forget(now);
    }
    if (this.#state.view === undefined) commands.push(...this.#found(now));
    else commands.push(...this.#mend(now));
    return commands;
  }

  #greetings(): ViewCommand[] {
    const commands: ViewCommand[] = [];
    const message = this.#greeting();
    for (const to of this.addresses()) commands.push({ kind: "send", to, message });
    return commands;
  }

  /** The first view: only when all seeds are blank, and all three hold the same founding synced (§2.2). */
  #found(now: number): ViewCommand[] {
    if (
      !this.#mayFound ||
      !this.#seeds.includes(this.#self.address) ||
      this.#seeds.length < this.#least
    )
      return [];
    const members: Member[] = [];
    let same = true;
    for (const seed of this.#seeds) {
      const neighbour = seed === this.#self.address ? undefined : this.#peers.at(seed, now);
      if (seed !== this.#self.address && (neighbour === undefined || neighbour.view !== undefined))
        return [];
      members.push(neighbour?.member ?? this.#self);
    }
    for (const seed of this.#seeds) {
      const founding =
        seed === this.#self.address ? this.#state.founding : this.#peers.at(seed, now)!.founding;
      if (founding === undefined || !haveSameMembers(founding, members)) same = false;
    }
    if (same) return this.#decide({ mark: 1, members });
    if (
      this.#waiting.size > 0 ||
      (this.#state.founding !== undefined && haveSameMembers(this.#state.founding, members))
    )
      return [];
    return this.#keep({ ...this.#state, founding: members }, []);
  }

  /** What the next view should be, judged from silence, from blanks that greet and from copies done. */
  #wish(now: number): ChainView | undefined {
    const view = this.#state.view!;
    /** Where the members are too few to confirm, those that confirmed last go on as soon as they are back (§1.5). */
    const there = new Set<string>();
    for (const { identity } of this.#peers.alive([...holdersOf(view), ...view.members], now))
      there.add(identity);
    const alive = presentOf(view, there);
    if (alive.length === 0 || !this.isNear(now)) return undefined;
    const joiner =
      view.joiner !== undefined &&
      view.joiner.identity !== this.#stuckJoiner &&
      this.#peers.heardWithin(view.joiner.identity, constants.memberSilence, now)
        ? view.joiner
        : undefined;
    if (!haveSameMembers(alive, view.members)) {
      /** One copy left confirms nothing: it goes on only where there is one to copy to. */
      const next = joiner ?? (alive.length < this.#least ? this.#candidate(view, now) : undefined);
      return alive.length >= this.#least || next !== undefined
        ? this.#next(view, alive, next, now)
        : undefined;
    }
    /** One that stops as planned leaves at once, as long as two stay. */
    const staying: Member[] = [];
    for (const member of alive) if (!this.#isLeaving(member.identity)) staying.push(member);
    if (staying.length < alive.length && staying.length >= this.#least)
      return this.#next(view, staying, joiner, now);
    if (view.joiner !== undefined) {
      if (joiner === undefined) return this.#next(view, view.members, undefined, now);
      return this.#peers.get(joiner.identity)?.copiedMark === view.mark
        ? this.#next(view, [...view.members, joiner], undefined, now)
        : undefined;
    }
    if (view.members.length >= this.#wanted) return undefined;
    const candidate = this.#candidate(view, now);
    return candidate === undefined ? undefined : this.#next(view, view.members, candidate, now);
  }

  /** A view of fewer than three keeps voters that are no members, those that live first, so the loss of one more can be agreed on (§2.3). */
  #next(
    view: ChainView,
    members: readonly Member[],
    joiner: Member | undefined,
    now: number,
  ): ChainView {
    const voters: Member[] = [...members];
    const holders = holdersOf(view);
    const before = votersOf(view);
    for (const other of [
      ...(joiner === undefined ? [] : [joiner]),
      ...this.#peers.alive(before, now),
      ...holders,
      ...before,
    ]) {
      if (voters.length < this.#wanted && !voters.some(hasIdentity, { identity: other.identity }))
        voters.push(other);
    }
    return {
      mark: view.mark + 1,
      members,
      ...(joiner === undefined ? {} : { joiner }),
      ...(voters.length > members.length ? { voters } : {}),
      ...(members.length < this.#least ? { holders } : {}),
    };
  }

  #candidate(view: ChainView, now: number): Member | undefined {
    const inView = [...view.members, ...holdersOf(view)];
    const candidates: Member[] = [];
    for (const { member } of this.#peers.joinable(now)) {
      if (!this.#peers.isHeardByAll(member.identity, view, now)) continue;
      if (!inView.some(hasIdentity, { identity: member.identity })) candidates.push(member);
    }
    candidates.sort(byIdentity);
    return candidates[0];
  }

  #mend(now: number): ViewCommand[] {
    const view = this.#state.view!;
    /** Members first, then who holds all that was confirmed beside them. */
    const proposers: Member[] = [...view.members];
    for (const holder of holdersOf(view))
      if (!proposers.some(hasIdentity, { identity: holder.identity })) proposers.push(holder);
    const position = proposers.findIndex(hasIdentity, { identity: this.#self.identity });
    if (position < 0 || (now - this.#startedAt < constants.memberSilence && !this.#knowsAll(now)))
      return [];
    const wished = this.#wish(now);
    if (wished === undefined) {
      this.#wishSince = undefined;
      return [];
    }
    const isHandover = this.#isHandover(view, wished, now);
    /** Those who stay must reach each other, so one of them proposes that they go on alone. */
    if (isHandover && this.#leaving) return [];
    this.#wishSince ??= now;
    if (now - this.#wishSince < this.#rank(proposers, position, now) * constants.agreeEvery)
      return [];
    this.#wishSince = now + constants.agreeEvery;
    this.#round += 1;
    const ballot: Ballot = { round: this.#round, identity: this.#self.identity };
    this.#proposal = {
      mark: wished.mark,
      ballot,
      wished,
      isHandover,
      promises: new Map(),
      accepts: new Set(),
      value: undefined,
    };
    return this.#toVoters({ kind: "prepare", mark: wished.mark, ballot }, now);
  }

  /** Proposers that are there and come before this one; those that leave come last. */
  #rank(proposers: readonly Member[], position: number, now: number): number {
    const before = this.#leaving ? proposers : proposers.slice(0, position);
    let rank = 0;
    for (const { identity } of before)
      if (
        !this.#isLeaving(identity) &&
        this.#peers.heardWithin(identity, constants.memberSilence, now)
      )
        rank += 1;
    return rank;
  }

  /** Whether a wished view leaves out a member that is there and stops as planned. */
  #isHandover(view: ChainView, wished: ChainView, now: number): boolean {
    for (const { identity } of this.#peers.alive(view.members, now))
      if (this.#isLeaving(identity) && !wished.members.some(hasIdentity, { identity })) return true;
    return false;
  }

  /**
   * Whether those who stay can go on by themselves: a promise just given shows that its giver is there and is reached both ways, where
   * a greeting may be as old as silence takes (§8.6).
   */
  #canGoOn({ wished, promises }: Proposal): boolean {
    let voters = 0;
    let copies = 0;
    for (const identity of promises.keys()) {
      if (this.#isLeaving(identity)) continue;
      if (votersOf(wished).some(hasIdentity, { identity })) voters += 1;
      if (wished.members.some(hasIdentity, { identity })) copies += 1;
    }
    return voters >= majority(wished) && copies >= this.#least;
  }

  /** Whether everybody in the view was heard, or another identity at the address, so that nothing is judged from silence. */
  #knowsAll(now: number): boolean {
    const view = this.#state.view!;
    for (const member of [
      ...holdersOf(view),
      ...(view.joiner === undefined ? [] : [view.joiner]),
    ]) {
      const { identity, address } = member;
      if (
        !this.#peers.heardWithin(identity, constants.memberSilence, now) &&
        this.#peers.at(address, now) === undefined
      )
        return false;
    }
    return true;
  }

  /** A message to every voter of the view, this one included, which takes it at once. */
  #toVoters(message: ViewMessage, now: number): ViewCommand[] {
    const commands: ViewCommand[] = [];
    for (const member of votersOf(this.#state.view!)) {
      if (member.identity !== this.#self.identity)
        commands.push({ kind: "send", to: member.address, message });
    }
    commands.push(...this.receive(message, this.#self.address, now));
    return commands;
  }

  receive(message: ViewMessage, from: string, now: number): ViewCommand[] {
    if (message.kind === "greet") return this.#greeted(message, now);
    const view = this.#state.view;
    if (view === undefined) return [];
    if (message.mark !== view.mark + 1)
      return message.mark <= view.mark ? this.#reply(from, this.#greeting(), now) : [];
    switch (message.kind) {
      case "prepare":
        return this.#prepare(message, from, now);
      case "promise":
        return this.#promise(message, now);
      case "accept":
        return this.#accept(message, from, now);
      case "accepted":
        return this.#acceptedBy(message);
      case "overtaken":
        this.#round = Math.max(this.#round, message.ballot.round);
        return [];
    }
  }

  #greeting(): ViewMessage {
    return {
      kind: "greet",
      member: this.#self,
      view: this.#state.view,
      founding: this.#state.founding,
      copiedMark: this.#copiedMark,
      leaving: this.#leaving,
      ...(this.#beatAt - this.#startedAt < constants.memberSilence
        ? {}
        : { hears: this.#peers.heardLately(this.#beatAt) }),
    };
  }

  #reply(to: string, message: ViewMessage, now: number): ViewCommand[] {
    if (to !== this.#self.address) return [{ kind: "send", to, message }];
    return message.kind === "greet" ? [] : this.receive(message, to, now);
  }

  #greeted(message: Greeting, now: number): ViewCommand[] {
    if (!this.#peers.greeted(message, now)) return [];
    this.#settle(now);
    if (message.view !== undefined && message.view.mark > (this.#state.view?.mark ?? 0))
      return this.#decide(message.view);
    return [];
  }

  #decide(view: ChainView): ViewCommand[] {
    if (this.#state.view !== undefined && this.#state.view.mark >= view.mark) return [];
    this.#proposal = undefined;
    this.#wishSince = undefined;
    this.#settledBefore = this.#settledSince;
    this.#settledSince = undefined;
    const decided: ViewCommand = { kind: "decided", view };
    return this.#keep({ view, founding: undefined, promised: undefined, accepted: undefined }, [
      decided,
      ...this.#greetings(),
    ]);
  }

  #prepare(
    message: Extract<ViewMessage, { kind: "prepare" }>,
    from: string,
    now: number,
  ): ViewCommand[] {
    const promised = this.#state.promised;
    if (promised !== undefined && isHigherBallot(promised, message.ballot))
      return this.#reply(from, { kind: "overtaken", mark: message.mark, ballot: promised }, now);
    const result: ViewMessage = {
      kind: "promise",
      mark: message.mark,
      ballot: message.ballot,
      member: this.#self.identity,
      accepted: this.#state.accepted,
    };
    return this.#keep({ ...this.#state, promised: message.ballot }, [
      { kind: "send", to: from, message: result },
    ]);
  }

  #promise(message: Extract<ViewMessage, { kind: "promise" }>, now: number): ViewCommand[] {
    const held = this.#proposal;
    if (
      held === undefined ||
      held.value !== undefined ||
      held.mark !== message.mark ||
      !isSameBallot(held.ballot, message.ballot)
    )
      return [];
    if (!votersOf(this.#state.view!).some(hasIdentity, { identity: message.member })) return [];
    held.promises.set(message.member, message.accepted);
    if (held.promises.size < majority(this.#state.view!)) return [];
    const best = highestAccepted(held.promises.values());
    if (best === undefined && held.isHandover && !this.#canGoOn(held)) return [];
    held.value = best?.view ?? held.wished;
    return this.#toVoters(
      { kind: "accept", mark: held.mark, ballot: held.ballot, view: held.value },
      now,
    );
  }

  #accept(
    message: Extract<ViewMessage, { kind: "accept" }>,
    from: string,
    now: number,
  ): ViewCommand[] {
    const promised = this.#state.promised;
    if (promised !== undefined && isHigherBallot(promised, message.ballot))
      return this.#reply(from, { kind: "overtaken", mark: message.mark, ballot: promised }, now);
    const result: ViewMessage = {
      kind: "accepted",
      mark: message.mark,
      ballot: message.ballot,
      member: this.#self.identity,
    };
    return this.#keep(
      {
        ...this.#state,
        promised: message.ballot,
        accepted: { ballot: message.ballot, view: message.view },
      },
      [{ kind: "send", to: from, message: result }],
    );
  }

  #acceptedBy(message: Extract<ViewMessage, { kind: "accepted" }>): ViewCommand[] {
    const held = this.#proposal;
    if (
      held === undefined ||
      held.value === undefined ||
      held.mark !== message.mark ||
      !isSameBallot(held.ballot, message.ballot)
    )
      return [];
    if (!votersOf(this.#state.view!).some(hasIdentity, { identity: message.member })) return [];
    held.accepts.add(message.member);
    if (held.accepts.size < majority(this.#state.view!)) return [];
    return this.#decide(held.value);
  }
}
