import {
  Follower,
  Lease,
  constants,
  heldFor,
  giveBack,
  holdersOf,
  isNewerWord,
  policy,
  type Policy,
  type PeerMessage,
  type NodeCard,
  type RunnerRegistry,
  type RunnerCard,
  type Stamp,
  type Telling,
} from "@chutewick/parts";
import {
  configurationIn,
  keys,
  type ControlMessage,
  type FleetRecord,
  type Deregistration,
  type LeaseMessage,
  type MarkedConfiguration,
} from "@chutewick/control";

import { FeedProgress } from "./feed-progress.js";
import { heartbeatInterval } from "./heartbeat-interval.js";
import { RecentAsks } from "./recent-asks.js";

/** How a node of the data plane stands with the control group: session, feed, lease (docs/design.md §4, §7). */
export interface Standing {
  readonly identity: string;
  readonly address: string;
  readonly kind: "access" | "storage";
  readonly zone: string;
  /** Its name in the deployment. */
  readonly name?: string;
  readonly http: string;
}

export interface Send {
  readonly kind: "send";
  readonly to: string;
  readonly message: ControlMessage;
}

/** By what a node takes new work and gives definite answers. */
export type WorkGround = "lease" | "permit" | "none";

/** How a node stands with control at a moment. */
export interface MembershipReport {
  /** Of the configuration that it goes by. */
  readonly version: number;
  /** In the feed. */
  readonly place: number;
  readonly ground: WorkGround;
  /** Mark of the newest view that it knows. */
  readonly view: number | undefined;
  /** Control machines whose leases count. */
  readonly granters: readonly string[];
  /** ms since the heartbeat was sent that each control machine answered last. */
  readonly heardBefore: Readonly<Record<string, number>>;
}

export class Membership {
  readonly follower = new Follower();
  readonly feedProgress = new FeedProgress();
  #lease = new Lease();
  #standing: Standing;
  #controls: Set<string>;
  #seeds: readonly string[];
  #registry: RunnerRegistry = { nodes: [], runners: [] };
  #registryAt = Number.NEGATIVE_INFINITY;
  #saidHere = new Map<string, number>();
  /** ms. When the last heartbeat was sent that a control machine answered, by its identity. */
  #heardAt = new Map<string, number>();
  /** Heartbeats to control, and questions to other nodes. */
  readonly #heartbeats = new RecentAsks();
  readonly #peerAsks = new RecentAsks();
  /** Runners that peers told of. */
  #told = new Map<string, { card: RunnerCard; heardAt: number }>();
  #askedAt = Number.NEGATIVE_INFINITY;
  #promises = new Set<string>();
  #permitUntil = Number.NEGATIVE_INFINITY;
  /** A lease was held in this life: only from then on does this node know all that was confirmed before (§7.4). */
  #heldLease = false;
  /** A life before this one may have promised. */
  #promisedUntil: number;
  #leaving = false;
  #toldAt = Number.NEGATIVE_INFINITY;
  /** The last stamp of each control machine. */
  #stamps = new Map<string, { stamp: Stamp; at: number }>();
  #telling: () => Telling;
  #policy: Policy;

  constructor(
    standing: Standing,
    seeds: readonly string[],
    now: number,
    telling: () => Telling,
    chosen: Policy = policy.usual,
  ) {
    this.#policy = chosen;
    this.#promisedUntil = chosen.goesOnAlone
      ? Number.NEGATIVE_INFINITY
      : now + constants.permitLasts;
    this.#standing = standing;
    this.#seeds = seeds;
    this.#controls = new Set(seeds);
    this.#telling = telling;
  }

  get identity(): string {
    return this.#standing.identity;
  }
  get address(): string {
    return this.#standing.address;
  }
  get zone(): string {
    return this.#standing.zone;
  }
  /** ms, monotonic. When the last heartbeats were sent. */
  get toldAt(): number {
    return this.#toldAt;
  }
  get registry(): RunnerRegistry {
    return this.#registry;
  }
  get configuration(): MarkedConfiguration {
    return configurationIn(this.follower);
  }
  /** Where changes to control state are entered. */
  get head(): string | undefined {
    return this.#lease.view?.members[0]?.address;
  }

  /** From now on this node hands over what it does. */
  leave(now: number): Send[] {
    this.#leaving = true;
    return this.tell(now);
  }

  /** This node takes up its part again after it had left. */
  stay(now: number): Send[] {
    this.#leaving = false;
    return this.tell(now);
  }

  /** Whether new work may be taken at this moment. */
  holds(now: number): boolean {
    return (
      this.follower.place > 0 &&
      (this.#lease.holds(now, this.follower.place) || now < this.#permitUntil)
    );
  }

  /** For the log. */
  report(now: number): MembershipReport {
    const { place } = this.follower;
    const heardBefore: Record<string, number> = {};
    for (const [identity, at] of this.#heardAt) heardBefore[identity] = Math.round(now - at);
    return {
      version: this.configuration.mark,
      place,
      ground: this.ground(now),
      view: this.#lease.view?.mark,
      granters: this.#lease.granters(now, place),
      heardBefore,
    };
  }

  /** By what it takes new work now. */
  ground(now: number): WorkGround {
    if (!this.holds(now)) return "none";
    return this.#lease.holds(now, this.follower.place) ? "lease" : "permit";
  }

  /** Whether live work on passages may begin: also on what is known, where the deployment lets a node go on alone (§13.3). */
  serves(now: number): boolean {
    return this.configuration.mark > 0 && (this.#policy.goesOnAlone || this.holds(now));
  }

  get policy(): Policy {
    return this.#policy;
  }

  /** Whether a majority of the control group was heard lately. */
  isNear(now: number): boolean {
    const view = this.#lease.view;
    if (view === undefined) return true;
    let heard = 0;
    const granters = holdersOf(view);
    for (const { identity } of granters)
      if (now - (this.#heardAt.get(identity) ?? Number.NEGATIVE_INFINITY) <= constants.nearLasts)
        heard += 1;
    return heard > granters.length / 2;
  }

  get #peers(): readonly string[] {
    return this.follower.read<FleetRecord>(keys.fleet)?.addresses ?? [];
  }

  /** Asks and promises among nodes while control is away (§7.4). */
  peer(message: PeerMessage, from: string, now: number): Send[] {
    if (message.kind === "fellow-ask") {
      const promises = !this.#policy.goesOnAlone && this.#heldLease && !this.isNear(now);
      if (promises) this.#promisedUntil = now + constants.permitLasts;
      return [
        {
          kind: "send",
          to: from,
          message: {
            kind: "fellow-tell",
            askedAt: message.askedAt,
            place: this.follower.place,
            promises,
            runners: this.#telling().runners ?? [],
            closed: [...this.#saidHere],
          },
        },
      ];
    }
    /** No older than from the asking: the telling came after it. */
    if (this.#peerAsks.includes(message.askedAt))
      for (const card of message.runners) this.heardRunner(card, message.askedAt - card.age);
    for (const [runner, incarnation] of message.closed) this.close(runner, incarnation);
    if (message.askedAt !== this.#askedAt || !message.promises) return [];
    /** One that knows more shows that a change was confirmed that this node never heard of. */
    if (message.place > this.follower.place) {
      this.#askedAt = Number.NEGATIVE_INFINITY;
      return [];
    }
    this.#promises.add(from);
    if (this.#isPromisedByMajority)
      this.#permitUntil = Math.max(
        this.#permitUntil,
        this.#askedAt + heldFor(constants.permitLasts),
      );
    return [];
  }

  /** By the fleet as it is known now: it may have changed since the asking, and others' promises hold no change up. */
  get #isPromisedByMajority(): boolean {
    const peers = this.#peers;
    const promising = peers.filter((address) => this.#promises.has(address));
    return promising.length > peers.length / 2;
  }

  /** A deregistration goes to all nodes at once, before control has confirmed it (§7.5). */
  spread(): Send[] {
    const told = new Set<string>(this.#peers);
    for (const card of this.live("access")) told.add(card.address);
    told.delete(this.address);
    const sends: Send[] = [];
    for (const to of told)
      sends.push({
        kind: "send",
        to,
        message: {
          kind: "fellow-tell",
          askedAt: Number.NEGATIVE_INFINITY,
          place: this.follower.place,
          promises: false,
          runners: [],
          closed: [...this.#saidHere],
        },
      });
    return sends;
  }

  #askPeers(now: number): Send[] {
    if (this.#policy.goesOnAlone) return [];
    const peers = this.#peers;
    if (
      this.isNear(now) ||
      !this.#heldLease ||
      !peers.includes(this.address) ||
      now - this.#askedAt < constants.sessionEvery
    )
      return [];
    this.#askedAt = now;
    this.#peerAsks.asked(now);
    this.#promisedUntil = now + constants.permitLasts;
    this.#promises = new Set([this.address]);
    const sends: Send[] = [];
    for (const to of peers)
      if (to !== this.address)
        sends.push({
          kind: "send",
          to,
          message: { kind: "fellow-ask", askedAt: now, place: this.follower.place },
        });
    return sends;
  }

  leaseLeft(now: number): number {
    return Math.max(0, this.#lease.until(this.follower.place) - now);
  }

  /** A deregistration closes this life of the runner and every earlier one, which may stand at the same address (§7.5). */
  isClosed(runner: string, incarnation: number): boolean {
    return (
      incarnation <=
      Math.max(
        this.follower.read<Deregistration>(keys.goodbyeKey(runner))?.incarnation ?? 0,
        this.#saidHere.get(runner) ?? 0,
      )
    );
  }

  /** A deregistration sent here counts here at once. */
  close(runner: string, incarnation: number): void {
    this.#saidHere.set(runner, Math.max(incarnation, this.#saidHere.get(runner) ?? 0));
  }

  /** A word of a runner that came here not by control. */
  heardRunner(card: RunnerCard, heardAt: number): void {
    const held = this.#told.get(card.id);
    if (held === undefined || isNewerWord(card, heardAt, held.card, held.heardAt))
      this.#told.set(card.id, { card, heardAt });
  }

  /** Whether a life of a runner was heard of lately and has not deregistered: asked again before the first byte. */
  isStanding(runner: string, incarnation: number, now: number): boolean {
    const held = this.#newestWord(runner, now);
    return (
      held !== undefined &&
      held.incarnation === incarnation &&
      now - held.heardAt <= this.#runnersLast(now) &&
      !this.isClosed(runner, incarnation)
    );
  }

  /** The newest word of a runner, from control or from elsewhere; heardAt in ms. */
  #newestWord(runner: string, now: number): (RunnerCard & { heardAt: number }) | undefined {
    const card = this.#registry.runners.find(({ id }) => id === runner);
    const listed = card && { ...card, heardAt: this.#registryAt - card.age };
    const told = this.#told.get(runner);
    if (told === undefined || now - told.heardAt > this.#forgetsRunnersAfter) return listed;
    if (listed !== undefined && !isNewerWord(told.card, told.heardAt, listed, listed.heardAt))
      return listed;
    return { ...told.card, heardAt: told.heardAt };
  }

  /** ms. A word of a runner that is older than this says nothing any more. */
  get #forgetsRunnersAfter(): number {
    return this.#policy.runnerLasts * constants.aloneTimes;
  }

  /**
   * ms since its last word for which a runner counts as there. Cut off from control, a node goes on with the runners that it
   * knew: those gone since are not reached, or say that they are others (§13.4).
   */
  #runnersLast(now: number): number {
    const isAlone = this.#policy.goesOnAlone && !this.isNear(now);
    return isAlone ? this.#forgetsRunnersAfter : this.#policy.runnerLasts;
  }

  runners(now: number): RunnerCard[] {
    const found: RunnerCard[] = [];
    const known = new Map<string, RunnerCard>();
    for (const card of this.#registry.runners)
      known.set(card.id, { ...card, age: card.age + now - this.#registryAt });
    for (const { card, heardAt } of this.#told.values()) {
      const held = known.get(card.id);
      const age = now - heardAt;
      if (age > this.#forgetsRunnersAfter) this.#told.delete(card.id);
      if (held === undefined || isNewerWord(card, heardAt, held, now - held.age))
        known.set(card.id, { ...card, age });
    }
    const lasts = this.#runnersLast(now);
    for (const card of known.values())
      if (card.age <= lasts && !this.isClosed(card.id, card.incarnation)) found.push(card);
    return found;
  }

  live(kind: NodeCard["kind"]): NodeCard[] {
    const found: NodeCard[] = [];
    for (const { card, age } of this.#registry.nodes)
      if (card.kind === kind && !card.leaving && age <= constants.sessionLasts) found.push(card);
    return found;
  }

  /** True when the feed brought something new. */
  receive(message: ControlMessage, from: string, now: number): boolean {
    if (message.kind === "feed" || message.kind === "feed-digest")
      return this.follower.receive(message);
    /** Runners that control heard of just now; ages in it count from here, as deregistrations are confirmed before they are told (§13.8). */
    if (message.kind === "runners")
      for (const card of message.runners) this.heardRunner(card, now - card.age);
    /** No sign of nearness: whoever says so does not hear this node. */
    if (message.kind === "controls")
      for (const address of message.addresses) this.#controls.add(address);
    if (message.kind === "lease") this.#receiveLease(message, from, now);
    return false;
  }

  #receiveLease(message: LeaseMessage, from: string, now: number): void {
    this.feedProgress.heard(message.place, this.follower.place, now);
    this.#learnControls(message);
    const { identity, view, place, roll, stamp } = message;
    const answered = message.answers ?? message.askedAt;
    /** A release that does not say what it answers grants nothing by such a message. */
    const isUntold = answered === Number.NEGATIVE_INFINITY;
    /** What answers an earlier life of this process grants this one nothing, and neither does what comes so late. */
    if (!isUntold && !this.#heartbeats.includes(answered)) return;
    this.#heard(identity, isUntold ? now : answered);
    this.#lease.granted(identity, view, message.askedAt, place);
    this.#heldLease ||= this.#lease.holds(now, this.follower.place);
    if (stamp !== undefined) this.#stamps.set(from, { stamp, at: now });
    /** Ages in it count from the asking, before which it was not told: this node or the message may have slept. */
    if (roll.nodes.length === 0 || message.askedAt < this.#registryAt) return;
    this.#registry = this.#merged(roll, message.askedAt);
    this.#registryAt = message.askedAt;
  }

  /** A control machine answered a heartbeat that was sent at a moment. */
  #heard(identity: string, sentAt: number): void {
    this.#heardAt.set(
      identity,
      Math.max(sentAt, this.#heardAt.get(identity) ?? Number.NEGATIVE_INFINITY),
    );
  }

  #learnControls({ controls, view }: LeaseMessage): void {
    this.#controls = new Set<string>([...this.#seeds, ...controls]);
    for (const member of [...view.members, ...holdersOf(view)]) this.#controls.add(member.address);
  }

  /**
   * A newer registry with the runners of the one held that it lacks, or of which it has an older word: a
   * control machine that has just started, or was cut off, does not know them all. They stay until
   * their last word is too old.
   */
  #merged(registry: RunnerRegistry, at: number): RunnerRegistry {
    const runners = new Map<string, RunnerCard>();
    for (const card of registry.runners) runners.set(card.id, card);
    for (const card of this.#registry.runners) {
      const aged = { ...card, age: card.age + at - this.#registryAt };
      if (aged.age > this.#forgetsRunnersAfter) continue;
      const newer = runners.get(card.id);
      if (newer === undefined || isNewerWord(aged, at - aged.age, newer, at - newer.age))
        runners.set(card.id, aged);
    }
    return { ...registry, runners: [...runners.values()] };
  }

  tell(now: number): Send[] {
    this.#toldAt = now;
    this.#heartbeats.asked(now);
    const card: NodeCard = {
      ...this.#standing,
      place: this.follower.place,
      free: now >= this.#promisedUntil,
      leaving: this.#leaving,
      telling: this.#telling(),
    };
    const sends: Send[] = [];
    for (const to of this.#controls)
      sends.push({
        kind: "send",
        to,
        message: {
          kind: "session",
          card,
          askedAt: now,
          back: giveBack(this.#stamps.get(to), now),
          ...(this.#registry.nodes.length > 0 ? { rolled: now - this.#registryAt } : {}),
        },
      });
    return sends;
  }

  beat(now: number): Send[] {
    const asks = this.#askPeers(now);
    /** The moment a promise ends, control is told so. */
    const freed = this.#toldAt < this.#promisedUntil && now >= this.#promisedUntil;
    return now - this.#toldAt >= heartbeatInterval(this.#registry.nodes.length) || freed
      ? [...asks, ...this.tell(now)]
      : asks;
  }
}
