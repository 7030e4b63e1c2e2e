import {
  Sessions,
  constants,
  emptyRegistry,
  lateness,
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
  type RunnerCard,
  type ViewCommand,
} from "@chutewick/parts";
import {
  isChainMessage,
  isViewMessage,
  type Announced,
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
import type { DutyGround } from "./duties/duty-service.js";
import { emptying } from "./emptying.js";
import { explanations, type Asked, type Explained } from "./explain.js";
import { Forwarding, unwritable, type Ended } from "./forwarding.js";
import { configuration, type MarkedConfiguration } from "./configuration.js";
import { GrantFloor } from "./grant-floor.js";
import { HeadPlanner } from "./head-planner.js";
import { HeadRequests, type HeadRequest } from "./head-requests.js";
import { keys } from "./keys.js";
import { LeaseCoverage, isTakenByFleet, knowsGrants } from "./lease-coverage.js";
import type { ControlCommand, ControlResult, FleetRecord } from "./machine.js";
import { ControlZones } from "./control-zones.js";
import { NodeHeartbeats, newsFor } from "./node-heartbeats.js";
import { PeerHeartbeats } from "./peer-heartbeats.js";
import { surroundingsOf, type SurroundingsSource } from "./queue-reports.js";
import { QuorumContact } from "./quorum-contact.js";
import { isDeregistered, takeReport } from "./runner-announcements.js";
import { SharesInStep } from "./shares-in-step.js";
import { SilentNodes } from "./silent-nodes.js";
import { ControlUsage } from "./usage/control-usage.js";
import type { UsageLedger } from "./usage/usage-ledger.js";

type ChainResult = Extract<ChainCommand, { kind: "result" }>;

const noView = "the control group has no view yet";
const tooSoon = "the head of the control group has not heard of all machines yet";
const notHead = "this control machine is not the head, or the group has too few copies";
/** Why a machine without contact runs nothing. */
export const noQuorum = "this control machine reaches no majority of the control group";

/**
 * A control machine without I/O (docs/design.md §2, §4, §7, §8): takes messages, finished writes and the passing of time, and
 * returns what is to be sent, written and answered. Ties the chain of control records, the agreed view, the feed to nodes,
 * sessions with leases, and the plans of the head.
 */
export class ControlCore {
  #self: Member;
  #life: string;
  #agreement: Agreement;
  #chain: Chain;
  #feed: Feed;
  #policy: Policy;
  #sessions: Sessions;
  #requests = new HeadRequests();
  #sharesInStep = new SharesInStep();
  #coverage: LeaseCoverage;
  #grantFloor: GrantFloor;
  #planAt = 0;
  /** No machine is taken out before: what is not heard may be this machine's own silence (§8.2). */
  #planFrom: number;
  #beatAt: number;
  #forgetAt = 0;
  #wall = 0;
  #planner: HeadPlanner;
  #nodeHeartbeats = new NodeHeartbeats();
  #peerHeartbeats: PeerHeartbeats;
  #zones: ControlZones;
  #forwarding: Forwarding;
  #contact: QuorumContact;
  #silentNodes = new SilentNodes();
  #dutyRecords: DutyRecords;
  #usage: ControlUsage;
  /** Addresses of control machines that decide rounds of duties. */
  readonly #decidingDuties = new Set<string>();
  #calledSilentAt = Number.NEGATIVE_INFINITY;
  #disk: DiskCondition = "writable";
  /** A planned stop is under way. */
  #isStopping = false;

  constructor(origin: ControlOrigin, now: number) {
    this.#self = origin.member;
    this.#life = origin.life;
    this.#policy = origin.policy ?? policy.usual;
    this.#sessions = new Sessions(this.#policy);
    this.#contact = new QuorumContact(origin.member.address, origin.life);
    this.#usage = new ControlUsage(origin.member, origin.life, this.#policy.usageWindow);
    this.#forwarding = new Forwarding(origin.life);
    this.#peerHeartbeats = new PeerHeartbeats(origin.life, origin.zone);
    this.#zones = new ControlZones(origin.member, origin.zone);
    this.#planner = new HeadPlanner(this.#policy);
    this.#agreement = agreementFrom(origin, this.#policy, now);
    this.#chain = chainFrom(origin, this.#policy, now);
    this.#feed = feedFrom(origin, this.#isMember);
    this.#dutyRecords = dutyRecordsFrom(origin, this.#isMember);
    this.#coverage = new LeaseCoverage(now);
    this.#grantFloor = new GrantFloor(origin.holding?.state.place ?? 0);
    this.#planFrom = now + constants.sessionLasts;
    this.#beatAt = now;
  }

  get view(): ChainView | undefined {
    return this.#chain.view;
  }
  get place(): number {
    return this.#feed.place;
  }
  get isHead(): boolean {
    return this.#chain.isHead;
  }
  /** Requests that began to run, by window and tenant, as all access nodes tell them (§14.2). */
  get usage(): UsageLedger {
    return this.#usage.ledger;
  }
  /** True time, by which windows of usage are told apart (§14.1). */
  get agreedTime(): AgreedTime {
    return this.#usage.time;
  }

  /** Of duties at the platform, as confirmed and known here. */
  get dutyRecords(): DutyRecords {
    return this.#dutyRecords;
  }

  /** A planned stop: the others take the view over at once (§8.6). */
  leave(now: number): ControlOutput[] {
    this.#isStopping = true;
    return this.#vote(this.#agreement.leave(), now);
  }

  /**
   * The disk of this machine refuses writes, or takes them again. Meanwhile the others go on without it as without one that stops, as
   * long as enough copies stay; it enters no change and goes on with reads.
   */
  diskChanged(condition: DiskCondition, now: number): ControlOutput[] {
    this.#disk = condition;
    const outputs = this.#isWritable ? [] : this.#abandonRequests();
    if (!this.#isStopping)
      outputs.push(
        ...this.#vote(this.#isWritable ? this.#agreement.stay() : this.#agreement.leave(), now),
      );
    return outputs;
  }

  /** Nobody waits for what was entered here: whether it takes effect is for the next head to find out. */
  #abandonRequests(): ControlOutput[] {
    const outputs: ControlOutput[] = [];
    for (const [id] of this.#requests.entries())
      outputs.push(...this.#finish(id, { kind: "unknown" }));
    return outputs;
  }

  get #isWritable(): boolean {
    return this.#disk === "writable";
  }

  /** Whether one that stops as planned must wait: it is a member yet, or the others are too few without it (§8.6). */
  get isNeeded(): boolean {
    return this.#isMember || this.#agreement.isNeeded;
  }

  get #isMember(): boolean {
    return this.#chain.position >= 0;
  }

  /** Called once after start: a view decided before a crash may not have reached the chain. */
  start(now: number): ControlOutput[] {
    const view = this.#agreement.view;
    return view === undefined ? [] : this.#perform(this.#chain.adopt(view, now), now);
  }

  receive(message: ControlMessage, from: string, now: number): ControlOutput[] {
    if (isViewMessage(message)) return this.#vote(this.#agreement.receive(message, from, now), now);
    if (isChainMessage(message))
      return message.chain === "control"
        ? this.#perform(this.#chain.receive(message, from, now), now)
        : [];
    switch (message.kind) {
      case "session":
        return this.#heartbeat(message, now);
      case "roll":
        this.#sessions.merge(message.roll, now, lateness(message.back, this.#life, now));
        this.#peerHeartbeats.heard(from, message.stamp, now);
        this.#zones.heard(from, message.zone);
        this.#contact.heard(from, message.back, now);
        if (message.decidesDuties === true) this.#decidingDuties.add(from);
        else this.#decidingDuties.delete(from);
        return this.#usage.heardPeer(from, message, this.#isOver(now), now);
      case "usage":
        return this.#usage.take(message, from, now);
      case "runners":
        for (const card of message.runners) this.#sessions.announced(card, now - card.age);
        return [];
      case "covered":
        return this.#coveredFrom(message.identity, message.mark, message.place, now);
      case "control-inquiry":
        return this.#enter(message.ticket, message.command, from, now);
      case "control-result":
        return this.#returned(message.ticket, message.outcome);
      default:
        return [];
    }
  }

  /** Whether an access node's life is over, as far as is known here: it tells nothing itself any more. */
  #isOver(now: number): (life: string) => boolean {
    const present = new Set(this.#sessions.live("access", now).map(({ identity }) => identity));
    return (life) => !present.has(life);
  }

  /** Whether what is acknowledged here can be brought to all: a majority of control was reached just now. */
  inContact(now: number): boolean {
    return this.#contact.hasQuorum(this.#agreement.view, now);
  }

  /** What duties at the platform are performed by; undefined where this machine may win no round, or is about to stop. */
  dutySituation(now: number): DutyGround | undefined {
    const view = this.#chain.view;
    if (view === undefined || this.#isStopping || !this.#isMember) return undefined;
    if (!this.inContact(now) || !this.#headDecidesDuties(view)) return undefined;
    return {
      place: this.#chain.position,
      members: view.members.length,
      records: this.#dutyRecords,
      isConfigured: this.#feed.read<MarkedConfiguration>(keys.configuration) !== undefined,
    };
  }

  /** What the number of runners goes by. */
  scalingFacts(now: number): ScalingFacts {
    const held = configuration.read(this.#feed.read<MarkedConfiguration>(keys.configuration));
    const ordered = orderedRunners(this.#dutyRecords);
    return scalingFactsOf(
      {
        configuration: held.value,
        sessions: this.#sessions,
        ordered: (pool) => ordered.get(pool) ?? new Map<string, number>(),
      },
      now,
    );
  }

  /** A head of an earlier release would not understand a claim. */
  #headDecidesDuties({ members }: ChainView): boolean {
    const head = members[0]!;
    return head.identity === this.#self.identity || this.#decidingDuties.has(head.address);
  }

  /** An operator's or node's request: entered at the head, from wherever it arrived; refused at once where no majority is reached. */
  inquire(ticket: string, command: ControlCommand, now: number): ControlOutput[] {
    if (!this.inContact(now))
      return [{ kind: "result", ticket, result: { kind: "not-run", reason: noQuorum } }];
    return this.#forward(this.#forwarding.add(ticket, command, now), now);
  }

  #forward(id: string, now: number): ControlOutput[] {
    const head = this.#newestView?.members[0];
    const command = this.#forwarding.send(id, head?.address, now);
    if (command === undefined) return [];
    if (head === undefined) return this.#returned(id, { kind: "not-run", reason: noView });
    if (head.identity === this.#self.identity) return this.#enter(id, command, undefined, now);
    const message: ControlMessage = { kind: "control-inquiry", ticket: id, command };
    return [{ kind: "send", to: head.address, message }];
  }

  /** The newest view that was decided, also where this machine cannot keep it yet: enough to know whom to ask. */
  get #newestView(): ChainView | undefined {
    return this.#agreement.view ?? this.#chain.view;
  }

  #returned(id: string, outcome: ControlOutcome): ControlOutput[] {
    /** Whether another member may take the place of a head whose disk takes no writes. */
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

  #enter(
    ticket: string,
    command: ControlCommand,
    to: string | undefined,
    now: number,
  ): ControlOutput[] {
    if (this.#requests.has(ticket, to)) return [];
    if (!this.#isWritable && command.kind !== "read") return this.#answer(ticket, to, unwritable);
    const judged = this.#withSight(command, now);
    if (judged === undefined) return this.#answer(ticket, to, { kind: "not-run", reason: tooSoon });
    const id = this.#requests.add(ticket, to, now);
    return this.#perform(this.#chain.inquire(id, judged, now), now);
  }

  #answer(ticket: string, to: string | undefined, outcome: ControlOutcome): ControlOutput[] {
    return to === undefined
      ? this.#returned(ticket, outcome)
      : [{ kind: "send", to, message: { kind: "control-result", ticket, outcome } }];
  }

  #finish(id: string, outcome: ControlOutcome): ControlOutput[] {
    const request = this.#requests.get(id);
    if (request === undefined) return [];
    this.#requests.remove(id);
    return this.#answer(request.ticket, request.to, outcome);
  }

  /** A command with what the head knows of storage machines; undefined while their silence may be the head's own. */
  #withSight(command: ControlCommand, now: number): ControlCommand | undefined {
    if (command.kind !== "empty" && command.kind !== "emptying") return command;
    const sight = emptying.sightOf(this.#sessions.live("storage", now), this.#policy);
    if (command.kind === "emptying") return { ...command, sight };
    if (command.wanted && this.#chain.serves && now < this.#planFrom) return undefined;
    return emptying.resolved(this.#feed, command, sight);
  }

  /** A runner's own report, made here; passed on at once where others should not wait for the registry (§13.8). */
  announce(
    card: Omit<RunnerCard, "age">,
    sequence: number,
    now: number,
  ): { told: Announced; outputs: ControlOutput[] } {
    if (isDeregistered(card, this.#feed)) return { told: { kind: "SAID_GOODBYE" }, outputs: [] };
    const inContact = this.inContact(now);
    const message = takeReport({ ...card, sequence, age: 0 }, this.#sessions, inContact, now);
    const outputs = message === undefined ? [] : this.#toControlsAndAccess(message, now);
    return { told: { kind: inContact ? "TAKEN" : "NO_QUORUM" }, outputs };
  }

  #toControlsAndAccess(message: ControlMessage, now: number): ControlOutput[] {
    const access = this.#sessions.live("access", now).map(({ address }) => address);
    const addresses = [...this.#agreement.addresses(), ...access];
    return addresses.map((to) => ({ kind: "send", to, message }));
  }

  writtenChain(ticket: number, now: number): ControlOutput[] {
    return this.#perform(this.#chain.written(ticket, now), now);
  }

  writtenVote(ticket: number, now: number): ControlOutput[] {
    return this.#vote(this.#agreement.written(ticket), now);
  }

  #vote(commands: ViewCommand[], now: number): ControlOutput[] {
    const outputs: ControlOutput[] = [];
    for (const command of commands) {
      if (command.kind === "decided") {
        outputs.push(...this.#adopt(command.view, now));
      } else if (command.kind === "send" && command.to === this.#self.address) {
        outputs.push(
          ...this.#vote(this.#agreement.receive(command.message, this.#self.address, now), now),
        );
      } else outputs.push(command);
    }
    return outputs;
  }

  #adopt(view: ChainView, now: number): ControlOutput[] {
    const settledBefore = this.#agreement.settledBefore;
    this.#coverage.viewDecided(knowsGrants(this.#chain.view, view, settledBefore, now), now);
    const facts = {
      mark: view.mark,
      members: view.members.length,
      joiner: view.joiner?.identity,
    };
    const wasMember = this.#isMember;
    const commands = this.#chain.adopt(view, now);
    if (!wasMember && this.#isMember) this.#grantFloor.becameMember(this.#chain.place);
    return [{ kind: "note", text: "view decided", facts }, ...this.#perform(commands, now)];
  }

  #perform(commands: ChainCommand[], now: number): ControlOutput[] {
    const outputs: ControlOutput[] = [];
    let news = false;
    for (const command of commands) {
      switch (command.kind) {
        case "send":
        case "write":
          outputs.push(command);
          break;
        case "confirmed":
          this.#feed.take(command.place, command.changes);
          this.#dutyRecords.take(command.changes);
          news = true;
          break;
        case "restored":
          this.#feed.restore(command.place, command.records);
          this.#dutyRecords.restore(command.records);
          news = true;
          break;
        case "result":
          outputs.push(...this.#chainResult(command, now));
          break;
      }
    }
    if (news) outputs.push(...this.#feedAll(now), ...this.#cover(now));
    return outputs;
  }

  #chainResult({ ticket: id, result }: ChainResult, now: number): ControlOutput[] {
    const request = this.#requests.get(id);
    if (request === undefined) return [];
    if (result.kind === "elsewhere") return this.#finish(id, { kind: "not-run", reason: notHead });
    if (result.kind === "unknown") return this.#finish(id, { kind: "unknown" });
    request.result = { value: result.value as ControlResult, place: result.place };
    /** The shares that follow from it are entered with the next beat. */
    if (request.result.value.kind === "IN_FORCE") this.#planAt = Number.NEGATIVE_INFINITY;
    return this.#release(now);
  }

  /** A change is told as confirmed only when it is in force: all lease holders of all members have it (§7). */
  #release(now: number): ControlOutput[] {
    const outputs: ControlOutput[] = [];
    let covered: number | undefined;
    for (const [id, held] of this.#requests.entries()) {
      if (held.result === undefined) continue;
      held.inForceBy ??= this.#inForceBy(held.result);
      if (held.inForceBy === undefined) continue;
      covered ??= this.#coveredByAll(now);
      if (held.inForceBy <= covered && this.#fleetTook(held.inForceBy))
        outputs.push(
          ...this.#noteInForce(held, now),
          ...this.#finish(id, { kind: "confirmed", ...held.result }),
        );
    }
    return outputs;
  }

  /** Why a change of the configuration is told as in force now: what each member's lease holders have. */
  #noteInForce({ since, result, inForceBy }: HeadRequest, now: number): ControlOutput[] {
    if (result?.value.kind !== "IN_FORCE") return [];
    const facts = {
      version: result.value.mark,
      place: result.place,
      inForceBy,
      waited: Math.round(now - since),
      view: this.#chain.view?.mark,
      own: this.#ownCover(now),
      holders: this.#sessions.holders(now),
      others: this.#coverage.toldBy(this.#otherMembers),
    };
    return [{ kind: "note", text: "a change is in force", facts }];
  }

  /** What changed the configuration needs the shares that follow from it, too; rounds of duties concern no node. */
  #inForceBy({ value, place }: { value: ControlResult; place: number }): number | undefined {
    if (isClaimResult(value)) return 0;
    return value.kind === "IN_FORCE" ? this.#sharesInStep.inForceBy(place, this.#feed) : place;
  }

  /** The place that all holders of leases of all members have. */
  #coveredByAll(now: number): number {
    if (this.#chain.view === undefined) return 0;
    return this.#coverage.ofAll(this.#otherMembers, this.#ownCover(now));
  }

  get #otherMembers(): readonly Member[] {
    const members = this.#chain.view?.members ?? [];
    return members.filter(({ identity }) => identity !== this.#self.identity);
  }

  #ownCover(now: number): number {
    return this.#coverage.own(this.#sessions, this.#feed.place, now);
  }

  /** Without this, a majority of nodes that cannot hear control might go on by each other's promises (§7.4). */
  #fleetTook(place: number): boolean {
    /** Nodes that go on alone promise nothing to each other (§13.3). */
    if (this.#policy.goesOnAlone) return true;
    return isTakenByFleet(this.#feed.read<FleetRecord>(keys.fleet), place, this.#sessions);
  }

  #coveredFrom(identity: string, mark: number, place: number, now: number): ControlOutput[] {
    if (mark !== this.#chain.view?.mark) return [];
    this.#coverage.told(identity, place);
    return this.#release(now);
  }

  /** Tells the head how far this member's lease holders have come. */
  #cover(now: number): ControlOutput[] {
    const view = this.#chain.view;
    if (view === undefined || !this.#isMember) return [];
    if (this.#chain.isHead) return this.#release(now);
    const place = this.#ownCover(now);
    if (!this.#coverage.isToBeTold(place, view.mark, now)) return [];
    return [
      {
        kind: "send",
        to: view.members[0]!.address,
        message: { kind: "covered", identity: this.#self.identity, mark: view.mark, place },
      },
    ];
  }

  #feedAll(now: number): ControlOutput[] {
    const outputs: ControlOutput[] = [];
    if (!this.#isMember) return outputs;
    for (const card of this.#sessions.followers(now))
      outputs.push(...sendAll(card.address, newsFor(card, this.#feed)));
    return outputs;
  }

  /** Whether this machine grants leases: a member whose feed tells all that may have been told as in force before. */
  get #mayGrant(): boolean {
    return this.#isMember && this.#grantFloor.isReached(this.#feed.place, this.#chain.place);
  }

  #heartbeat(message: SessionMessage, now: number): ControlOutput[] {
    const { messages, isLeaseGranted } = this.#nodeHeartbeats.answer(message, {
      self: this.#self.identity,
      life: this.#life,
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
    const outputs = sendAll(message.card.address, messages);
    return isLeaseGranted ? [...outputs, ...this.#cover(now)] : outputs;
  }

  /** Time passes. */
  beat(now: number, wall: number): ControlOutput[] {
    this.#wall = wall;
    this.#usage.beat(now, wall);
    this.#putOffPlanning(now);
    const stuck = this.#chain.stuck(now)?.identity;
    return [
      ...this.#vote(this.#agreement.beat(now, this.#chain.copiedMark, stuck), now),
      ...this.#perform(this.#chain.beat(now), now),
      ...this.#cover(now),
      ...this.#callSilentNodes(now),
      ...this.#sendPeerHeartbeats(now),
      ...this.#plan(now),
      ...this.#forget(now),
      ...this.#expireRequests(now),
      ...this.#forwardAgain(now),
    ];
  }

  /** Who slept or hears nobody lets others be heard first: their silence may be its own. */
  #putOffPlanning(now: number): void {
    if (
      now - this.#beatAt > constants.sleptLeast ||
      !this.#agreement.isNear(now) ||
      !this.#sessions.hearsAny(now)
    )
      this.#planFrom = Math.max(this.#planFrom, now + constants.sessionEvery * 2);
    this.#beatAt = now;
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

  #forget(now: number): ControlOutput[] {
    if (now - this.#forgetAt <= constants.sessionLasts) return [];
    this.#forgetAt = now;
    this.#sessions.forget(now);
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

  /** A node whose settings name only control machines that are gone is told where the group stands now (§13.8.4). */
  #callSilentNodes(now: number): ControlOutput[] {
    if (now - this.#calledSilentAt < constants.callSilentEvery) return [];
    this.#calledSilentAt = now;
    if (!this.#isMember) return [];
    const addresses = [this.#self.address, ...this.#agreement.addresses()];
    return this.#silentNodes
      .toCall(this.#sessions, this.#feed, now)
      .map((to) => ({ kind: "send", to, message: { kind: "controls", addresses } }));
  }

  /** Enters what the head finds to be changed. */
  #plan(now: number): ControlOutput[] {
    if (now - this.#planAt < constants.planEvery) return [];
    this.#planAt = now;
    if (!this.#mayPlan(now)) return [];
    const commands = this.#planner.plan({
      ...this.#surroundingsSource(now),
      chainTime: this.#chain.time(now),
      isInForce: (place) => place <= this.#coveredByAll(now) && this.#fleetTook(place),
    });
    this.#sharesInStep.planned(commands, this.#feed);
    const outputs: ControlOutput[] = [];
    for (const command of commands)
      outputs.push(...this.#perform(this.#chain.inquire(`plan/${now}`, command, now), now));
    return outputs;
  }

  #mayPlan(now: number): boolean {
    return (
      this.#isWritable &&
      this.#chain.serves &&
      this.#chain.confirmed === this.#chain.place &&
      now >= this.#planFrom
    );
  }

  #surroundingsSource(now: number): SurroundingsSource {
    return { feed: this.#feed, sessions: this.#sessions, now, wall: this.#wall };
  }

  /** What holds for a way, a model or a lot, and why. */
  explain(asked: Asked, now: number): Explained {
    return explanations.explain(asked, surroundingsOf(this.#surroundingsSource(now)));
  }

  /** What a season would select if it were entered. */
  preview(season: unknown, now: number): Explained {
    return explanations.preview(season, surroundingsOf(this.#surroundingsSource(now)));
  }

  /** For operators. */
  status(now: number): Record<string, unknown> {
    const { standings, reports } = surroundingsOf(this.#surroundingsSource(now));
    return controlStatus({
      self: this.#self,
      view: this.#chain.view,
      isHead: this.#chain.isHead,
      hasQuorum: this.inContact(now),
      disk: this.#disk,
      feed: this.#feed,
      registry: this.#sessions.registry(now),
      storage: this.#sessions.live("storage", now),
      standings,
      reports,
      policy: this.#policy,
    });
  }
}

function resultOf({ ticket, outcome }: Ended): ControlOutput {
  return { kind: "result", ticket, result: outcome };
}

function sendAll(to: string, messages: readonly ControlMessage[]): ControlOutput[] {
  return messages.map((message) => ({ kind: "send", to, message }));
}
