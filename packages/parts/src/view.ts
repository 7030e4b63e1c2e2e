/**
 * Agreement of the control machines on the view of the control chain: failure detection by heartbeats, and a Paxos-style vote on
 * each next view (docs/design.md §2).
 */
import { constants } from "./constants.js";
import { holdersOf, reachableReplicas, type ChainView, type Member } from "./chain.js";
import { ControlPeers } from "./control-peers.js";
import type {
  Ballot,
  ControlHeartbeat,
  ViewCommand,
  ViewMessage,
  VoteState,
} from "./view-messages.js";
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
  readonly desired: ChainView;
  /** Whether the proposed view leaves out a member because of a planned shutdown. */
  readonly isHandover: boolean;
  readonly promises: Map<string, VoteState["accepted"]>;
  readonly accepts: Set<string>;
  value: ChainView | undefined;
}

/** Agreement state of one control machine, both as proposer and as voter. */
export class Agreement {
  #self: Member;
  #seeds: readonly string[];
  #state: VoteState;
  #peers: ControlPeers;
  #proposal: Proposal | undefined;
  #highestRound = 0;
  #lastHeartbeatAt = Number.NEGATIVE_INFINITY;
  #listeningSince: number;
  /** Start of the delay, by proposer rank, after which this machine proposes the next view. */
  #proposalDelayStart: number | undefined;
  #lastTicket = 0;
  #heldCommands = new Map<number, ViewCommand[]>();
  #copiedEpoch = 0;
  /** Identity of a learner that slows the chain down, as found by the tail on this machine. */
  #slowLearner: string | undefined;
  #leaving = false;
  #lastTickAt: number;
  #settledAt: number | undefined;
  #previousSettledAt: number | undefined;

  /** Whether this machine may form the first view; a machine added later with an empty data folder must not (docs/design.md §2.2). */
  #mayFormFirstView: boolean;
  /** Number of members that the group is restored to. */
  #wantedMembers: number;

  /** Number of replicas on which an entry must be durable to be committed. */
  #minimumCopies: number;

  constructor(
    self: Member,
    seeds: readonly string[],
    now: number,
    state?: VoteState,
    founding = true,
    wanted: number = constants.copiesWanted,
    least: number = constants.copiesLeast,
  ) {
    this.#minimumCopies = least;
    this.#mayFormFirstView = founding || state?.founding !== undefined;
    this.#wantedMembers = wanted;
    this.#self = self;
    this.#peers = new ControlPeers(self);
    this.#seeds = [...seeds].sort();
    this.#listeningSince = now;
    this.#lastTickAt = now;
    this.#state = state ?? {
      view: undefined,
      founding: undefined,
      promised: undefined,
      accepted: undefined,
    };
    this.#highestRound = this.#state.promised?.round ?? 0;
  }

  get view(): ChainView | undefined {
    return this.#state.view;
  }

  /** Announces a planned shutdown of this machine. */
  announceShutdown(): ViewCommand[] {
    this.#leaving = true;
    return this.#heartbeats();
  }

  /** Cancels a planned shutdown, so that this machine can become a member again. */
  cancelShutdown(): ViewCommand[] {
    this.#leaving = false;
    return this.#heartbeats();
  }

  /**
   * Whether this machine must delay its planned shutdown although it is no longer a member: it holds all committed entries while too
   * few members do, or the reachable voters have no majority without it (docs/design.md §8.6).
   */
  get isNeeded(): boolean {
    const view = this.#state.view;
    const { identity } = this.#self;
    if (view === undefined) return false;
    if (holdersOf(view).some(hasIdentity, { identity })) return true;
    const voters = votersOf(view);
    if (!voters.some(hasIdentity, { identity })) return false;
    return this.#peers.membersInContact(voters, this.#lastTickAt).length - 1 < majority(view);
  }

  #isLeaving(identity: string): boolean {
    return identity === this.#self.identity
      ? this.#leaving
      : this.#peers.get(identity)?.leaving === true;
  }

  /** When every member of the previous view had reported that view; undefined if one never did (docs/design.md §7.2). */
  get previousViewSettledAt(): number | undefined {
    return this.#previousSettledAt;
  }

  /** Records the time at which every member has reported the current view. */
  #recordSettled(now: number): void {
    const view = this.#state.view;
    if (view === undefined || this.#settledAt !== undefined) return;
    for (const { identity } of view.members)
      if (identity !== this.#self.identity && this.#peers.get(identity)?.view?.mark !== view.mark)
        return;
    this.#settledAt = now;
  }

  /** Whether heartbeats from a machine arrived within a time, in ms, and it receives those of this one (docs/design.md §2.3). */
  isReachableWithin(identity: string, within: number, now: number): boolean {
    return this.#peers.isInContactWithin(identity, within, now);
  }

  /** Whether a majority of the voters is reachable; if not, this machine may be the one that is cut off. */
  hasQuorumContact(now: number): boolean {
    const view = this.#state.view;
    return (
      view !== undefined &&
      this.#peers.membersInContact(votersOf(view), now).length >= majority(view)
    );
  }

  /** Addresses to send heartbeats to: those in the view, the seeds, and all machines that send heartbeats. */
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

  /** Called when the state with this ticket is durable; returns the commands that waited for it. */
  writeCompleted(ticket: number): ViewCommand[] {
    const commands = this.#heldCommands.get(ticket) ?? [];
    this.#heldCommands.delete(ticket);
    return commands;
  }

  /** Requests that a state be persisted, and holds commands back until it is durable. */
  #persist(state: VoteState, after: ViewCommand[]): ViewCommand[] {
    this.#state = state;
    this.#lastTicket += 1;
    this.#heldCommands.set(this.#lastTicket, after);
    return [{ kind: "vote", ticket: this.#lastTicket, state }];
  }

  /** Sends heartbeats when they are due, and forms the first view or proposes the next one if needed. */
  tick(now: number, copiedMark: number, slowLearner?: string): ViewCommand[] {
    this.#slowLearner = slowLearner;
    // A completed copy is reported at once.
    if (copiedMark > this.#copiedEpoch) this.#lastHeartbeatAt = Number.NEGATIVE_INFINITY;
    this.#copiedEpoch = copiedMark;
    // After a suspension of this process, missing heartbeats do not mean that other machines failed.
    if (now - this.#lastTickAt > constants.minSuspensionMs) this.#listeningSince = now;
    this.#lastTickAt = now;
    this.#recordSettled(now);
    const commands: ViewCommand[] = [];
    if (now - this.#lastHeartbeatAt >= constants.controlHeartbeatIntervalMs) {
      this.#lastHeartbeatAt = now;
      commands.push(...this.#heartbeats());
      this.#peers.removeExpired(now);
    }
    if (this.#state.view === undefined) commands.push(...this.#formFirstView(now));
    else commands.push(...this.#proposeIfNeeded(now));
    return commands;
  }

  #heartbeats(): ViewCommand[] {
    const commands: ViewCommand[] = [];
    const message = this.#heartbeat();
    for (const to of this.addresses()) commands.push({ kind: "send", to, message });
    return commands;
  }

  /** Forms the first view once no seed has a view and all of them have persisted the same founding members (docs/design.md §2.2). */
  #formFirstView(now: number): ViewCommand[] {
    if (
      !this.#mayFormFirstView ||
      !this.#seeds.includes(this.#self.address) ||
      this.#seeds.length < this.#minimumCopies
    )
      return [];
    const members: Member[] = [];
    let allAgree = true;
    for (const seed of this.#seeds) {
      const peer = seed === this.#self.address ? undefined : this.#peers.peerAt(seed, now);
      if (seed !== this.#self.address && (peer === undefined || peer.view !== undefined)) return [];
      members.push(peer?.member ?? this.#self);
    }
    for (const seed of this.#seeds) {
      const founding =
        seed === this.#self.address
          ? this.#state.founding
          : this.#peers.peerAt(seed, now)!.founding;
      if (founding === undefined || !haveSameMembers(founding, members)) allAgree = false;
    }
    if (allAgree) return this.#adoptView({ mark: 1, members });
    if (
      this.#heldCommands.size > 0 ||
      (this.#state.founding !== undefined && haveSameMembers(this.#state.founding, members))
    )
      return [];
    return this.#persist({ ...this.#state, founding: members }, []);
  }

  /** The view to propose, based on missing heartbeats, machines that could join and completed copies; undefined if none is needed. */
  #desiredView(now: number): ChainView | undefined {
    const view = this.#state.view!;
    // If the members are too few to commit, the last members that could commit take over as soon as they are reachable again.
    const reachable = new Set<string>();
    for (const { identity } of this.#peers.membersInContact(
      [...holdersOf(view), ...view.members],
      now,
    ))
      reachable.add(identity);
    const alive = reachableReplicas(view, reachable);
    if (alive.length === 0 || !this.hasQuorumContact(now)) return undefined;
    const learner =
      view.joiner !== undefined &&
      view.joiner.identity !== this.#slowLearner &&
      this.#peers.isInContactWithin(view.joiner.identity, constants.memberSilenceTimeoutMs, now)
        ? view.joiner
        : undefined;
    if (!haveSameMembers(alive, view.members)) {
      // A single remaining replica cannot commit, so a view without enough members needs a learner.
      const next =
        learner ??
        (alive.length < this.#minimumCopies ? this.#learnerCandidate(view, now) : undefined);
      return alive.length >= this.#minimumCopies || next !== undefined
        ? this.#buildNextView(view, alive, next, now)
        : undefined;
    }
    // A member that announced its shutdown is removed at once, as long as enough members remain.
    const staying: Member[] = [];
    for (const member of alive) if (!this.#isLeaving(member.identity)) staying.push(member);
    if (staying.length < alive.length && staying.length >= this.#minimumCopies)
      return this.#buildNextView(view, staying, learner, now);
    if (view.joiner !== undefined) {
      if (learner === undefined) return this.#buildNextView(view, view.members, undefined, now);
      return this.#peers.get(learner.identity)?.copiedMark === view.mark
        ? this.#buildNextView(view, [...view.members, learner], undefined, now)
        : undefined;
    }
    if (view.members.length >= this.#wantedMembers) return undefined;
    const candidate = this.#learnerCandidate(view, now);
    return candidate === undefined
      ? undefined
      : this.#buildNextView(view, view.members, candidate, now);
  }

  /**
   * Builds the next view. If it has fewer members than wanted, it keeps voters that are not members, reachable ones first, so that the
   * group can still agree after the loss of one more machine (docs/design.md §2.3).
   */
  #buildNextView(
    view: ChainView,
    members: readonly Member[],
    learner: Member | undefined,
    now: number,
  ): ChainView {
    const voters: Member[] = [...members];
    const holders = holdersOf(view);
    const previousVoters = votersOf(view);
    for (const other of [
      ...(learner === undefined ? [] : [learner]),
      ...this.#peers.membersInContact(previousVoters, now),
      ...holders,
      ...previousVoters,
    ]) {
      if (
        voters.length < this.#wantedMembers &&
        !voters.some(hasIdentity, { identity: other.identity })
      )
        voters.push(other);
    }
    return {
      mark: view.mark + 1,
      members,
      ...(learner === undefined ? {} : { joiner: learner }),
      ...(voters.length > members.length ? { voters } : {}),
      ...(members.length < this.#minimumCopies ? { holders } : {}),
    };
  }

  /** The machine to add as learner: the first by identity that is reachable from all members. */
  #learnerCandidate(view: ChainView, now: number): Member | undefined {
    const inView = [...view.members, ...holdersOf(view)];
    const candidates: Member[] = [];
    for (const { member } of this.#peers.joinCandidates(now)) {
      if (!this.#peers.isInContactWithAll(member.identity, view, now)) continue;
      if (!inView.some(hasIdentity, { identity: member.identity })) candidates.push(member);
    }
    candidates.sort(byIdentity);
    return candidates[0];
  }

  /** Proposes a next view if one is needed and it is this machine's turn. */
  #proposeIfNeeded(now: number): ViewCommand[] {
    const view = this.#state.view!;
    // Members come first, then other machines that hold all committed entries.
    const proposers: Member[] = [...view.members];
    for (const holder of holdersOf(view))
      if (!proposers.some(hasIdentity, { identity: holder.identity })) proposers.push(holder);
    const position = proposers.findIndex(hasIdentity, { identity: this.#self.identity });
    if (
      position < 0 ||
      (now - this.#listeningSince < constants.memberSilenceTimeoutMs && !this.#hasHeardFromAll(now))
    )
      return [];
    const desired = this.#desiredView(now);
    if (desired === undefined) {
      this.#proposalDelayStart = undefined;
      return [];
    }
    const isHandover = this.#isHandover(view, desired, now);
    // The remaining members must be able to reach each other, so one of them has to propose the view without this machine.
    if (isHandover && this.#leaving) return [];
    this.#proposalDelayStart ??= now;
    if (
      now - this.#proposalDelayStart <
      this.#proposerRank(proposers, position, now) * constants.ballotIntervalMs
    )
      return [];
    this.#proposalDelayStart = now + constants.ballotIntervalMs;
    this.#highestRound += 1;
    const ballot: Ballot = { round: this.#highestRound, identity: this.#self.identity };
    this.#proposal = {
      mark: desired.mark,
      ballot,
      desired,
      isHandover,
      promises: new Map(),
      accepts: new Set(),
      value: undefined,
    };
    return this.#sendToVoters({ kind: "prepare", mark: desired.mark, ballot }, now);
  }

  /** Number of reachable proposers ahead of this one; machines that announced their shutdown come last. */
  #proposerRank(proposers: readonly Member[], position: number, now: number): number {
    const earlierProposers = this.#leaving ? proposers : proposers.slice(0, position);
    let rank = 0;
    for (const { identity } of earlierProposers)
      if (
        !this.#isLeaving(identity) &&
        this.#peers.isInContactWithin(identity, constants.memberSilenceTimeoutMs, now)
      )
        rank += 1;
    return rank;
  }

  /** Whether a proposed view leaves out a reachable member because of its planned shutdown. */
  #isHandover(view: ChainView, desired: ChainView, now: number): boolean {
    for (const { identity } of this.#peers.membersInContact(view.members, now))
      if (this.#isLeaving(identity) && !desired.members.some(hasIdentity, { identity }))
        return true;
    return false;
  }

  /**
   * Whether the remaining machines can operate by themselves. A promise for the current ballot proves that its sender is reachable in
   * both directions, whereas a heartbeat may be as old as the failure timeout (docs/design.md §8.6).
   */
  #canOperateAlone({ desired, promises }: Proposal): boolean {
    let voters = 0;
    let copies = 0;
    for (const identity of promises.keys()) {
      if (this.#isLeaving(identity)) continue;
      if (votersOf(desired).some(hasIdentity, { identity })) voters += 1;
      if (desired.members.some(hasIdentity, { identity })) copies += 1;
    }
    return voters >= majority(desired) && copies >= this.#minimumCopies;
  }

  /**
   * Whether each machine in the view, or another identity at its address, has sent a heartbeat, so that no machine is considered
   * failed only because this one has just started.
   */
  #hasHeardFromAll(now: number): boolean {
    const view = this.#state.view!;
    for (const member of [
      ...holdersOf(view),
      ...(view.joiner === undefined ? [] : [view.joiner]),
    ]) {
      const { identity, address } = member;
      if (
        !this.#peers.isInContactWithin(identity, constants.memberSilenceTimeoutMs, now) &&
        this.#peers.peerAt(address, now) === undefined
      )
        return false;
    }
    return true;
  }

  /** Sends a message to every voter of the view; this machine processes its own copy at once. */
  #sendToVoters(message: ViewMessage, now: number): ViewCommand[] {
    const commands: ViewCommand[] = [];
    for (const member of votersOf(this.#state.view!)) {
      if (member.identity !== this.#self.identity)
        commands.push({ kind: "send", to: member.address, message });
    }
    commands.push(...this.receive(message, this.#self.address, now));
    return commands;
  }

  receive(message: ViewMessage, from: string, now: number): ViewCommand[] {
    if (message.kind === "greet") return this.#receiveHeartbeat(message, now);
    const view = this.#state.view;
    if (view === undefined) return [];
    if (message.mark !== view.mark + 1)
      return message.mark <= view.mark ? this.#reply(from, this.#heartbeat(), now) : [];
    switch (message.kind) {
      case "prepare":
        return this.#receivePrepare(message, from, now);
      case "promise":
        return this.#receivePromise(message, now);
      case "accept":
        return this.#receiveAccept(message, from, now);
      case "accepted":
        return this.#receiveAccepted(message);
      case "overtaken":
        this.#highestRound = Math.max(this.#highestRound, message.ballot.round);
        return [];
    }
  }

  #heartbeat(): ViewMessage {
    return {
      kind: "greet",
      member: this.#self,
      view: this.#state.view,
      founding: this.#state.founding,
      copiedMark: this.#copiedEpoch,
      leaving: this.#leaving,
      ...(this.#lastTickAt - this.#listeningSince < constants.memberSilenceTimeoutMs
        ? {}
        : { hears: this.#peers.identitiesInContact(this.#lastTickAt) }),
    };
  }

  #reply(to: string, message: ViewMessage, now: number): ViewCommand[] {
    if (to !== this.#self.address) return [{ kind: "send", to, message }];
    return message.kind === "greet" ? [] : this.receive(message, to, now);
  }

  #receiveHeartbeat(message: ControlHeartbeat, now: number): ViewCommand[] {
    if (!this.#peers.recordHeartbeat(message, now)) return [];
    this.#recordSettled(now);
    if (message.view !== undefined && message.view.mark > (this.#state.view?.mark ?? 0))
      return this.#adoptView(message.view);
    return [];
  }

  /** Adopts a decided view, and announces it when it is durable. */
  #adoptView(view: ChainView): ViewCommand[] {
    if (this.#state.view !== undefined && this.#state.view.mark >= view.mark) return [];
    this.#proposal = undefined;
    this.#proposalDelayStart = undefined;
    this.#previousSettledAt = this.#settledAt;
    this.#settledAt = undefined;
    const decided: ViewCommand = { kind: "decided", view };
    return this.#persist({ view, founding: undefined, promised: undefined, accepted: undefined }, [
      decided,
      ...this.#heartbeats(),
    ]);
  }

  #receivePrepare(
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
    return this.#persist({ ...this.#state, promised: message.ballot }, [
      { kind: "send", to: from, message: result },
    ]);
  }

  #receivePromise(message: Extract<ViewMessage, { kind: "promise" }>, now: number): ViewCommand[] {
    const proposal = this.#proposal;
    if (
      proposal === undefined ||
      proposal.value !== undefined ||
      proposal.mark !== message.mark ||
      !isSameBallot(proposal.ballot, message.ballot)
    )
      return [];
    if (!votersOf(this.#state.view!).some(hasIdentity, { identity: message.member })) return [];
    proposal.promises.set(message.member, message.accepted);
    if (proposal.promises.size < majority(this.#state.view!)) return [];
    const best = highestAccepted(proposal.promises.values());
    if (best === undefined && proposal.isHandover && !this.#canOperateAlone(proposal)) return [];
    proposal.value = best?.view ?? proposal.desired;
    return this.#sendToVoters(
      { kind: "accept", mark: proposal.mark, ballot: proposal.ballot, view: proposal.value },
      now,
    );
  }

  #receiveAccept(
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
    return this.#persist(
      {
        ...this.#state,
        promised: message.ballot,
        accepted: { ballot: message.ballot, view: message.view },
      },
      [{ kind: "send", to: from, message: result }],
    );
  }

  #receiveAccepted(message: Extract<ViewMessage, { kind: "accepted" }>): ViewCommand[] {
    const proposal = this.#proposal;
    if (
      proposal === undefined ||
      proposal.value === undefined ||
      proposal.mark !== message.mark ||
      !isSameBallot(proposal.ballot, message.ballot)
    )
      return [];
    if (!votersOf(this.#state.view!).some(hasIdentity, { identity: message.member })) return [];
    proposal.accepts.add(message.member);
    if (proposal.accepts.size < majority(this.#state.view!)) return [];
    return this.#adoptView(proposal.value);
  }
}
