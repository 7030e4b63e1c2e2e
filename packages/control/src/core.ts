import {
  Agreement,
  Chain,
  Feed,
  Sessions,
  constants,
  duty,
  giveBack,
  holdersOf,
  lateness,
  presentOf,
  policy,
  type Back,
  type ChainCommand,
  type ChainHolding,
  type ChainMessage,
  type ChainView,
  type ChainWrite,
  type DiskCondition,
  type FeedMessage,
  type PeerMessage,
  type Member,
  type NodeCard,
  type Policy,
  type RunnerCard,
  type RunnerRegistry,
  type Stamp,
  type ViewCommand,
  type ViewMessage,
  type VoteState,
} from "@chutewick/parts";
import { configuration, type MarkedConfiguration } from "./configuration.js";
import { explanations, type Asked, type Explained, type Known } from "./explain.js";
import { emptying } from "./emptying.js";
import { FleetPlan } from "./fleet-plan.js";
import { Forwarding, unwritable, type Ended } from "./forwarding.js";
import { keys } from "./keys.js";
import { QuorumContact } from "./quorum-contact.js";
import { published } from "./published.js";
import { SilentNodes, recordedNodes } from "./silent-nodes.js";
import { Pacer, type ShareReport, type Surroundings } from "./pace.js";
import {
  ControlMachine,
  type ControlCommand,
  type ControlResult,
  type FleetRecord,
  type Deregistration,
  type QueueStanding,
} from "./machine.js";

/** A control machine without I/O: chain, agreed view, feed, sessions, plans (docs/design.md §2, §4, §7, §8). */
export type ControlMessage =
  | ChainMessage
  | ViewMessage
  | FeedMessage
  | PeerMessage
  | {
      readonly kind: "session";
      readonly card: NodeCard;
      readonly askedAt: number;
      readonly back?: Back | null;
      readonly rolled?: number;
    }
  | {
      readonly kind: "lease";
      readonly identity: string;
      readonly view: ChainView;
      readonly askedAt: number;
      readonly place: number;
      readonly roll: RunnerRegistry;
      readonly controls: readonly string[];
      readonly stamp?: Stamp;
    }
  | {
      readonly kind: "roll";
      readonly roll: RunnerRegistry;
      readonly stamp?: Stamp;
      readonly back?: Back | null;
    }
  /** Runners heard of just now, told at once (§13.8). */
  | { readonly kind: "runners"; readonly runners: readonly RunnerCard[] }
  /** Where the control group stands, told to a node that is not heard (§13.8.4). */
  | { readonly kind: "controls"; readonly addresses: readonly string[] }
  | {
      readonly kind: "covered";
      readonly identity: string;
      readonly mark: number;
      readonly place: number;
    }
  | { readonly kind: "control-inquiry"; readonly ticket: string; readonly command: ControlCommand }
  | { readonly kind: "control-result"; readonly ticket: string; readonly outcome: ControlOutcome };

export type ControlOutcome =
  | { readonly kind: "confirmed"; readonly value: ControlResult; readonly place: number }
  /** Surely without effect. */
  | {
      readonly kind: "not-run";
      readonly reason: string;
      /** Set where the head's disk takes no writes. */
      readonly isUnwritable?: boolean;
    }
  | { readonly kind: "unknown" };

export type ControlOutput =
  | { readonly kind: "send"; readonly to: string; readonly message: ControlMessage }
  | {
      readonly kind: "write";
      readonly chain: string;
      readonly ticket: number;
      readonly write: ChainWrite;
    }
  | { readonly kind: "vote"; readonly ticket: number; readonly state: VoteState }
  | { readonly kind: "result"; readonly ticket: string; readonly result: ControlOutcome }
  | { readonly kind: "note"; readonly text: string; readonly facts: Record<string, unknown> };

/** A request entered here as the head. */
interface Held {
  readonly ticket: string;
  /** Set where the request came over the wire. */
  readonly to: string | undefined;
  readonly since: number;
  result: { value: ControlResult; place: number } | undefined;
}

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

/** What a runner is told that reported here. */
export type Announced =
  | { readonly kind: "TAKEN" }
  | { readonly kind: "SAID_GOODBYE" }
  /** Passed on to whoever is reached, and not acknowledged: no majority of control is. */
  | { readonly kind: "NO_QUORUM" };

const noView = "the control group has no view yet";
const tooSoon = "the head of the control group has not heard of all machines yet";
/** Why a machine without contact runs nothing. */
export const noQuorum = "this control machine reaches no majority of the control group";

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
  #coveredBy = new Map<string, number>();
  #coverFrom: number;
  #planAt = 0;
  /** No machine is taken out before: what is not heard may be this machine's own silence (§8.2). */
  #planFrom: number;
  #beatAt: number;
  #registryAt = 0;
  #forgetAt = 0;
  #moved = false;
  #fleetPlan = new FleetPlan();
  #wall = 0;
  #pacer: Pacer;
  /** Where and since when a node stands behind the feed. */
  #laggingSince = new Map<string, { at: number; place: number }>();
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
    this.#pacer = new Pacer(this.#policy);
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
    this.#coverFrom = now + constants.leaseLasts;
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
        return this.#session(
          message.card,
          message.askedAt,
          lateness(message.back, this.#life, now),
          message.rolled,
          now,
        );
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

  /** Machines being emptied, also under the identity that they got with a new disk. */
  #emptying(now: number): Set<string> {
    return new Set(emptying.machines(this.#feed, this.#sessions.live("storage", now)).keys());
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

  /**
   * Whether those who stay know of every lease that still counts (§7.2): no member left, or all had worked in the view before for
   * longer than a lease lasts, and every majority of it has one that stays.
   */
  #knowsGrants(next: ChainView, now: number): boolean {
    const before = this.#chain.view;
    if (
      before === undefined ||
      next.mark !== before.mark + 1 ||
      before.members.length < constants.copiesLeast ||
      next.members.length < constants.copiesLeast
    )
      return false;
    let staying = 0;
    for (const { identity } of before.members)
      if (next.members.some(hasIdentity, { identity })) staying += 1;
    if (staying === before.members.length) return true;
    const settled = this.#agreement.settledBefore;
    return (
      settled !== undefined &&
      now - settled > constants.leaseLasts + constants.sleptLeast &&
      staying >= before.members.length / 2
    );
  }

  #vote(commands: ViewCommand[], now: number): ControlOutput[] {
    const outputs: ControlOutput[] = [];
    for (const command of commands) {
      if (command.kind === "decided") {
        if (!this.#knowsGrants(command.view, now)) this.#coverFrom = now + constants.leaseLasts;
        this.#coveredBy.clear();
        outputs.push({
          kind: "note",
          text: "view decided",
          facts: {
            mark: command.view.mark,
            members: command.view.members.length,
            joiner: command.view.joiner?.identity,
          },
        });
        outputs.push(...this.#perform(this.#chain.adopt(command.view, now), now));
      } else if (command.kind === "send" && command.to === this.#self.address) {
        outputs.push(
          ...this.#vote(this.#agreement.receive(command.message, this.#self.address, now), now),
        );
      } else outputs.push(command);
    }
    return outputs;
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
    let covered = this.#ownCover(now);
    for (const { identity } of view.members)
      if (identity !== this.#self.identity)
        covered = Math.min(covered, this.#coveredBy.get(identity) ?? 0);
    return covered;
  }

  #ownCover(now: number): number {
    return now < this.#coverFrom ? 0 : this.#sessions.covered(this.#feed.place, now);
  }

  /** Without this, a majority of nodes that cannot hear control might go on by each other's promises (§7.4). */
  #fleetTook(place: number): boolean {
    /** Nodes that go on alone promise nothing to each other (§13.3). */
    if (this.#policy.goesOnAlone) return true;
    const fleet = this.#feed.read<FleetRecord>(keys.fleet);
    return (
      fleet === undefined ||
      (this.#majorityTook(fleet.addresses, place) && this.#majorityTook(fleet.previous, place))
    );
  }

  #majorityTook(addresses: readonly string[], place: number): boolean {
    let count = 0;
    for (const address of addresses) if (this.#sessions.taken(address) >= place) count += 1;
    return addresses.length === 0 || count > addresses.length / 2;
  }

  #planFleet(now: number): ControlOutput[] {
    const nodes = [...this.#sessions.live("access", now), ...this.#sessions.live("storage", now)];
    const self = this;
    function isInForce(place: number): boolean {
      return place <= self.#coveredByAll(now) && self.#fleetTook(place);
    }
    const record = this.#feed.read<FleetRecord>(keys.fleet);
    const known = { record, place: this.#feed.place };
    const fleet = this.#fleetPlan.next(known, nodes, isInForce, now);
    return fleet === undefined ? [] : this.#command({ kind: "fleet", fleet }, now);
  }

  #coveredFrom(identity: string, mark: number, place: number, now: number): ControlOutput[] {
    if (mark !== this.#chain.view?.mark) return [];
    this.#coveredBy.set(identity, Math.max(place, this.#coveredBy.get(identity) ?? 0));
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
    for (const card of this.#sessions.followers(now)) {
      const message = this.#feed.since(card.place);
      if (message !== undefined) outputs.push({ kind: "send", to: card.address, message });
    }
    return outputs;
  }

  #session(
    card: NodeCard,
    askedAt: number,
    late: number,
    rolled: number | undefined,
    now: number,
  ): ControlOutput[] {
    const stamp: Stamp = { life: this.#life, at: now };
    const view = this.#chain.view;
    if (view === undefined || !this.#isMember || !card.free || this.#lags(card, now)) {
      const news = view === undefined || !this.#isMember ? undefined : this.#feed.since(card.place);
      this.#sessions.heard(card, now, undefined, 0, late, askedAt);
      const controls = this.#agreement.addresses();
      const told: ControlOutput[] =
        news === undefined ? [] : [{ kind: "send", to: card.address, message: news }];
      return view === undefined
        ? []
        : [
            ...told,
            {
              kind: "send",
              to: card.address,
              message: {
                kind: "lease",
                identity: this.#self.identity,
                view,
                askedAt: Number.NEGATIVE_INFINITY,
                place: 0,
                roll: { nodes: [], runners: [] },
                controls,
                stamp,
              },
            },
          ];
    }
    this.#sessions.heard(card, now, now + constants.leaseLasts, 0, late, askedAt);
    const outputs: ControlOutput[] = [];
    const news = this.#feed.since(card.place);
    if (news !== undefined) outputs.push({ kind: "send", to: card.address, message: news });
    outputs.push({
      kind: "send",
      to: card.address,
      message: {
        kind: "lease",
        identity: this.#self.identity,
        view,
        askedAt,
        place: this.#feed.place,
        roll: this.#registriesFor(card, rolled)
          ? this.#sessions.registryForNodes(now, card.identity)
          : nothing,
        controls: this.#agreement.addresses(),
        stamp,
      },
    });
    outputs.push(...this.#cover(now));
    return outputs;
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

  /** A node that does not keep up loses its lease here rather than hold up a change. */
  #lags(card: NodeCard, now: number): boolean {
    if (card.place >= this.#feed.place) {
      this.#laggingSince.delete(card.identity);
      return false;
    }
    const since = this.#laggingSince.get(card.identity);
    if (since === undefined || since.place <= card.place - 1) {
      this.#laggingSince.set(card.identity, { at: now, place: card.place });
      return false;
    }
    return now - since.at > constants.lagLasts;
  }

  beat(now: number, wall: number): ControlOutput[] {
    this.#wall = wall;
    if (
      now - this.#beatAt > constants.sleptLeast ||
      !this.#agreement.isNear(now) ||
      !this.#sessions.hearsAny(now)
    )
      this.#planFrom = Math.max(this.#planFrom, now + constants.sessionEvery * 2);
    this.#beatAt = now;
    const outputs: ControlOutput[] = [];
    const stuck = this.#chain.stuck(now)?.identity;
    outputs.push(...this.#vote(this.#agreement.beat(now, this.#chain.copiedMark, stuck), now));
    outputs.push(...this.#perform(this.#chain.beat(now), now));
    outputs.push(...this.#cover(now));
    if (now - this.#calledSilentAt >= constants.callSilentEvery) {
      this.#calledSilentAt = now;
      outputs.push(...this.#callSilentNodes(now));
    }
    if (now - this.#registryAt >= constants.greetEvery) {
      this.#registryAt = now;
      const registry = this.#sessions.registry(now);
      for (const to of this.#agreement.addresses())
        outputs.push({
          kind: "send",
          to,
          message: {
            kind: "roll",
            roll: registry,
            stamp: { life: this.#life, at: now },
            back: giveBack(this.#stamps.get(to), now),
          },
        });
    }
    if (now - this.#planAt >= constants.planEvery) {
      this.#planAt = now;
      outputs.push(...this.#plan(now));
    }
    if (now - this.#forgetAt > constants.sessionLasts) {
      this.#forgetAt = now;
      this.#sessions.forget(now);
      for (const [identity, since] of this.#laggingSince)
        if (now - since.at > constants.sessionLasts * 8) this.#laggingSince.delete(identity);
    }
    for (const [own, held] of [...this.#held])
      if (now - held.since > constants.confirmPatience)
        outputs.push(...this.#finish(own, { kind: "unknown" }));
    outputs.push(...this.#forwardAgain(now));
    return outputs;
  }

  /** A node whose settings name only control machines that are gone is told where the group stands now (§13.8.4). */
  #callSilentNodes(now: number): ControlOutput[] {
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

  /** The head's duty: place queues, take the lost and the slow out, bring copies up (§8.2). */
  #plan(now: number): ControlOutput[] {
    const outputs: ControlOutput[] = [];
    if (
      !this.#isWritable ||
      !this.#chain.serves ||
      this.#chain.confirmed !== this.#chain.place ||
      now < this.#planFrom
    )
      return outputs;
    if (!this.#policy.goesOnAlone) outputs.push(...this.#planFleet(now));
    for (const [, deregistration] of this.#feed.under<Deregistration>(keys.goodbye)) {
      if (deregistration.at + constants.deregistrationKept > this.#chain.time(now)) continue;
      outputs.push(...this.#command({ kind: "forget-goodbyes" }, now));
      break;
    }
    const live = this.#sessions.live("storage", now);
    const byIdentity = new Map<string, NodeCard>();
    for (const card of live) byIdentity.set(card.identity, card);
    const toEmpty = this.#emptying(now);
    const marked = configuration.read(this.#feed.read<MarkedConfiguration>(keys.configuration));
    const wanted = new Set<string>();
    for (const plan of configuration.queues(marked.value, this.#policy)) wanted.add(plan.queue);
    for (const queue of wanted) {
      if (this.#feed.read(keys.queue + queue) !== undefined) continue;
      const able: string[] = [];
      for (const card of live)
        if (!toEmpty.has(card.identity) && !card.leaving) able.push(card.identity);
      if (able.length < this.#policy.copiesLeast) continue;
      const members: Member[] = [];
      for (const identity of spreadOverZones(duty.rank(queue, able), byIdentity).slice(
        0,
        this.#policy.copiesWanted,
      ))
        members.push({ identity, address: byIdentity.get(identity)!.address });
      outputs.push(...this.#command({ kind: "place", queue, view: { mark: 1, members } }, now));
    }
    for (const [queue, standing] of this.#pacer.plan({
      value: marked.value,
      ...this.#surroundings(live, now),
    })) {
      outputs.push(...this.#command({ kind: "stand", queue, standing }, now));
    }
    this.#moved = false;
    for (const [key, view] of this.#feed.under<ChainView>(keys.queue)) {
      const queue = key.slice(keys.queue.length);
      const next = this.#review(queue, view, byIdentity, toEmpty);
      if (next !== undefined)
        outputs.push(...this.#command({ kind: "review", queue, view: next }, now));
    }
    return outputs;
  }

  #surroundings(storage: readonly NodeCard[], now: number): Omit<Surroundings, "value"> {
    const standings = new Map<string, QueueStanding>();
    for (const [key, standing] of this.#feed.under<QueueStanding>(keys.standing))
      standings.set(key.slice(keys.standing.length), standing);
    const reports = new Map<string, ShareReport>();
    for (const card of storage) {
      for (const [queue, shareMark, held, need, classes] of card.telling.shares ?? []) {
        /** Only the owner's word counts, and of two only that under the newer share. */
        if (this.#feed.read<ChainView>(keys.queue + queue)?.members[0]?.identity !== card.identity)
          continue;
        const told = new Map<string, { held: number; need: number }>();
        for (const [season, heldOf, needOf] of classes ?? [
          [standings.get(queue)?.season ?? "", held, need] as const,
        ])
          told.set(season, { held: heldOf, need: needOf });
        reports.set(queue, { shareMark, classes: told });
      }
    }
    return {
      now,
      wall: this.#wall,
      standings,
      reports,
      runners: this.#sessions.registry(now).runners,
      access: this.#sessions.live("access", now),
    };
  }

  #command(command: ControlCommand, now: number): ControlOutput[] {
    return this.#perform(this.#chain.inquire(`plan/${now}`, command, now), now);
  }

  #review(
    queue: string,
    view: ChainView,
    live: ReadonlyMap<string, NodeCard>,
    toEmpty: ReadonlySet<string>,
  ): ChainView | undefined {
    const mark = view.mark + 1;
    const joiner = view.joiner;
    const joinerCard = joiner === undefined ? undefined : live.get(joiner.identity);
    /** Where the members are too few to confirm, those that confirmed last go on as soon as they are back (§1.5). */
    const alive = presentOf(view, live);
    /** One that stops as planned leaves at once, as long as two stay. */
    const staying: Member[] = [];
    for (const member of alive) if (!live.get(member.identity)!.leaving) staying.push(member);
    const keep = joinerCard === undefined ? {} : { joiner };
    const holding = view.holders === undefined ? {} : { holders: view.holders };
    if (staying.length < alive.length && staying.length >= this.#policy.copiesLeast)
      return { mark, members: staying, ...keep };
    if (alive.length !== view.members.length || !alive.every(isOf, view.members)) {
      return alive.length >= this.#policy.copiesLeast
        ? { mark, members: alive, ...keep }
        : this.#lone(view, alive, live, toEmpty);
    }
    for (const card of live.values()) {
      for (const [stuckQueue, stuckMark, identity] of card.telling.stuck ?? []) {
        if (stuckQueue !== queue || stuckMark !== view.mark) continue;
        if (identity === joiner?.identity) return { mark, members: view.members, ...holding };
        if (view.members.length <= this.#policy.copiesLeast) continue;
        const members: Member[] = [];
        for (const member of view.members) if (member.identity !== identity) members.push(member);
        if (members.length < view.members.length) return { mark, members, ...keep };
      }
    }
    if (joiner !== undefined) {
      if (joinerCard === undefined) return { mark, members: view.members, ...holding };
      for (const [copiedQueue, copiedMark] of joinerCard.telling.copied ?? []) {
        if (copiedQueue === queue && copiedMark === view.mark)
          return { mark, members: [...view.members, joiner] };
      }
      return undefined;
    }
    const leaving = view.members.find(isIn, toEmpty);
    if (view.members.length > this.#policy.copiesWanted) {
      const doubled = sharingZone(view.members, live);
      const surplus = leaving ?? this.#mostBurdened(doubled.length > 0 ? doubled : view.members);
      const members: Member[] = [];
      for (const member of view.members)
        if (member.identity !== surplus.identity) members.push(member);
      return { mark, members };
    }
    const able: string[] = [];
    for (const card of live.values())
      if (
        !card.leaving &&
        !toEmpty.has(card.identity) &&
        !view.members.some(hasIdentity, { identity: card.identity })
      )
        able.push(card.identity);
    /** Nowhere to copy to: one that is emptied leaves as long as enough stay. */
    if (able.length === 0) {
      if (leaving === undefined || view.members.length <= this.#policy.copiesLeast)
        return undefined;
      const members: Member[] = [];
      for (const member of view.members)
        if (member.identity !== leaving.identity) members.push(member);
      return { mark, members };
    }
    const counted = leaving === undefined ? view.members.length : view.members.length - 1;
    const ranked = duty.rank(queue, able);
    const zones = zonesOf(view.members, live);
    let identity = ranked[0]!;
    for (const other of ranked) {
      const [otherNew, heldNew] = [
        !zones.has(live.get(other)!.zone),
        !zones.has(live.get(identity)!.zone),
      ];
      if (otherNew !== heldNew ? otherNew : this.#queuesAt(other) < this.#queuesAt(identity))
        identity = other;
    }
    /** Two copies in one zone while another zone has a place: that comes before balance (§8.2). */
    const { zone } = live.get(identity)!;
    const gainsZone = sharingZone(view.members, live).length > 0 && !zones.has(zone);
    /** A move within a zone takes the place of a machine of that zone; else zones would be doubled and mended in turn. */
    const rivals: Member[] = [];
    for (const member of view.members)
      if (!zones.has(zone) || live.get(member.identity)!.zone === zone) rivals.push(member);
    /** Balance: one queue at a time goes from the machine with most to the one with fewest. */
    if (
      counted >= this.#policy.copiesWanted &&
      (this.#moved ||
        this.#copying() ||
        (!gainsZone &&
          this.#queuesAt(this.#mostBurdened(rivals).identity) - this.#queuesAt(identity) < 2))
    )
      return undefined;
    if (counted >= this.#policy.copiesWanted) this.#moved = true;
    return {
      mark,
      members: view.members,
      ...holding,
      joiner: { identity, address: live.get(identity)!.address },
    };
  }

  #queuesAt(identity: string): number {
    let count = 0;
    for (const [, view] of this.#feed.under<ChainView>(keys.queue))
      if (view.members.some(hasIdentity, { identity }) || view.joiner?.identity === identity)
        count += 1;
    return count;
  }

  #copying(): boolean {
    for (const [, view] of this.#feed.under<ChainView>(keys.queue))
      if (view.joiner !== undefined || view.members.length !== this.#policy.copiesWanted)
        return true;
    return false;
  }

  /** The member whose machine keeps most queues; the owner only if it alone does, since moving it costs a pause. */
  #mostBurdened(members: readonly Member[]): Member {
    let most = members.at(-1)!;
    for (const member of [...members].reverse())
      if (this.#queuesAt(member.identity) > this.#queuesAt(most.identity)) most = member;
    return most;
  }

  /** Too few copies left to confirm: each holds all that was confirmed, serves nothing, and is copied from; who comes back goes on at once (§1.5, §8.2). */
  #lone(
    view: ChainView,
    alive: readonly Member[],
    live: ReadonlyMap<string, NodeCard>,
    toEmpty: ReadonlySet<string>,
  ): ChainView | undefined {
    const holders = holdersOf(view);
    const able: string[] = [];
    for (const identity of live.keys())
      if (!toEmpty.has(identity) && !holders.some(hasIdentity, { identity })) able.push(identity);
    if (alive.length === 0 || able.length === 0) return undefined;
    const joiner =
      view.joiner !== undefined && live.has(view.joiner.identity)
        ? view.joiner
        : { identity: able.sort()[0]!, address: live.get(able[0]!)!.address };
    return { mark: view.mark + 1, members: alive, joiner, holders };
  }

  #known(now: number): Known {
    const marked = configuration.read(this.#feed.read<MarkedConfiguration>(keys.configuration));
    return { value: marked.value, ...this.#surroundings(this.#sessions.live("storage", now), now) };
  }

  explain(asked: Asked, now: number): Explained {
    return explanations.explain(asked, this.#known(now));
  }

  preview(season: unknown, now: number): Explained {
    return explanations.preview(season, this.#known(now));
  }

  /** For operators. */
  status(now: number): Record<string, unknown> {
    const registry = this.#sessions.registry(now);
    const queues: Record<string, unknown> = {};
    for (const [key, view] of this.#feed.under<ChainView>(keys.queue))
      queues[key.slice(keys.queue.length)] = view;
    const progress: Record<string, unknown> = {};
    for (const [key] of this.#feed.under(keys.emptying))
      progress[key.slice(keys.emptying.length)] = {
        queuesLeft: this.#queuesAt(key.slice(keys.emptying.length)),
      };
    return {
      self: this.#self,
      place: this.#feed.place,
      configuration: this.#feed.read<MarkedConfiguration>(keys.configuration)?.mark ?? 0,
      view: this.#chain.view,
      head: this.#chain.isHead,
      /** Whether a majority of control is reached; where not, all of this is what was known before. */
      quorum: this.inContact(now),
      disk: this.#disk,
      nodes: registry.nodes.map(cardOf),
      runners: registry.runners,
      queues,
      standings: this.#standings(now),
      emptying: progress,
      safeToLoseOne: this.#safe(now),
      safeToLoseZone: this.#zoneless(now),
    };
  }

  #standings(now: number): Record<string, unknown> {
    const { standings, reports } = this.#surroundings(this.#sessions.live("storage", now), now);
    const told: Record<string, unknown> = {};
    for (const [queue, standing] of standings)
      told[queue] = { ...standing, report: reportOf(reports.get(queue)) };
    return told;
  }

  /** For each zone, why its loss would leave a queue fewer than two copies; true where none would. */
  #zoneless(now: number): true | Record<string, string> {
    const live = new Map<string, NodeCard>();
    for (const card of this.#sessions.live("storage", now)) live.set(card.identity, card);
    const told: Record<string, string> = {};
    for (const [key, view] of this.#feed.under<ChainView>(keys.queue)) {
      for (const zone of zonesOf(view.members, live)) {
        let others = 0;
        for (const member of view.members)
          if (live.has(member.identity) && live.get(member.identity)!.zone !== zone) others += 1;
        if (others < this.#policy.copiesLeast)
          told[zone] = `${key.slice(keys.queue.length)} has ${others} copies outside`;
      }
    }
    return Object.keys(told).length === 0 ? true : told;
  }

  #safe(now: number): boolean {
    const view = this.#chain.view;
    if (view === undefined || view.members.length < this.#policy.copiesWanted) return false;
    const live = new Set<string>();
    for (const card of this.#sessions.live("storage", now)) live.add(card.identity);
    for (const [, queue] of this.#feed.under<ChainView>(keys.queue)) {
      let copies = 0;
      for (const member of queue.members) if (live.has(member.identity)) copies += 1;
      if (copies < this.#policy.copiesWanted) return false;
    }
    return true;
  }
}

function resultOf({ ticket, outcome }: Ended): ControlOutput {
  return { kind: "result", ticket, result: outcome };
}

const nothing: RunnerRegistry = { nodes: [], runners: [] };

function cardOf(node: RunnerRegistry["nodes"][number]): Record<string, unknown> {
  const { telling: _telling, ...card } = node.card;
  return { ...card, age: Math.round(node.age) };
}

function zonesOf(members: readonly Member[], live: ReadonlyMap<string, NodeCard>): Set<string> {
  const zones = new Set<string>();
  for (const member of members)
    if (live.has(member.identity)) zones.add(live.get(member.identity)!.zone);
  return zones;
}

/** The members that stand in a zone with another. */
function sharingZone(members: readonly Member[], live: ReadonlyMap<string, NodeCard>): Member[] {
  const byZone = new Map<string, Member[]>();
  for (const member of members) {
    const zone = live.get(member.identity)?.zone;
    if (zone === undefined) continue;
    const held = byZone.get(zone) ?? [];
    held.push(member);
    byZone.set(zone, held);
  }
  const found: Member[] = [];
  for (const held of byZone.values()) if (held.length > 1) found.push(...held);
  return found;
}

/** In the same order, but the first of each zone before the second of any. */
function spreadOverZones(ranked: readonly string[], live: ReadonlyMap<string, NodeCard>): string[] {
  const first: string[] = [];
  const others: string[] = [];
  const zones = new Set<string>();
  for (const identity of ranked) {
    const { zone } = live.get(identity)!;
    (zones.has(zone) ? others : first).push(identity);
    zones.add(zone);
  }
  return [...first, ...others];
}

function reportOf(report: ShareReport | undefined): Record<string, unknown> | undefined {
  return report === undefined
    ? undefined
    : { shareMark: report.shareMark, classes: Object.fromEntries(report.classes) };
}

function isIn(this: ReadonlySet<string>, member: Member): boolean {
  return this.has(member.identity);
}

function isOf(this: readonly Member[], member: Member, place: number): boolean {
  return this[place]!.identity === member.identity;
}

function hasIdentity(this: { identity: string }, member: Member): boolean {
  return member.identity === this.identity;
}
