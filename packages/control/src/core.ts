import {
  Agreement,
  Chain,
  Feed,
  Sessions,
  constants,
  duty,
  giveBack,
  lateness,
  policy,
  type ChainCommand,
  type ChainHolding,
  type ChainView,
  type DiskCondition,
  type Member,
  type NodeCard,
  type Policy,
  type RunnerCard,
  type RunnerRegistry,
  type Stamp,
  type ViewCommand,
  type VoteState,
} from "@chutewick/parts";
import type {
  Announced,
  ControlMessage,
  ControlOutcome,
  ControlOutput,
  LeaseMessage,
  SessionMessage,
} from "./control-messages.js";
import { controlStatus } from "./control-status.js";
import { emptying } from "./emptying.js";
import { explanations, type Asked, type Explained } from "./explain.js";
import { Forwarding, unwritable, type Ended } from "./forwarding.js";
import { HeadPlanner } from "./head-planner.js";
import { keys } from "./keys.js";
import { LaggingNodes } from "./lagging-nodes.js";
import { LeaseCoverage, isTakenByFleet, knowsGrants } from "./lease-coverage.js";
import {
  ControlMachine,
  type ControlCommand,
  type ControlResult,
  type Deregistration,
  type FleetRecord,
} from "./machine.js";
import { published } from "./published.js";
import { surroundingsOf, type SurroundingsSource } from "./queue-reports.js";
import { QuorumContact } from "./quorum-contact.js";
import { SilentNodes, recordedNodes } from "./silent-nodes.js";

/** A request entered here as the head. */
interface Held {
  readonly ticket: string;
  /** Set where the request came over the wire. */
  readonly to: string | undefined;
  readonly since: number;
  result: { value: ControlResult; place: number } | undefined;
}

/** What a control machine starts from. */
export interface ControlOrigin {
  readonly member: Member;
  readonly seeds: readonly string[];
  /** Differs with each start, so a result meant for an earlier life is not taken for one of this. */
  readonly life: string;
  readonly votes?: VoteState;
  readonly holding?: ChainHolding;
  readonly policy?: Policy;
  /** True only at the very first start of the whole system. */
  readonly founding?: boolean;
}

const noView = "the control group has no view yet";
const tooSoon = "the head of the control group has not heard of all machines yet";
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
  #feed = new Feed(published);
  #policy: Policy;
  #sessions: Sessions;
  #held = new Map<string, Held>();
  #ticketNumber = 0;
  #coverage: LeaseCoverage;
  #planAt = 0;
  /** No machine is taken out before: what is not heard may be this machine's own silence (§8.2). */
  #planFrom: number;
  #beatAt: number;
  #registryAt = 0;
  #forgetAt = 0;
  #wall = 0;
  #planner: HeadPlanner;
  #laggingNodes = new LaggingNodes();
  /** The last stamp of each other control machine. */
  #stamps = new Map<string, { stamp: Stamp; at: number }>();
  #forwarding: Forwarding;
  #contact: QuorumContact;
  #silentNodes = new SilentNodes();
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
    this.#forwarding = new Forwarding(origin.life);
    this.#planner = new HeadPlanner(this.#policy);
    this.#agreement = new Agreement(
      origin.member,
      origin.seeds,
      now,
      origin.votes,
      origin.founding ?? true,
      this.#policy.controlsWanted,
      this.#policy.copiesLeast,
    );
    this.#chain = new Chain(
      "control",
      origin.member,
      new ControlMachine(),
      now,
      origin.holding,
      this.#policy.copiesLeast,
    );
    this.#coverage = new LeaseCoverage(now);
    this.#planFrom = now + constants.sessionLasts;
    this.#beatAt = now;
    if (
      origin.holding !== undefined &&
      origin.holding.state.place === origin.holding.state.confirmed &&
      this.#chain.position >= 0
    ) {
      this.#feed.restore(origin.holding.state.place, origin.holding.records);
    }
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
    const outputs = this.#isWritable ? [] : this.#abandonHeld();
    if (!this.#isStopping)
      outputs.push(
        ...this.#vote(this.#isWritable ? this.#agreement.stay() : this.#agreement.leave(), now),
      );
    return outputs;
  }

  /** Nobody waits for what was entered here: whether it takes effect is for the next head to find out. */
  #abandonHeld(): ControlOutput[] {
    const outputs: ControlOutput[] = [];
    for (const own of [...this.#held.keys()])
      outputs.push(...this.#finish(own, { kind: "unknown" }));
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
    switch (message.kind) {
      case "greet":
      case "prepare":
      case "promise":
      case "accept":
      case "accepted":
      case "overtaken":
        return this.#vote(this.#agreement.receive(message, from, now), now);
      case "entries":
      case "taken":
      case "confirm":
      case "probe":
      case "probed":
      case "want":
      case "digest":
      case "digest-got":
        return message.chain === "control"
          ? this.#perform(this.#chain.receive(message, from, now), now)
          : [];
      case "session":
        return this.#session(message, now);
      case "roll":
        this.#sessions.merge(message.roll, now, lateness(message.back, this.#life, now));
        if (message.stamp !== undefined) this.#stamps.set(from, { stamp: message.stamp, at: now });
        this.#contact.heard(from, message.back, now);
        return [];
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

  /** Whether what is acknowledged here can be brought to all: a majority of control was reached just now. */
  inContact(now: number): boolean {
    return this.#contact.hasQuorum(this.#agreement.view, now);
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
    for (const held of this.#held.values()) if (held.ticket === ticket && held.to === to) return [];
    if (!this.#isWritable && command.kind !== "read") return this.#answer(ticket, to, unwritable);
    const judged = this.#withSight(command, now);
    if (judged === undefined) return this.#answer(ticket, to, { kind: "not-run", reason: tooSoon });
    this.#ticketNumber += 1;
    const own = `own/${this.#ticketNumber}`;
    this.#held.set(own, { ticket, to, since: now, result: undefined });
    return this.#perform(this.#chain.inquire(own, judged, now), now);
  }

  #answer(ticket: string, to: string | undefined, outcome: ControlOutcome): ControlOutput[] {
    return to === undefined
      ? this.#returned(ticket, outcome)
      : [{ kind: "send", to, message: { kind: "control-result", ticket, outcome } }];
  }

  #finish(own: string, ended: ControlOutcome): ControlOutput[] {
    const held = this.#held.get(own);
    if (held === undefined) return [];
    this.#held.delete(own);
    return this.#answer(held.ticket, held.to, ended);
  }

  /** A command with what the head knows of storage machines; undefined while their silence may be the head's own. */
  #withSight(command: ControlCommand, now: number): ControlCommand | undefined {
    if (command.kind !== "empty" && command.kind !== "emptying") return command;
    const sight = emptying.sightOf(this.#sessions.live("storage", now), this.#policy);
    if (command.kind === "emptying") return { ...command, sight };
    if (command.wanted && this.#chain.serves && now < this.#planFrom) return undefined;
    return emptying.resolved(this.#feed, command, sight);
  }

  /** A runner's own word, told here; what is new in it goes to all at once, the rest with the registry; all of it where no majority is reached (§13.8). */
  announce(
    card: Omit<RunnerCard, "age">,
    sequence: number,
    now: number,
  ): { told: Announced; outputs: ControlOutput[] } {
    if (
      (this.#feed.read<Deregistration>(keys.goodbyeKey(card.id))?.incarnation ?? 0) >=
      card.incarnation
    )
      return { told: { kind: "SAID_GOODBYE" }, outputs: [] };
    const word: RunnerCard = { ...card, sequence, age: 0 };
    const { newer, news } = this.#sessions.announced(word, now);
    const inContact = this.inContact(now);
    const outputs: ControlOutput[] = [];
    /** Without contact, nodes may be reading the registry of a machine that never hears of this report. */
    if (news || (newer && !inContact)) {
      const message: ControlMessage = { kind: "runners", runners: [word] };
      for (const to of this.#agreement.addresses()) outputs.push({ kind: "send", to, message });
      for (const node of this.#sessions.live("access", now))
        outputs.push({ kind: "send", to: node.address, message });
    }
    return { told: { kind: inContact ? "TAKEN" : "NO_QUORUM" }, outputs };
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
    return [
      { kind: "note", text: "view decided", facts },
      ...this.#perform(this.#chain.adopt(view, now), now),
    ];
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
          news = true;
          break;
        case "restored":
          this.#feed.restore(command.place, command.records);
          news = true;
          break;
        case "result":
          outputs.push(...this.#chainResult(command.ticket, command.result, now));
          break;
      }
    }
    if (news) outputs.push(...this.#feedAll(now), ...this.#cover(now));
    return outputs;
  }

  #chainResult(
    own: string,
    result: Extract<ChainCommand, { kind: "result" }>["result"],
    now: number,
  ): ControlOutput[] {
    const held = this.#held.get(own);
    if (held === undefined) return [];
    if (result.kind === "elsewhere")
      return this.#finish(own, {
        kind: "not-run",
        reason: "this control machine is not the head, or the group has too few copies",
      });
    if (result.kind === "unknown") return this.#finish(own, { kind: "unknown" });
    held.result = { value: result.value as ControlResult, place: result.place };
    return this.#release(now);
  }

  /** A change is told as confirmed only when it is in force: all lease holders of all members have it (§7). */
  #release(now: number): ControlOutput[] {
    const outputs: ControlOutput[] = [];
    const covered = this.#coveredByAll(now);
    for (const [own, held] of this.#held) {
      if (
        held.result !== undefined &&
        held.result.place <= covered &&
        this.#fleetTook(held.result.place)
      )
        outputs.push(...this.#finish(own, { kind: "confirmed", ...held.result }));
    }
    return outputs;
  }

  /** The place that all holders of leases of all members have. */
  #coveredByAll(now: number): number {
    const view = this.#chain.view;
    if (view === undefined) return 0;
    const others = view.members.filter(({ identity }) => identity !== this.#self.identity);
    return this.#coverage.ofAll(others, this.#ownCover(now));
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
    if (place === 0) return [];
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
    for (const card of this.#sessions.followers(now)) outputs.push(...this.#newsFor(card));
    return outputs;
  }

  /** Answers a node's heartbeat: with a lease, where the node keeps up and this machine may grant one. */
  #session({ card, askedAt, back, rolled }: SessionMessage, now: number): ControlOutput[] {
    const late = lateness(back, this.#life, now);
    const { view } = this.#chain;
    if (
      view === undefined ||
      !this.#isMember ||
      !card.free ||
      this.#laggingNodes.isLagging(card, this.#feed.place, now)
    ) {
      const news = view === undefined || !this.#isMember ? [] : this.#newsFor(card);
      this.#sessions.heard(card, now, undefined, 0, late, askedAt);
      if (view === undefined) return [];
      const noLease = { askedAt: Number.NEGATIVE_INFINITY, place: 0, roll: emptyRegistry };
      return [...news, this.#answerTo(card, { view, ...noLease }, now)];
    }
    this.#sessions.heard(card, now, now + constants.leaseLasts, 0, late, askedAt);
    const roll = this.#registriesFor(card, rolled)
      ? this.#sessions.registryForNodes(now, card.identity)
      : emptyRegistry;
    const granted = { view, askedAt, place: this.#feed.place, roll };
    return [...this.#newsFor(card), this.#answerTo(card, granted, now), ...this.#cover(now)];
  }

  /** What a node still misses of the feed. */
  #newsFor(card: NodeCard): ControlOutput[] {
    const message = this.#feed.since(card.place);
    return message === undefined ? [] : [{ kind: "send", to: card.address, message }];
  }

  #answerTo(
    card: NodeCard,
    lease: Pick<LeaseMessage, "view" | "askedAt" | "place" | "roll">,
    now: number,
  ): ControlOutput {
    const message: LeaseMessage = {
      kind: "lease",
      identity: this.#self.identity,
      ...lease,
      controls: this.#agreement.addresses(),
      stamp: { life: this.#life, at: now },
    };
    return { kind: "send", to: card.address, message };
  }

  /** One member sends a node the registry; the others only where it got none lately (§4.3). */
  #registriesFor(card: NodeCard, rolled: number | undefined): boolean {
    const members = this.#chain.view!.members;
    return (
      rolled === undefined ||
      rolled >= constants.sessionEvery * 2 ||
      members[duty.spread(card.identity) % members.length]!.identity === this.#self.identity
    );
  }

  /** Time passes. */
  beat(now: number, wall: number): ControlOutput[] {
    this.#wall = wall;
    this.#putOffPlanning(now);
    const stuck = this.#chain.stuck(now)?.identity;
    return [
      ...this.#vote(this.#agreement.beat(now, this.#chain.copiedMark, stuck), now),
      ...this.#perform(this.#chain.beat(now), now),
      ...this.#cover(now),
      ...this.#callSilentNodes(now),
      ...this.#sendRegistry(now),
      ...this.#plan(now),
      ...this.#forget(now),
      ...this.#expireHeld(now),
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

  #sendRegistry(now: number): ControlOutput[] {
    if (now - this.#registryAt < constants.greetEvery) return [];
    this.#registryAt = now;
    const roll = this.#sessions.registry(now);
    const stamp: Stamp = { life: this.#life, at: now };
    const outputs: ControlOutput[] = [];
    for (const to of this.#agreement.addresses()) {
      const back = giveBack(this.#stamps.get(to), now);
      outputs.push({ kind: "send", to, message: { kind: "roll", roll, stamp, back } });
    }
    return outputs;
  }

  #forget(now: number): ControlOutput[] {
    if (now - this.#forgetAt <= constants.sessionLasts) return [];
    this.#forgetAt = now;
    this.#sessions.forget(now);
    this.#laggingNodes.forget(now);
    return [];
  }

  #expireHeld(now: number): ControlOutput[] {
    const outputs: ControlOutput[] = [];
    for (const [own, held] of [...this.#held])
      if (now - held.since > constants.confirmPatience)
        outputs.push(...this.#finish(own, { kind: "unknown" }));
    return outputs;
  }

  /** A node whose settings name only control machines that are gone is told where the group stands now (§13.8.4). */
  #callSilentNodes(now: number): ControlOutput[] {
    if (now - this.#calledSilentAt < constants.callSilentEvery) return [];
    this.#calledSilentAt = now;
    if (!this.#isMember) return [];
    const live = new Set<string>();
    for (const kind of ["access", "storage"] as const)
      for (const card of this.#sessions.live(kind, now)) live.add(card.address);
    const addresses = [this.#self.address, ...this.#agreement.addresses()];
    const outputs: ControlOutput[] = [];
    for (const to of this.#silentNodes.silent(live, recordedNodes(this.#feed), now))
      outputs.push({ kind: "send", to, message: { kind: "controls", addresses } });
    return outputs;
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

const emptyRegistry: RunnerRegistry = { nodes: [], runners: [] };
