/** Membership of data plane nodes: session with the control group, feed and lease (docs/design.md §4, §7). */
import {
  Follower,
  Lease,
  constants,
  holderDurationMs,
  echoStamp,
  holdersOf,
  isNewerReport,
  policy,
  type Policy,
  type PeerMessage,
  type NodeDescriptor,
  type RunnerRegistry,
  type RunnerDescriptor,
  type ClockStamp,
  type NodeReport,
} from "@chutewick/parts";
import {
  configurationIn,
  keys,
  type ControlMessage,
  type FleetRecord,
  type Deregistration,
  type LeaseMessage,
  type VersionedConfiguration,
} from "@chutewick/control";

import { FeedProgress } from "./feed-progress.js";
import { heartbeatInterval } from "./heartbeat-interval.js";
import { SentRequests } from "./recent-asks.js";

/** Identity and addresses of a node of the data plane. */
export interface NodeIdentity {
  readonly identity: string;
  readonly address: string;
  readonly kind: "access" | "storage";
  readonly zone: string;
  /** Its name in the deployment. */
  readonly name?: string;
  readonly http: string;
}

/** A message to be sent to an address. */
export interface Send {
  readonly kind: "send";
  readonly to: string;
  readonly message: ControlMessage;
}

/** What entitles a node to accept new work and to give definite answers: its lease, a permit of its peers, or nothing. */
export type WorkAuthorization = "lease" | "permit" | "none";

/** Membership state of a node at one moment, for the log. */
export interface MembershipReport {
  /** Version of the configuration that the node applies. */
  readonly version: number;
  /** Feed index: the last entry of the feed that the node has applied. */
  readonly place: number;
  /** What entitles the node to accept new work. */
  readonly ground: WorkAuthorization;
  /** Epoch of the newest view of the control group that the node knows. */
  readonly view: number | undefined;
  /** Control machines whose leases are valid. */
  readonly granters: readonly string[];
  /** ms since the sending of the last heartbeat that each control machine answered. */
  readonly heardBefore: Readonly<Record<string, number>>;
}

/**
 * Membership of a data plane node in the fleet: its session with the control group, the feed, its lease, and the permits that peers give
 * each other while control is unreachable.
 */
export class Membership {
  readonly follower = new Follower();
  readonly feedProgress = new FeedProgress();
  #lease = new Lease();
  #node: NodeIdentity;
  #controls: Set<string>;
  #seeds: readonly string[];
  #registry: RunnerRegistry = { nodes: [], runners: [] };
  #registryRequestedAt = Number.NEGATIVE_INFINITY;
  /** Highest incarnation of each runner whose deregistration came to this node or from a peer. */
  #closedHere = new Map<string, number>();
  /** When the last heartbeat was sent that a control machine answered, by its identity; in ms, monotonic. */
  #answeredAt = new Map<string, number>();
  /** Heartbeats sent to control. */
  readonly #sentHeartbeats = new SentRequests();
  /** Requests for permits sent to peers. */
  readonly #sentPermitRequests = new SentRequests();
  /** Newest report of each runner that did not come with the registry of control. */
  #reportedRunners = new Map<string, { card: RunnerDescriptor; heardAt: number }>();
  #permitRequestedAt = Number.NEGATIVE_INFINITY;
  #promisingPeers = new Set<string>();
  #permitUntil = Number.NEGATIVE_INFINITY;
  /** Whether a lease was held in this incarnation. Only from then on does the node know all earlier committed changes (docs/design.md §7.4). */
  #hadLease = false;
  /**
   * Until when a promise to a peer binds this node: it accepts no changes from control and gets no lease. Set at the start, because an
   * earlier incarnation may have promised.
   */
  #promisedUntil: number;
  #isLeaving = false;
  #heartbeatSentAt = Number.NEGATIVE_INFINITY;
  /** The last clock stamp of each control machine, and when it came. */
  #stamps = new Map<string, { stamp: ClockStamp; at: number }>();
  #createReport: () => NodeReport;
  #policy: Policy;

  constructor(
    node: NodeIdentity,
    seeds: readonly string[],
    now: number,
    createReport: () => NodeReport,
    deploymentPolicy: Policy = policy.defaults,
  ) {
    this.#policy = deploymentPolicy;
    this.#promisedUntil = deploymentPolicy.goesOnAlone
      ? Number.NEGATIVE_INFINITY
      : now + constants.permitDurationMs;
    this.#node = node;
    this.#seeds = seeds;
    this.#controls = new Set(seeds);
    this.#createReport = createReport;
  }

  /** Identity of this node. */
  get identity(): string {
    return this.#node.identity;
  }
  /** Address under which other processes reach this node. */
  get address(): string {
    return this.#node.address;
  }
  /** Zone of this node. */
  get zone(): string {
    return this.#node.zone;
  }
  /** When the last heartbeats were sent; in ms, monotonic. */
  get heartbeatSentAt(): number {
    return this.#heartbeatSentAt;
  }
  /** The newest registry of nodes and runners from control. */
  get registry(): RunnerRegistry {
    return this.#registry;
  }
  /** The configuration from the feed, with its version. */
  get configuration(): VersionedConfiguration {
    return configurationIn(this.follower);
  }
  /** Address of the head of the control group, which accepts changes; undefined while no view is known. */
  get head(): string | undefined {
    return this.#lease.view?.members[0]?.address;
  }

  /** Announces that this node is leaving, so that control transfers its work to other nodes. */
  leave(now: number): Send[] {
    this.#isLeaving = true;
    return this.sendHeartbeats(now);
  }

  /** Takes back the announcement that this node is leaving. */
  cancelLeave(now: number): Send[] {
    this.#isLeaving = false;
    return this.sendHeartbeats(now);
  }

  /** Whether the node may accept new work now: it holds a lease or a permit. */
  holds(now: number): boolean {
    return (
      this.follower.place > 0 &&
      (this.#lease.isValid(now, this.follower.place) || now < this.#permitUntil)
    );
  }

  /** The membership state for the log. */
  report(now: number): MembershipReport {
    const { place } = this.follower;
    const heardBefore: Record<string, number> = {};
    for (const [identity, at] of this.#answeredAt) heardBefore[identity] = Math.round(now - at);
    return {
      version: this.configuration.mark,
      place,
      ground: this.ground(now),
      view: this.#lease.view?.mark,
      granters: this.#lease.granters(now, place),
      heardBefore,
    };
  }

  /** What entitles the node to accept new work now. */
  ground(now: number): WorkAuthorization {
    if (!this.holds(now)) return "none";
    return this.#lease.isValid(now, this.follower.place) ? "lease" : "permit";
  }

  /**
   * Whether live work on passages may begin. Where the policy lets an isolated node continue, any known configuration is enough
   * (docs/design.md §13.3).
   */
  serves(now: number): boolean {
    return this.configuration.mark > 0 && (this.#policy.goesOnAlone || this.holds(now));
  }

  /** The policy of the deployment. */
  get policy(): Policy {
    return this.#policy;
  }

  /** Whether a majority of the control group answered recent heartbeats; true while no view is known. */
  hasQuorumContact(now: number): boolean {
    const view = this.#lease.view;
    if (view === undefined) return true;
    let answered = 0;
    const granters = holdersOf(view);
    for (const { identity } of granters)
      if (
        now - (this.#answeredAt.get(identity) ?? Number.NEGATIVE_INFINITY) <=
        constants.quorumContactTimeoutMs
      )
        answered += 1;
    return answered > granters.length / 2;
  }

  /** Addresses of the machines of the fleet. */
  get #peers(): readonly string[] {
    return this.follower.read<FleetRecord>(keys.fleet)?.addresses ?? [];
  }

  /** Handles a permit request or a reply from a peer while control is unreachable (docs/design.md §7.4). */
  receiveFromPeer(message: PeerMessage, from: string, now: number): Send[] {
    if (message.kind === "fellow-ask") {
      const promises = !this.#policy.goesOnAlone && this.#hadLease && !this.hasQuorumContact(now);
      if (promises) this.#promisedUntil = now + constants.permitDurationMs;
      return [
        {
          kind: "send",
          to: from,
          message: {
            kind: "fellow-tell",
            askedAt: message.askedAt,
            place: this.follower.place,
            promises,
            runners: this.#createReport().runners ?? [],
            closed: [...this.#closedHere],
          },
        },
      ];
    }
    // The reply was sent after the request, so its ages count from the request at the latest.
    if (this.#sentPermitRequests.includes(message.askedAt))
      for (const card of message.runners) this.recordRunnerReport(card, message.askedAt - card.age);
    for (const [runner, incarnation] of message.closed) this.deregister(runner, incarnation);
    if (message.askedAt !== this.#permitRequestedAt || !message.promises) return [];
    // A peer with a higher feed index shows that a change was committed that this node has not received.
    if (message.place > this.follower.place) {
      this.#permitRequestedAt = Number.NEGATIVE_INFINITY;
      return [];
    }
    this.#promisingPeers.add(from);
    if (this.#isPromisedByMajority)
      this.#permitUntil = Math.max(
        this.#permitUntil,
        this.#permitRequestedAt + holderDurationMs(constants.permitDurationMs),
      );
    return [];
  }

  /** Counted over the current fleet: it may have changed since the request, and the promises of former members delay no change. */
  get #isPromisedByMajority(): boolean {
    const peers = this.#peers;
    const promising = peers.filter((address) => this.#promisingPeers.has(address));
    return promising.length > peers.length / 2;
  }

  /** Sends the deregistrations that came here to all nodes at once, before control has committed them (docs/design.md §7.5). */
  broadcastDeregistrations(): Send[] {
    const recipients = new Set<string>(this.#peers);
    for (const card of this.liveNodes("access")) recipients.add(card.address);
    recipients.delete(this.address);
    const sends: Send[] = [];
    for (const to of recipients)
      sends.push({
        kind: "send",
        to,
        message: {
          kind: "fellow-tell",
          askedAt: Number.NEGATIVE_INFINITY,
          place: this.follower.place,
          promises: false,
          runners: [],
          closed: [...this.#closedHere],
        },
      });
    return sends;
  }

  /** Requests promises for a permit from all peers, if control is unreachable. */
  #requestPermit(now: number): Send[] {
    if (this.#policy.goesOnAlone) return [];
    const peers = this.#peers;
    if (
      this.hasQuorumContact(now) ||
      !this.#hadLease ||
      !peers.includes(this.address) ||
      now - this.#permitRequestedAt < constants.heartbeatIntervalMs
    )
      return [];
    this.#permitRequestedAt = now;
    this.#sentPermitRequests.recordSent(now);
    this.#promisedUntil = now + constants.permitDurationMs;
    this.#promisingPeers = new Set([this.address]);
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

  /** Remaining duration of the lease in ms. */
  remainingLeaseMs(now: number): number {
    return Math.max(0, this.#lease.expiresAt(this.follower.place) - now);
  }

  /** Whether an incarnation of a runner is deregistered. A deregistration includes all earlier incarnations, which may have the same address (docs/design.md §7.5). */
  isClosed(runner: string, incarnation: number): boolean {
    return (
      incarnation <=
      Math.max(
        this.follower.read<Deregistration>(keys.deregistrationKey(runner))?.incarnation ?? 0,
        this.#closedHere.get(runner) ?? 0,
      )
    );
  }

  /** Applies a deregistration on this node at once, before control has committed it. */
  deregister(runner: string, incarnation: number): void {
    this.#closedHere.set(runner, Math.max(incarnation, this.#closedHere.get(runner) ?? 0));
  }

  /** Records a report of a runner that did not come with the registry of control. */
  recordRunnerReport(card: RunnerDescriptor, heardAt: number): void {
    const held = this.#reportedRunners.get(card.id);
    if (held === undefined || isNewerReport(card, heardAt, held.card, held.heardAt))
      this.#reportedRunners.set(card.id, { card, heardAt });
  }

  /** Whether an incarnation of a runner has a recent report and is not deregistered; checked again before the first byte is sent. */
  isRunnerLive(runner: string, incarnation: number, now: number): boolean {
    const held = this.#newestReport(runner, now);
    return (
      held !== undefined &&
      held.incarnation === incarnation &&
      now - held.heardAt <= this.#runnerTimeoutMs(now) &&
      !this.isClosed(runner, incarnation)
    );
  }

  /** The newest report of a runner, from control or another source; `heardAt` in ms, monotonic. */
  #newestReport(runner: string, now: number): (RunnerDescriptor & { heardAt: number }) | undefined {
    const card = this.#registry.runners.find(({ id }) => id === runner);
    const listed = card && { ...card, heardAt: this.#registryRequestedAt - card.age };
    const report = this.#reportedRunners.get(runner);
    if (report === undefined || now - report.heardAt > this.#runnerRetentionMs) return listed;
    if (listed !== undefined && !isNewerReport(report.card, report.heardAt, listed, listed.heardAt))
      return listed;
    return { ...report.card, heardAt: report.heardAt };
  }

  /** Age in ms above which a report of a runner is discarded. */
  get #runnerRetentionMs(): number {
    return this.#policy.runnerLasts * constants.isolatedRunnerRetentionFactor;
  }

  /**
   * Time in ms without a report after which a runner counts as gone. A node that is cut off from control continues with the runners that
   * it knew: those that went since are unreachable, or answer that they are another incarnation (docs/design.md §13.4).
   */
  #runnerTimeoutMs(now: number): number {
    const isIsolated = this.#policy.goesOnAlone && !this.hasQuorumContact(now);
    return isIsolated ? this.#runnerRetentionMs : this.#policy.runnerLasts;
  }

  /** The runners with a recent report that are not deregistered, each with its newest report. */
  runners(now: number): RunnerDescriptor[] {
    const found: RunnerDescriptor[] = [];
    const known = new Map<string, RunnerDescriptor>();
    for (const card of this.#registry.runners)
      known.set(card.id, { ...card, age: card.age + now - this.#registryRequestedAt });
    for (const { card, heardAt } of this.#reportedRunners.values()) {
      const held = known.get(card.id);
      const age = now - heardAt;
      if (age > this.#runnerRetentionMs) this.#reportedRunners.delete(card.id);
      if (held === undefined || isNewerReport(card, heardAt, held, now - held.age))
        known.set(card.id, { ...card, age });
    }
    const timeoutMs = this.#runnerTimeoutMs(now);
    for (const card of known.values())
      if (card.age <= timeoutMs && !this.isClosed(card.id, card.incarnation)) found.push(card);
    return found;
  }

  /** The nodes of a kind that are in session and not leaving. */
  liveNodes(kind: NodeDescriptor["kind"]): NodeDescriptor[] {
    const live: NodeDescriptor[] = [];
    for (const { card, age } of this.#registry.nodes)
      if (card.kind === kind && !card.leaving && age <= constants.sessionTimeoutMs) live.push(card);
    return live;
  }

  /** Handles a message from control; returns true if the feed brought something new. */
  receive(message: ControlMessage, from: string, now: number): boolean {
    if (message.kind === "feed" || message.kind === "feed-digest")
      return this.follower.receive(message);
    // New reports of runners. Their ages count from now: control commits a deregistration before it reports it (docs/design.md §13.8).
    if (message.kind === "runners")
      for (const card of message.runners) this.recordRunnerReport(card, now - card.age);
    // This is no evidence of contact: the sender does not receive this node's heartbeats.
    if (message.kind === "controls")
      for (const address of message.addresses) this.#controls.add(address);
    if (message.kind === "lease") this.#receiveLease(message, from, now);
    return false;
  }

  /** Handles an answer of control to a heartbeat: a lease, the registry and the addresses of control. */
  #receiveLease(message: LeaseMessage, from: string, now: number): void {
    this.feedProgress.recordHeartbeat(message.place, this.follower.place, now);
    this.#learnControls(message);
    const { identity, view, place, roll, stamp } = message;
    const answered = message.answers ?? message.askedAt;
    // A control machine of an older release may not say which heartbeat it answers; such a message grants no lease.
    const isUnspecified = answered === Number.NEGATIVE_INFINITY;
    // An answer to an earlier incarnation of this process, or one that comes too late, grants nothing.
    if (!isUnspecified && !this.#sentHeartbeats.includes(answered)) return;
    this.#recordAnswer(identity, isUnspecified ? now : answered);
    this.#lease.addGrant(identity, view, message.askedAt, place);
    this.#hadLease ||= this.#lease.isValid(now, this.follower.place);
    if (stamp !== undefined) this.#stamps.set(from, { stamp, at: now });
    // Ages in the registry count from the request: it was sent later, but this node or the message may have been delayed since.
    if (roll.nodes.length === 0 || message.askedAt < this.#registryRequestedAt) return;
    this.#registry = this.#mergeRegistry(roll, message.askedAt);
    this.#registryRequestedAt = message.askedAt;
  }

  /** Records that a control machine answered the heartbeat sent at `sentAt`. */
  #recordAnswer(identity: string, sentAt: number): void {
    this.#answeredAt.set(
      identity,
      Math.max(sentAt, this.#answeredAt.get(identity) ?? Number.NEGATIVE_INFINITY),
    );
  }

  /** Replaces the known control addresses by those of a lease message and the seeds. */
  #learnControls({ controls, view }: LeaseMessage): void {
    this.#controls = new Set<string>([...this.#seeds, ...controls]);
    for (const member of [...view.members, ...holdersOf(view)]) this.#controls.add(member.address);
  }

  /**
   * A newer registry, completed by runners of the current one that it lacks or has an older report of: a control machine that has just
   * started, or was cut off, does not know all of them. They are kept until their last report is too old.
   */
  #mergeRegistry(registry: RunnerRegistry, sentAt: number): RunnerRegistry {
    const runners = new Map<string, RunnerDescriptor>();
    for (const card of registry.runners) runners.set(card.id, card);
    for (const card of this.#registry.runners) {
      const aged = { ...card, age: card.age + sentAt - this.#registryRequestedAt };
      if (aged.age > this.#runnerRetentionMs) continue;
      const newer = runners.get(card.id);
      if (newer === undefined || isNewerReport(aged, sentAt - aged.age, newer, sentAt - newer.age))
        runners.set(card.id, aged);
    }
    return { ...registry, runners: [...runners.values()] };
  }

  /** Sends a heartbeat with the state of this node to each known control machine. */
  sendHeartbeats(now: number): Send[] {
    this.#heartbeatSentAt = now;
    this.#sentHeartbeats.recordSent(now);
    const card: NodeDescriptor = {
      ...this.#node,
      place: this.follower.place,
      free: now >= this.#promisedUntil,
      leaving: this.#isLeaving,
      telling: this.#createReport(),
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
          back: echoStamp(this.#stamps.get(to), now),
          ...(this.#registry.nodes.length > 0 ? { rolled: now - this.#registryRequestedAt } : {}),
        },
      });
    return sends;
  }

  /** Sends what is due: heartbeats to control and permit requests to peers. */
  tick(now: number): Send[] {
    const permitRequests = this.#requestPermit(now);
    // Control is informed as soon as a promise has ended.
    const promiseEnded = this.#heartbeatSentAt < this.#promisedUntil && now >= this.#promisedUntil;
    return now - this.#heartbeatSentAt >= heartbeatInterval(this.#registry.nodes.length) ||
      promiseEnded
      ? [...permitRequests, ...this.sendHeartbeats(now)]
      : permitRequests;
  }
}
