import {
  Sessions,
  constants,
  emptyRegistry,
  maxTransitMs,
  policy,
  type AgreedTime,
  type Agreement,
  type Chain,
  type ChainCommand,
  type ChainView,
  type DiskCondition,
  type Feed,
  type Member,
  type Policy,
  type RunnerDescriptor,
  type ViewCommand,
} from "@chutewick/parts";
import {
  isChainMessage,
  isViewMessage,
  type ReportAnswer,
  type ControlMessage,
  type ControlOutcome,
  type ControlOutput,
  type SessionMessage,
} from "./control-messages.js";
import {
  agreementFrom,
  chainFrom,
  dutyRecordsFrom,
  feedFrom,
  type ControlOrigin,
} from "./control-origin.js";
import { controlStatus } from "./control-status.js";
import { isClaimResult } from "./duties/duty-ledger.js";
import { orderedRunners } from "./duties/ordered-runners.js";
import { scalingFactsOf, type ScalingFacts } from "./scaling/scaling-facts.js";
import { DutyRecords } from "./duties/duty-records.js";
import type { DutyContext } from "./duties/duty-service.js";
import { drain } from "./emptying.js";
import { explanations, type SeasonQuery, type ExplainOutcome } from "./explain.js";
import { Forwarding, unwritableOutcome, type EndedRequest } from "./forwarding.js";
import { configuration, type VersionedConfiguration } from "./configuration.js";
import { GrantFloor } from "./grant-floor.js";
import { HeadPlanner } from "./head-planner.js";
import { HeadRequests, type HeadRequest } from "./head-requests.js";
import { keys } from "./keys.js";
import { LeaseCoverage, isAcceptedByFleet, knowsAllLeases } from "./lease-coverage.js";
import type { ControlCommand, ControlResult, FleetRecord } from "./machine.js";
import { ControlZones } from "./control-zones.js";
import { NodeHeartbeats, feedUpdateFor } from "./node-heartbeats.js";
import { PeerHeartbeats } from "./peer-heartbeats.js";
import { planningContextOf, type PlanningContextSource } from "./queue-reports.js";
import { QuorumContact } from "./quorum-contact.js";
import { isDeregistered, recordReport } from "./runner-announcements.js";
import { ShareTracker } from "./shares-in-step.js";
import { SilentNodes } from "./silent-nodes.js";
import { ControlUsage } from "./usage/control-usage.js";
import type { UsageLedger } from "./usage/usage-ledger.js";

type ChainResult = Extract<ChainCommand, { kind: "result" }>;

const noView = "the control group has no view yet";
const notReadyToPlan = "the head of the control group has not heard of all machines yet";
const notHead = "this control machine is not the head, or the group has too few copies";
/** Reason returned for requests that arrive while no majority of the control group is reachable. */
export const noQuorumReason = "this control machine reaches no majority of the control group";

/**
 * State machine of a control machine, without I/O (docs/design.md §2, §4, §7, §8). Its inputs are messages, completed writes and
 * clock ticks; its outputs are messages to send, writes to make and results to return. It combines the replicated chain of
 * control records, the agreement on views, the feed to nodes, the sessions and leases of nodes, and the planning that the head of
 * the chain does.
 */
export class ControlCore {
  #self: Member;
  #incarnation: string;
  #agreement: Agreement;
  #chain: Chain;
  #feed: Feed;
  #policy: Policy;
  #sessions: Sessions;
  #requests = new HeadRequests();
  #shareTracker = new ShareTracker();
  #leaseCoverage: LeaseCoverage;
  #grantFloor: GrantFloor;
  /** Monotonic time in ms of the last planning round. */
  #lastPlanAt = 0;
  /**
   * Monotonic time in ms before which the head makes no plans and removes no machine: missing heartbeats may be caused by this
   * machine itself (docs/design.md §8.2).
   */
  #planNotBefore: number;
  /** Monotonic time in ms of the last tick. */
  #lastTickAt: number;
  /** Monotonic time in ms at which expired state was last discarded. */
  #lastForgetAt = 0;
  /** Wall-clock time in ms of the last tick. */
  #lastWallTime = 0;
  #planner: HeadPlanner;
  #nodeHeartbeats = new NodeHeartbeats();
  #peerHeartbeats: PeerHeartbeats;
  #zones: ControlZones;
  #forwarding: Forwarding;
  #quorumContact: QuorumContact;
  #silentNodes = new SilentNodes();
  #dutyRecords: DutyRecords;
  #usage: ControlUsage;
  /** Addresses of the control machines whose release can decide duty rounds. */
  readonly #dutyDeciders = new Set<string>();
  /** Monotonic time in ms at which silent nodes were last sent the control addresses. */
  #lastAddressesSentAt = Number.NEGATIVE_INFINITY;
  #disk: DiskCondition = "writable";
  /** Whether a planned stop has begun. */
  #isStopping = false;

  constructor(origin: ControlOrigin, now: number) {
    this.#self = origin.member;
    this.#incarnation = origin.life;
    this.#policy = origin.policy ?? policy.defaults;
    this.#sessions = new Sessions(this.#policy);
    this.#quorumContact = new QuorumContact(origin.member.address, origin.life);
    this.#usage = new ControlUsage(origin.member, origin.life, this.#policy.usageWindow);
    this.#forwarding = new Forwarding(origin.life);
    this.#peerHeartbeats = new PeerHeartbeats(origin.life, origin.zone);
    this.#zones = new ControlZones(origin.member, origin.zone);
    this.#planner = new HeadPlanner(this.#policy);
    this.#agreement = agreementFrom(origin, this.#policy, now);
    this.#chain = chainFrom(origin, this.#policy, now);
    this.#feed = feedFrom(origin, this.#isMember);
    this.#dutyRecords = dutyRecordsFrom(origin, this.#isMember);
    this.#leaseCoverage = new LeaseCoverage(now);
    this.#grantFloor = new GrantFloor(origin.holding?.state.place ?? 0);
    this.#planNotBefore = now + constants.sessionTimeoutMs;
    this.#lastTickAt = now;
  }

  get view(): ChainView | undefined {
    return this.#chain.view;
  }
  /** Log index up to which the feed has been applied. */
  get place(): number {
    return this.#feed.place;
  }
  get isHead(): boolean {
    return this.#chain.isHead;
  }
  /** Number of requests started per window and tenant, as reported by all access nodes (docs/design.md §14.2). */
  get usage(): UsageLedger {
    return this.#usage.ledger;
  }
  /** Time agreed on by the control machines; it assigns requests to usage windows (docs/design.md §14.1). */
  get agreedTime(): AgreedTime {
    return this.#usage.time;
  }

  /** Committed records of the duties performed at the platform, as far as known on this machine. */
  get dutyRecords(): DutyRecords {
    return this.#dutyRecords;
  }

  /** Starts a planned stop; the remaining members form a view without this machine at once (docs/design.md §8.6). */
  leave(now: number): ControlOutput[] {
    this.#isStopping = true;
    return this.#performViewCommands(this.#agreement.announceShutdown(), now);
  }

  /**
   * Handles a disk that has become read-only or writable again. While the disk refuses writes, the other members remove this machine
   * from the view as if it were stopping, provided that enough copies remain. This machine then rejects changes but still serves reads.
   */
  diskChanged(condition: DiskCondition, now: number): ControlOutput[] {
    this.#disk = condition;
    const outputs = this.#isWritable ? [] : this.#abandonRequests();
    if (!this.#isStopping)
      outputs.push(
        ...this.#performViewCommands(
          this.#isWritable ? this.#agreement.cancelShutdown() : this.#agreement.announceShutdown(),
          now,
        ),
      );
    return outputs;
  }

  /** Ends all requests submitted here as the head with an unknown outcome; the next head decides whether they take effect. */
  #abandonRequests(): ControlOutput[] {
    const outputs: ControlOutput[] = [];
    for (const [id] of this.#requests.entries())
      outputs.push(...this.#finish(id, { kind: "unknown" }));
    return outputs;
  }

  get #isWritable(): boolean {
    return this.#disk === "writable";
  }

  /** Whether a planned stop must wait: this machine is still a member, or too few would remain without it (docs/design.md §8.6). */
  get isNeeded(): boolean {
    return this.#isMember || this.#agreement.isNeeded;
  }

  get #isMember(): boolean {
    return this.#chain.position >= 0;
  }

  /** Called once after start: the chain may have missed a view that was decided just before a crash. */
  start(now: number): ControlOutput[] {
    const view = this.#agreement.view;
    return view === undefined ? [] : this.#performChainCommands(this.#chain.adopt(view, now), now);
  }

  receive(message: ControlMessage, from: string, now: number): ControlOutput[] {
    if (isViewMessage(message))
      return this.#performViewCommands(this.#agreement.receive(message, from, now), now);
    if (isChainMessage(message))
      return message.chain === "control"
        ? this.#performChainCommands(this.#chain.receive(message, from, now), now)
        : [];
    switch (message.kind) {
      case "session":
        return this.#heartbeat(message, now);
      case "roll":
        this.#sessions.merge(message.roll, now, maxTransitMs(message.back, this.#incarnation, now));
        this.#peerHeartbeats.recordStamp(from, message.stamp, now);
        this.#zones.setZone(from, message.zone);
        this.#quorumContact.recordHeartbeat(from, message.back, now);
        if (message.decidesDuties === true) this.#dutyDeciders.add(from);
        else this.#dutyDeciders.delete(from);
        return this.#usage.recordPeerClock(from, message, this.#isNodeGone(now), now);
      case "usage":
        return this.#usage.recordUsage(message, from, now);
      case "runners":
        for (const card of message.runners) this.#sessions.recordAnnouncement(card, now - card.age);
        return [];
      case "covered":
        return this.#receiveCoverage(message.identity, message.mark, message.place, now);
      case "control-inquiry":
        return this.#enterAsHead(message.ticket, message.command, from, now);
      case "control-result":
        return this.#handleOutcome(message.ticket, message.outcome);
      default:
        return [];
    }
  }

  /** Predicate for access node incarnations without a live session: they no longer report their usage themselves. */
  #isNodeGone(now: number): (incarnation: string) => boolean {
    const present = new Set(this.#sessions.live("access", now).map(({ identity }) => identity));
    return (incarnation) => !present.has(incarnation);
  }

  /** Whether a majority of the control group was reached recently, so that what is acknowledged here can be replicated. */
  hasQuorum(now: number): boolean {
    return this.#quorumContact.hasQuorum(this.#agreement.view, now);
  }

  /** Input for performing duties at the platform; undefined if this machine is stopping or may not win a duty round. */
  dutyContext(now: number): DutyContext | undefined {
    const view = this.#chain.view;
    if (view === undefined || this.#isStopping || !this.#isMember) return undefined;
    if (!this.hasQuorum(now) || !this.#headDecidesDuties(view)) return undefined;
    return {
      place: this.#chain.position,
      members: view.members.length,
      records: this.#dutyRecords,
      isConfigured: this.#feed.read<VersionedConfiguration>(keys.configuration) !== undefined,
    };
  }

  /** Input for deciding the number of runners. */
  scalingFacts(now: number): ScalingFacts {
    const current = configuration.read(this.#feed.read<VersionedConfiguration>(keys.configuration));
    const ordered = orderedRunners(this.#dutyRecords);
    return scalingFactsOf(
      {
        configuration: current.value,
        sessions: this.#sessions,
        ordered: (pool) => ordered.get(pool) ?? new Map<string, number>(),
      },
      now,
    );
  }

  /** Whether the head can decide duty rounds; a head of an earlier release does not know claim commands. */
  #headDecidesDuties({ members }: ChainView): boolean {
    const head = members[0]!;
    return head.identity === this.#self.identity || this.#dutyDeciders.has(head.address);
  }

  /** Forwards a request of an operator or a node to the head; rejects it at once if no majority is reachable. */
  inquire(ticket: string, command: ControlCommand, now: number): ControlOutput[] {
    if (!this.hasQuorum(now))
      return [{ kind: "result", ticket, result: { kind: "not-run", reason: noQuorumReason } }];
    return this.#forward(this.#forwarding.add(ticket, command, now), now);
  }

  #forward(id: string, now: number): ControlOutput[] {
    const head = this.#newestView?.members[0];
    const command = this.#forwarding.send(id, head?.address, now);
    if (command === undefined) return [];
    if (head === undefined) return this.#handleOutcome(id, { kind: "not-run", reason: noView });
    if (head.identity === this.#self.identity)
      return this.#enterAsHead(id, command, undefined, now);
    const message: ControlMessage = { kind: "control-inquiry", ticket: id, command };
    return [{ kind: "send", to: head.address, message }];
  }

  /** Newest decided view, even if this machine could not persist it yet; it suffices to find the head. */
  get #newestView(): ChainView | undefined {
    return this.#agreement.view ?? this.#chain.view;
  }

  #handleOutcome(id: string, outcome: ControlOutcome): ControlOutput[] {
    // Whether another member may replace a head whose disk refuses writes.
    const canReplaceHead = (this.#chain.view?.members.length ?? 0) > this.#policy.copiesLeast;
    const ended = this.#forwarding.answered(id, outcome, canReplaceHead);
    return ended === undefined ? [] : [resultOf(ended)];
  }

  #forwardAgain(now: number): ControlOutput[] {
    const outputs: ControlOutput[] = this.#forwarding.expire(now).map(resultOf);
    const head = this.#newestView?.members[0]?.address;
    for (const id of this.#forwarding.due(head, now)) outputs.push(...this.#forward(id, now));
    return outputs;
  }

  #enterAsHead(
    ticket: string,
    command: ControlCommand,
    to: string | undefined,
    now: number,
  ): ControlOutput[] {
    if (this.#requests.has(ticket, to)) return [];
    if (!this.#isWritable && command.kind !== "read")
      return this.#sendOutcome(ticket, to, unwritableOutcome);
    const complete = this.#withStorageMachines(command, now);
    if (complete === undefined)
      return this.#sendOutcome(ticket, to, { kind: "not-run", reason: notReadyToPlan });
    const id = this.#requests.add(ticket, to, now);
    return this.#performChainCommands(this.#chain.execute(id, complete, now), now);
  }

  #sendOutcome(ticket: string, to: string | undefined, outcome: ControlOutcome): ControlOutput[] {
    return to === undefined
      ? this.#handleOutcome(ticket, outcome)
      : [{ kind: "send", to, message: { kind: "control-result", ticket, outcome } }];
  }

  #finish(id: string, outcome: ControlOutcome): ControlOutput[] {
    const request = this.#requests.get(id);
    if (request === undefined) return [];
    this.#requests.remove(id);
    return this.#sendOutcome(request.ticket, request.to, outcome);
  }

  /**
   * Adds the head's list of live storage machines to commands that need it. Returns undefined for a drain request that comes before
   * the head may plan, since missing heartbeats may then be caused by the head itself.
   */
  #withStorageMachines(command: ControlCommand, now: number): ControlCommand | undefined {
    if (command.kind !== "empty" && command.kind !== "emptying") return command;
    const observed = drain.observe(this.#sessions.live("storage", now), this.#policy);
    if (command.kind === "emptying") return { ...command, sight: observed };
    if (command.wanted && this.#chain.serves && now < this.#planNotBefore) return undefined;
    return drain.withTarget(this.#feed, command, observed);
  }

  /**
   * Records a report that a runner sent to this machine, and broadcasts it if other machines should not wait for the next registry
   * exchange (docs/design.md §13.8). `told` is the answer to the runner.
   */
  announce(
    card: Omit<RunnerDescriptor, "age">,
    sequence: number,
    now: number,
  ): { told: ReportAnswer; outputs: ControlOutput[] } {
    if (isDeregistered(card, this.#feed)) return { told: { kind: "SAID_GOODBYE" }, outputs: [] };
    const hasQuorum = this.hasQuorum(now);
    const message = recordReport({ ...card, sequence, age: 0 }, this.#sessions, hasQuorum, now);
    const outputs = message === undefined ? [] : this.#toControlsAndAccess(message, now);
    return { told: { kind: hasQuorum ? "TAKEN" : "NO_QUORUM" }, outputs };
  }

  #toControlsAndAccess(message: ControlMessage, now: number): ControlOutput[] {
    const access = this.#sessions.live("access", now).map(({ address }) => address);
    const addresses = [...this.#agreement.addresses(), ...access];
    return addresses.map((to) => ({ kind: "send", to, message }));
  }

  chainWritten(ticket: number, now: number): ControlOutput[] {
    return this.#performChainCommands(this.#chain.writeCompleted(ticket, now), now);
  }

  voteWritten(ticket: number, now: number): ControlOutput[] {
    return this.#performViewCommands(this.#agreement.writeCompleted(ticket), now);
  }

  #performViewCommands(commands: ViewCommand[], now: number): ControlOutput[] {
    const outputs: ControlOutput[] = [];
    for (const command of commands) {
      if (command.kind === "decided") {
        outputs.push(...this.#adoptView(command.view, now));
      } else if (command.kind === "send" && command.to === this.#self.address) {
        outputs.push(
          ...this.#performViewCommands(
            this.#agreement.receive(command.message, this.#self.address, now),
            now,
          ),
        );
      } else outputs.push(command);
    }
    return outputs;
  }

  #adoptView(view: ChainView, now: number): ControlOutput[] {
    const settledBefore = this.#agreement.previousViewSettledAt;
    this.#leaseCoverage.viewDecided(
      knowsAllLeases(this.#chain.view, view, settledBefore, now),
      now,
    );
    const facts = {
      mark: view.mark,
      members: view.members.length,
      joiner: view.joiner?.identity,
    };
    const wasMember = this.#isMember;
    const commands = this.#chain.adopt(view, now);
    if (!wasMember && this.#isMember) this.#grantFloor.becameMember(this.#chain.place);
    return [
      { kind: "note", text: "view decided", facts },
      ...this.#performChainCommands(commands, now),
    ];
  }

  #performChainCommands(commands: ChainCommand[], now: number): ControlOutput[] {
    const outputs: ControlOutput[] = [];
    let hasFeedUpdates = false;
    for (const command of commands) {
      switch (command.kind) {
        case "send":
        case "write":
          outputs.push(command);
          break;
        case "confirmed":
          this.#feed.append(command.place, command.changes);
          this.#dutyRecords.apply(command.changes);
          hasFeedUpdates = true;
          break;
        case "restored":
          this.#feed.restore(command.place, command.records);
          this.#dutyRecords.restore(command.records);
          hasFeedUpdates = true;
          break;
        case "result":
          outputs.push(...this.#handleChainResult(command, now));
          break;
      }
    }
    if (hasFeedUpdates) outputs.push(...this.#sendFeedUpdates(now), ...this.#reportCoverage(now));
    return outputs;
  }

  #handleChainResult({ ticket: id, result }: ChainResult, now: number): ControlOutput[] {
    const request = this.#requests.get(id);
    if (request === undefined) return [];
    if (result.kind === "elsewhere") return this.#finish(id, { kind: "not-run", reason: notHead });
    if (result.kind === "unknown") return this.#finish(id, { kind: "unknown" });
    request.result = { value: result.value as ControlResult, place: result.place };
    // Plan at the next tick: a change of the configuration may change the shares.
    if (request.result.value.kind === "IN_FORCE") this.#lastPlanAt = Number.NEGATIVE_INFINITY;
    return this.#answerRequestsInForce(now);
  }

  /** Acknowledges committed changes that are in force, i.e. known to the lease holders of all members (docs/design.md §7). */
  #answerRequestsInForce(now: number): ControlOutput[] {
    const outputs: ControlOutput[] = [];
    let covered: number | undefined;
    for (const [id, request] of this.#requests.entries()) {
      if (request.result === undefined) continue;
      request.inForceBy ??= this.#inForceBy(request.result);
      if (request.inForceBy === undefined) continue;
      covered ??= this.#coveredByAll(now);
      if (request.inForceBy <= covered && this.#isAcceptedByFleet(request.inForceBy))
        outputs.push(
          ...this.#noteInForce(request, now),
          ...this.#finish(id, { kind: "confirmed", ...request.result }),
        );
    }
    return outputs;
  }

  /** Logs for a configuration change what each member's lease holders know when it is acknowledged as in force. */
  #noteInForce({ since, result, inForceBy }: HeadRequest, now: number): ControlOutput[] {
    if (result?.value.kind !== "IN_FORCE") return [];
    const facts = {
      version: result.value.mark,
      place: result.place,
      inForceBy,
      waited: Math.round(now - since),
      view: this.#chain.view?.mark,
      own: this.#ownCoverage(now),
      holders: this.#sessions.activeLeaseCount(now),
      others: this.#leaseCoverage.reportedBy(this.#otherMembers),
    };
    return [{ kind: "note", text: "a change is in force", facts }];
  }

  /**
   * Log index that all lease holders must reach before the result is returned. A configuration change also needs the shares that
   * follow from it; the results of duty rounds concern no node.
   */
  #inForceBy({ value, place }: { value: ControlResult; place: number }): number | undefined {
    if (isClaimResult(value)) return 0;
    return value.kind === "IN_FORCE" ? this.#shareTracker.inForceBy(place, this.#feed) : place;
  }

  /** Log index up to which the lease holders of all members have the feed. */
  #coveredByAll(now: number): number {
    if (this.#chain.view === undefined) return 0;
    return this.#leaseCoverage.ofAll(this.#otherMembers, this.#ownCoverage(now));
  }

  get #otherMembers(): readonly Member[] {
    const members = this.#chain.view?.members ?? [];
    return members.filter(({ identity }) => identity !== this.#self.identity);
  }

  #ownCoverage(now: number): number {
    return this.#leaseCoverage.own(this.#sessions, this.#feed.place, now);
  }

  /**
   * Whether the fleet has accepted the feed up to a log index. Without this check, a majority of nodes cut off from the control group
   * could keep serving on promises made to each other (docs/design.md §7.4).
   */
  #isAcceptedByFleet(place: number): boolean {
    // Under this policy nodes make no promises to each other (docs/design.md §13.3).
    if (this.#policy.goesOnAlone) return true;
    return isAcceptedByFleet(this.#feed.read<FleetRecord>(keys.fleet), place, this.#sessions);
  }

  #receiveCoverage(identity: string, mark: number, place: number, now: number): ControlOutput[] {
    if (mark !== this.#chain.view?.mark) return [];
    this.#leaseCoverage.told(identity, place);
    return this.#answerRequestsInForce(now);
  }

  /** Reports the log index that this member's lease holders have reached to the head. */
  #reportCoverage(now: number): ControlOutput[] {
    const view = this.#chain.view;
    if (view === undefined || !this.#isMember) return [];
    if (this.#chain.isHead) return this.#answerRequestsInForce(now);
    const place = this.#ownCoverage(now);
    if (!this.#leaseCoverage.shouldReport(place, view.mark, now)) return [];
    return [
      {
        kind: "send",
        to: view.members[0]!.address,
        message: { kind: "covered", identity: this.#self.identity, mark: view.mark, place },
      },
    ];
  }

  #sendFeedUpdates(now: number): ControlOutput[] {
    const outputs: ControlOutput[] = [];
    if (!this.#isMember) return outputs;
    for (const card of this.#sessions.feedFollowers(now))
      outputs.push(...sendEach(card.address, feedUpdateFor(card, this.#feed)));
    return outputs;
  }

  /** Whether this machine may grant leases: it is a member, and its feed has all that may have been acknowledged as in force. */
  get #mayGrant(): boolean {
    return this.#isMember && this.#grantFloor.isReached(this.#feed.place, this.#chain.place);
  }

  #heartbeat(message: SessionMessage, now: number): ControlOutput[] {
    const { messages, isLeaseGranted } = this.#nodeHeartbeats.answer(message, {
      self: this.#self.identity,
      life: this.#incarnation,
      view: this.#chain.view,
      isMember: this.#isMember,
      mayGrant: this.#mayGrant,
      controls: this.#agreement.addresses(),
      zones: this.#zones,
      feed: this.#feed,
      sessions: this.#sessions,
      wall: this.#usage.wallAt(now),
      now,
    });
    const outputs = sendEach(message.card.address, messages);
    return isLeaseGranted ? [...outputs, ...this.#reportCoverage(now)] : outputs;
  }

  /** Does all time-driven work. `now` is monotonic and `wall` wall-clock time, both in ms. */
  tick(now: number, wall: number): ControlOutput[] {
    this.#lastWallTime = wall;
    this.#usage.tick(now, wall);
    this.#postponePlanning(now);
    const stuck = this.#chain.slowReplica(now)?.identity;
    return [
      ...this.#performViewCommands(this.#agreement.tick(now, this.#chain.copiedMark, stuck), now),
      ...this.#performChainCommands(this.#chain.tick(now), now),
      ...this.#reportCoverage(now),
      ...this.#sendAddressesToSilentNodes(now),
      ...this.#sendPeerHeartbeats(now),
      ...this.#plan(now),
      ...this.#forgetExpired(now),
      ...this.#expireRequests(now),
      ...this.#forwardAgain(now),
    ];
  }

  /** Postpones planning after a pause of this process or while it receives no heartbeats: other machines may only seem to be gone. */
  #postponePlanning(now: number): void {
    if (
      now - this.#lastTickAt > constants.minSuspensionMs ||
      !this.#agreement.hasQuorumContact(now) ||
      !this.#sessions.hasRecentHeartbeat(now)
    )
      this.#planNotBefore = Math.max(this.#planNotBefore, now + constants.heartbeatIntervalMs * 2);
    this.#lastTickAt = now;
  }

  #sendPeerHeartbeats(now: number): ControlOutput[] {
    if (!this.#peerHeartbeats.begin(now)) return [];
    const registry = this.#peerHeartbeats.beginRegistry(this.#sessions.size, now)
      ? this.#sessions.registry(now)
      : emptyRegistry;
    const wall = this.#usage.wallAt(now);
    return this.#agreement.addresses().map((to) => ({
      kind: "send",
      to,
      message: this.#peerHeartbeats.to(to, registry, wall, now),
    }));
  }

  #forgetExpired(now: number): ControlOutput[] {
    if (now - this.#lastForgetAt <= constants.sessionTimeoutMs) return [];
    this.#lastForgetAt = now;
    this.#sessions.removeExpired(now);
    this.#usage.ledger.forget(now);
    this.#nodeHeartbeats.forget(now);
    return [];
  }

  #expireRequests(now: number): ControlOutput[] {
    const outputs: ControlOutput[] = [];
    for (const id of this.#requests.overdue(now))
      outputs.push(...this.#finish(id, { kind: "unknown" }));
    return outputs;
  }

  /** Sends the control addresses to silent nodes: their settings may name only machines that are gone (docs/design.md §13.8.4). */
  #sendAddressesToSilentNodes(now: number): ControlOutput[] {
    if (now - this.#lastAddressesSentAt < constants.silentNodeNoticeIntervalMs) return [];
    this.#lastAddressesSentAt = now;
    if (!this.#isMember) return [];
    const addresses = [this.#self.address, ...this.#agreement.addresses()];
    return this.#silentNodes
      .addressesToContact(this.#sessions, this.#feed, now)
      .map((to) => ({ kind: "send", to, message: { kind: "controls", addresses } }));
  }

  /** Submits the changes that the head finds necessary. */
  #plan(now: number): ControlOutput[] {
    if (now - this.#lastPlanAt < constants.placementIntervalMs) return [];
    this.#lastPlanAt = now;
    if (!this.#mayPlan(now)) return [];
    const commands = this.#planner.plan({
      ...this.#planningContextSource(now),
      chainTime: this.#chain.time(now),
      isInForce: (place) => place <= this.#coveredByAll(now) && this.#isAcceptedByFleet(place),
    });
    this.#shareTracker.planned(commands, this.#feed);
    const outputs: ControlOutput[] = [];
    for (const command of commands)
      outputs.push(
        ...this.#performChainCommands(this.#chain.execute(`plan/${now}`, command, now), now),
      );
    return outputs;
  }

  #mayPlan(now: number): boolean {
    return (
      this.#isWritable &&
      this.#chain.serves &&
      this.#chain.confirmed === this.#chain.place &&
      now >= this.#planNotBefore
    );
  }

  #planningContextSource(now: number): PlanningContextSource {
    return { feed: this.#feed, sessions: this.#sessions, now, wall: this.#lastWallTime };
  }

  /** Explains the current limits of a way (a route), a model or a lot (a batch job). */
  explain(asked: SeasonQuery, now: number): ExplainOutcome {
    return explanations.explain(asked, planningContextOf(this.#planningContextSource(now)));
  }

  /** Shows what a season (a scheduling period) would select if it were added to the configuration. */
  preview(season: unknown, now: number): ExplainOutcome {
    return explanations.preview(season, planningContextOf(this.#planningContextSource(now)));
  }

  /** Status report for operators. */
  status(now: number): Record<string, unknown> {
    const { queueQuotas: standings, reports } = planningContextOf(this.#planningContextSource(now));
    return controlStatus({
      self: this.#self,
      view: this.#chain.view,
      isHead: this.#chain.isHead,
      hasQuorum: this.hasQuorum(now),
      disk: this.#disk,
      feed: this.#feed,
      registry: this.#sessions.registry(now),
      storage: this.#sessions.live("storage", now),
      queueQuotas: standings,
      reports,
      policy: this.#policy,
    });
  }
}

function resultOf({ ticket, outcome }: EndedRequest): ControlOutput {
  return { kind: "result", ticket, result: outcome };
}

function sendEach(to: string, messages: readonly ControlMessage[]): ControlOutput[] {
  return messages.map((message) => ({ kind: "send", to, message }));
}
