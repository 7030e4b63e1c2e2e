import { constants } from "./constants.js";
import { holdersOf, presentOf, type ChainView, type Member } from "./chain.js";

/** The small agreed view that mends the control chain (docs/design.md §2). */
export interface Ballot {
  readonly round: number;
  readonly identity: string;
}

/** Kept synced before any word about it leaves this machine. */
export interface VoteState {
  readonly view: ChainView | undefined;
  readonly founding: readonly Member[] | undefined;
  readonly promised: Ballot | undefined;
  readonly accepted: { readonly ballot: Ballot; readonly view: ChainView } | undefined;
}

export type ViewMessage =
  | {
      readonly kind: "greet";
      readonly member: Member;
      readonly view: ChainView | undefined;
      readonly founding: readonly Member[] | undefined;
      readonly copiedMark: number;
      readonly leaving?: boolean;
      readonly hears?: readonly string[];
    }
  | { readonly kind: "prepare"; readonly mark: number; readonly ballot: Ballot }
  | {
      readonly kind: "promise";
      readonly mark: number;
      readonly ballot: Ballot;
      readonly member: string;
      readonly accepted: VoteState["accepted"];
    }
  | {
      readonly kind: "accept";
      readonly mark: number;
      readonly ballot: Ballot;
      readonly view: ChainView;
    }
  | {
      readonly kind: "accepted";
      readonly mark: number;
      readonly ballot: Ballot;
      readonly member: string;
    }
  | { readonly kind: "overtaken"; readonly mark: number; readonly ballot: Ballot };

export type ViewCommand =
  | { readonly kind: "send"; readonly to: string; readonly message: ViewMessage }
  | { readonly kind: "vote"; readonly ticket: number; readonly state: VoteState }
  | { readonly kind: "decided"; readonly view: ChainView };

interface Neighbour {
  readonly member: Member;
  readonly heardAt: number;
  readonly view: ChainView | undefined;
  readonly founding: readonly Member[] | undefined;
  readonly copiedMark: number;
  /** About to stop as planned: the view goes on without it at once (§8.6). */
  readonly leaving: boolean;
  /** Whom it hears itself; an earlier release, or one that woke up just now, does not say. */
  readonly hears: readonly string[] | undefined;
}

interface Try {
  readonly mark: number;
  readonly ballot: Ballot;
  readonly wished: ChainView;
  /** Whether the wished view goes on without one that stops as planned. */
  readonly isHandover: boolean;
  readonly promises: Map<string, VoteState["accepted"]>;
  readonly accepts: Set<string>;
  value: ChainView | undefined;
}

export class Agreement {
  #self: Member;
  #seeds: readonly string[];
  #state: VoteState;
  #neighbours = new Map<string, Neighbour>();
  /** Since when another identity stands at the address of this one. */
  #retired = new Map<string, number>();
  #try: Try | undefined;
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
    return this.#alive(voters, this.#beatAt).length - 1 < majority(view);
  }

  #isLeaving(identity: string): boolean {
    return identity === this.#self.identity
      ? this.#leaving
      : this.#neighbours.get(identity)?.leaving === true;
  }

  /** Since when every member of the view before had told that it works in that view; undefined if one never did (§7.2). */
  get settledBefore(): number | undefined {
    return this.#settledBefore;
  }

  #settle(now: number): void {
    const view = this.#state.view;
    if (view === undefined || this.#settledSince !== undefined) return;
    for (const { identity } of view.members)
      if (
        identity !== this.#self.identity &&
        this.#neighbours.get(identity)?.view?.mark !== view.mark
      )
        return;
    this.#settledSince = now;
  }

  /** One that does not hear a machine counts as silent to it, or a way cut in one direction would hold the chain up for ever (§2.3). */
  heardWithin(identity: string, within: number, now: number): boolean {
    const neighbour = this.#neighbours.get(identity);
    return (
      identity === this.#self.identity ||
      (neighbour !== undefined &&
        now - neighbour.heardAt <= within &&
        (neighbour.hears === undefined || neighbour.hears.includes(this.#self.identity)))
    );
  }

  /** Whether enough of those who agree are heard: else this machine is the one that is away. */
  isNear(now: number): boolean {
    const view = this.#state.view;
    return view !== undefined && this.#alive(votersOf(view), now).length >= majority(view);
  }

  /** Control machines to talk to: the view, its joiner, the seeds and whoever greets. */
  addresses(): string[] {
    const found = new Set<string>(this.#seeds);
    for (const member of this.#state.view?.members ?? []) found.add(member.address);
    for (const holder of this.#state.view?.holders ?? []) found.add(holder.address);
    for (const voter of this.#state.view?.voters ?? []) found.add(voter.address);
    if (this.#state.view?.joiner !== undefined) found.add(this.#state.view.joiner.address);
    for (const neighbour of this.#neighbours.values()) found.add(neighbour.member.address);
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
      for (const [identity, neighbour] of this.#neighbours) {
        if (now - neighbour.heardAt > constants.memberSilence * 8)
          this.#neighbours.delete(identity);
      }
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
      const neighbour = seed === this.#self.address ? undefined : this.#at(seed, now);
      if (seed !== this.#self.address && (neighbour === undefined || neighbour.view !== undefined))
        return [];
      members.push(neighbour?.member ?? this.#self);
    }
    for (const seed of this.#seeds) {
      const founding =
        seed === this.#self.address ? this.#state.founding : this.#at(seed, now)!.founding;
      if (founding === undefined || !sameMembers(founding, members)) same = false;
    }
    if (same) return this.#decide({ mark: 1, members });
    if (
      this.#waiting.size > 0 ||
      (this.#state.founding !== undefined && sameMembers(this.#state.founding, members))
    )
      return [];
    return this.#keep({ ...this.#state, founding: members }, []);
  }

  #at(address: string, now: number): Neighbour | undefined {
    for (const neighbour of this.#neighbours.values()) {
      if (
        neighbour.member.address === address &&
        now - neighbour.heardAt <= constants.memberSilence &&
        !this.#retired.has(neighbour.member.identity)
      )
        return neighbour;
    }
    return undefined;
  }

  /** What the next view should be, judged from silence, from blanks that greet and from copies done. */
  #wish(now: number): ChainView | undefined {
    const view = this.#state.view!;
    /** Where the members are too few to confirm, those that confirmed last go on as soon as they are back (§1.5). */
    const there = new Set<string>();
    for (const { identity } of this.#alive([...holdersOf(view), ...view.members], now))
      there.add(identity);
    const alive = presentOf(view, there);
    if (alive.length === 0 || !this.isNear(now)) return undefined;
    const joiner =
      view.joiner !== undefined &&
      view.joiner.identity !== this.#stuckJoiner &&
      this.heardWithin(view.joiner.identity, constants.memberSilence, now)
        ? view.joiner
        : undefined;
    if (!sameMembers(alive, view.members)) {
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
      return this.#neighbours.get(joiner.identity)?.copiedMark === view.mark
        ? this.#next(view, [...view.members, joiner], undefined, now)
        : undefined;
    }
    if (view.members.length >= this.#wanted) return undefined;
    const candidate = this.#candidate(view, now);
    return candidate === undefined ? undefined : this.#next(view, view.members, candidate, now);
  }

  #alive(members: readonly Member[], now: number): Member[] {
    const found: Member[] = [];
    for (const member of members)
      if (this.heardWithin(member.identity, constants.memberSilence, now)) found.push(member);
    return found;
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
      ...this.#alive(before, now),
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

  /** One that some member does not hear would be voted out again as soon as it is in. */
  #isHeardByAll(identity: string, view: ChainView, now: number): boolean {
    for (const member of this.#alive(view.members, now))
      if (this.#neighbours.get(member.identity)?.hears?.includes(identity) === false) return false;
    return true;
  }

  #candidate(view: ChainView, now: number): Member | undefined {
    const candidates: Member[] = [];
    for (const neighbour of this.#neighbours.values()) {
      const identity = neighbour.member.identity;
      if (!this.#isHeardByAll(identity, view, now)) continue;
      if (
        now - neighbour.heardAt < constants.greetEvery * 3 &&
        !neighbour.leaving &&
        !this.#retired.has(identity) &&
        !view.members.some(hasIdentity, { identity }) &&
        !holdersOf(view).some(hasIdentity, { identity })
      )
        candidates.push(neighbour.member);
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
    this.#try = {
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
      if (!this.#isLeaving(identity) && this.heardWithin(identity, constants.memberSilence, now))
        rank += 1;
    return rank;
  }

  /** Whether a wished view leaves out a member that is there and stops as planned. */
  #isHandover(view: ChainView, wished: ChainView, now: number): boolean {
    for (const { identity } of this.#alive(view.members, now))
      if (this.#isLeaving(identity) && !wished.members.some(hasIdentity, { identity })) return true;
    return false;
  }

  /**
   * Whether those who stay can go on by themselves: a promise just given shows that its giver is there and is reached both ways, where
   * a greeting may be as old as silence takes (§8.6).
   */
  #canGoOn({ wished, promises }: Try): boolean {
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
        !this.heardWithin(identity, constants.memberSilence, now) &&
        this.#at(address, now) === undefined
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
      ...(this.#beatAt - this.#startedAt < constants.memberSilence ? {} : { hears: this.#hears() }),
    };
  }

  #hears(): string[] {
    const found: string[] = [];
    for (const [identity, { heardAt }] of this.#neighbours)
      if (this.#beatAt - heardAt <= constants.memberSilence) found.push(identity);
    return found;
  }

  #reply(to: string, message: ViewMessage, now: number): ViewCommand[] {
    if (to !== this.#self.address) return [{ kind: "send", to, message }];
    return message.kind === "greet" ? [] : this.receive(message, to, now);
  }

  #greeted(message: Extract<ViewMessage, { kind: "greet" }>, now: number): ViewCommand[] {
    const identity = message.member.identity;
    if (identity === this.#self.identity) return [];
    /** Of two at one address the one that goes on greeting lives; a greeting of the other may have lain here unread. */
    if (now - (this.#retired.get(identity) ?? Number.NEGATIVE_INFINITY) <= constants.memberSilence)
      return [];
    this.#retired.delete(identity);
    for (const [other, neighbour] of this.#neighbours) {
      if (other !== identity && neighbour.member.address === message.member.address) {
        this.#retired.set(other, now);
        this.#neighbours.delete(other);
      }
    }
    this.#neighbours.set(identity, {
      member: message.member,
      heardAt: now,
      view: message.view,
      founding: message.founding,
      copiedMark: message.copiedMark,
      leaving: message.leaving === true,
      hears: message.hears,
    });
    this.#settle(now);
    if (message.view !== undefined && message.view.mark > (this.#state.view?.mark ?? 0))
      return this.#decide(message.view);
    return [];
  }

  #decide(view: ChainView): ViewCommand[] {
    if (this.#state.view !== undefined && this.#state.view.mark >= view.mark) return [];
    this.#try = undefined;
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
    if (promised !== undefined && higher(promised, message.ballot))
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
    const held = this.#try;
    if (
      held === undefined ||
      held.value !== undefined ||
      held.mark !== message.mark ||
      !sameBallot(held.ballot, message.ballot)
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
    if (promised !== undefined && higher(promised, message.ballot))
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
    const held = this.#try;
    if (
      held === undefined ||
      held.value === undefined ||
      held.mark !== message.mark ||
      !sameBallot(held.ballot, message.ballot)
    )
      return [];
    if (!votersOf(this.#state.view!).some(hasIdentity, { identity: message.member })) return [];
    held.accepts.add(message.member);
    if (held.accepts.size < majority(this.#state.view!)) return [];
    return this.#decide(held.value);
  }
}

/** Who agrees on the view that follows this one. */
export function votersOf(view: ChainView): readonly Member[] {
  return view.voters ?? view.members;
}

/** How many of the voters of a view make a majority. */
export function majority(view: ChainView): number {
  return Math.floor(votersOf(view).length / 2) + 1;
}

function higher(left: Ballot, right: Ballot): boolean {
  return left.round > right.round || (left.round === right.round && left.identity > right.identity);
}

/** What was accepted under the highest ballot, of what promises told; a view that is decided already is among it. */
function highestAccepted(told: Iterable<VoteState["accepted"] | null>): VoteState["accepted"] {
  let best: VoteState["accepted"];
  for (const accepted of told)
    if (accepted && (best === undefined || higher(accepted.ballot, best.ballot))) best = accepted;
  return best;
}

function sameBallot(left: Ballot, right: Ballot): boolean {
  return left.round === right.round && left.identity === right.identity;
}

function sameMembers(left: readonly Member[], right: readonly Member[]): boolean {
  if (left.length !== right.length) return false;
  for (const [index, member] of left.entries())
    if (member.identity !== right[index]!.identity) return false;
  return true;
}

function hasIdentity(this: { identity: string }, member: Member): boolean {
  return member.identity === this.identity;
}

function byIdentity(left: Member, right: Member): number {
  return left.identity < right.identity ? -1 : 1;
}
