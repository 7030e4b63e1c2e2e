/** Sessions of nodes with control machines, leases, and the registry of runners (docs/design.md §4, §7). */
import { constants } from "./constants.js";
import { holdersOf, type ChainView } from "./chain.js";
import { policy, type Policy } from "./policy.js";

/** How a node describes itself in its heartbeats. */
export interface NodeDescriptor {
  readonly identity: string;
  readonly address: string;
  readonly kind: "access" | "storage";
  readonly zone: string;
  /** Node name in the deployment, as operators use it; the identity belongs to the disk and may change (docs/design.md §13.8). */
  readonly name?: string;
  /** HTTP address for callers or operators. */
  readonly http: string;
  /** Set during a planned stop: its duties are handed over (docs/design.md §8.6). */
  readonly leaving: boolean;
  /** Not bound by a promise to a peer: only then does its feed index count, and only then may it get a lease (docs/design.md §7.4). */
  readonly free: boolean;
  /** Feed index up to which this node has applied entries. */
  readonly place: number;
  /** What this node observed. */
  readonly telling: NodeReport;
}

/** Observations that a node reports in its heartbeats. */
export interface NodeReport {
  /** Chains that this storage machine has copied completely, with the epoch of the view. */
  readonly copied?: readonly (readonly [queue: string, mark: number])[];
  /** Replicas that delay a chain, as observed by this node. */
  readonly stuck?: readonly (readonly [queue: string, mark: number, identity: string])[];
  readonly runners?: readonly RunnerDescriptor[];
  /** For queues owned by this node: epoch of the share in force, items allowed by it or still open (whichever is more), and items needed; in total and by season. */
  readonly shares?: readonly (readonly [
    queue: string,
    shareMark: number,
    held: number,
    need: number,
    classes?: readonly SeasonShareReport[],
  ])[];
  /** Prompts of lots that this access node has in progress, by runner. */
  readonly lots?: readonly (readonly [runner: string, count: number])[];
  /** Load of this access node on passages, by runner: live requests and items of lots in progress. */
  readonly burdens?: readonly RunnerLoad[];
  /** Live requests recently rejected for lack of a free slot, by model. */
  readonly turnedAway?: readonly (readonly [model: string, count: number])[];
  /** Whether this storage machine can keep the lot directory; undefined from earlier releases, which cannot. */
  readonly assignsLots?: boolean;
}

/** Items that a queue holds or may hold, and items that it needs, in one season. */
export type SeasonShareReport = readonly [season: string, held: number, need: number];

/** How a runner is described in its announcements and in the registry. */
export interface RunnerDescriptor {
  readonly id: string;
  /** Grows with each restart of the runner, so that an outdated report is recognized however late it arrives (docs/design.md §7.5). */
  readonly incarnation: number;
  readonly url: string;
  readonly kind: "model" | "plain";
  readonly models: readonly string[];
  readonly labels: Readonly<Record<string, string>>;
  /** Concurrency slots. */
  readonly seats: number;
  readonly zone: string;
  /** Load: requests in progress. */
  readonly burden: number;
  /** Rises with each report of this incarnation, where runners number their reports; reveals a delayed one (docs/design.md §13.8). */
  readonly sequence?: number;
  /** Pool of the runner, where passages route to it (docs/design.md §13.1). */
  readonly pool?: string;
  /** Remaining warm-up in ms, counted from the report: the runner is slow until then. */
  readonly warming?: number;
  /** ms since the sender of this entry received a report from the runner itself. */
  readonly age: number;
}

/** A node in the registry. */
export interface RegistryNode {
  readonly card: NodeDescriptor;
  /** ms since the last heartbeat of the node. */
  readonly age: number;
}

/** Nodes and runners known to a control machine. */
export interface RunnerRegistry {
  readonly nodes: readonly RegistryNode[];
  readonly runners: readonly RunnerDescriptor[];
  /** Sums over all access nodes except the receiver: requests in progress on passages, by runner (docs/design.md §13.4). */
  readonly others?: readonly RunnerLoad[];
}

export const emptyRegistry: RunnerRegistry = { nodes: [], runners: [] };

/** Requests in progress at one runner. */
export type RunnerLoad = readonly [runner: string, live: number, items: number];

interface Session {
  card: NodeDescriptor;
  /** When the newest heartbeat was received, by this machine or by the one that forwarded it. */
  heardAt: number;
  /** End of the lease granted by this machine; undefined where the session is known only from other control machines. */
  leaseUntil: number | undefined;
  /** Highest feed index that the node reported while it was free of promises. */
  taken: number;
  /** When the node sent the last heartbeat that arrived here directly, by its own clock. */
  askedAt?: number;
}

/** Whether a report replaces a known one: the higher incarnation wins regardless of arrival; within one, the higher sequence number, then the later arrival (docs/design.md §7.5). */
export function isNewerReport(
  card: RunnerDescriptor,
  heardAt: number,
  held: RunnerDescriptor,
  heldAt: number,
): boolean {
  if (card.incarnation !== held.incarnation) return card.incarnation > held.incarnation;
  const [sequence, heldSequence] = [card.sequence ?? 0, held.sequence ?? 0];
  return sequence === heldSequence ? heardAt > heldAt : sequence > heldSequence;
}

/** Whether a report changes something that nodes act upon; load and age alone do not count. */
export function isSignificantChange(
  card: RunnerDescriptor,
  held: RunnerDescriptor | undefined,
): boolean {
  return held === undefined || stableFields(card) !== stableFields(held);
}

function stableFields({
  id,
  incarnation,
  url,
  kind,
  models,
  labels,
  seats,
  zone,
  pool,
  warming,
}: RunnerDescriptor): string {
  return JSON.stringify([
    id,
    incarnation,
    url,
    kind,
    models,
    labels,
    seats,
    zone,
    pool,
    (warming ?? 0) > 0,
  ]);
}

/** A time by the clock of one incarnation of a control machine. */
export interface ClockStamp {
  /** Incarnation of the control machine. */
  readonly life: string;
  readonly at: number;
}

/** A stamp returned to its issuer with the time for which it was held, which bounds the transit time of the message (docs/design.md §7.5). */
export interface EchoedStamp extends ClockStamp {
  readonly held: number;
}

/** Upper bound on the transit time of a message in ms; without a stamp of this incarnation it is the session timeout. */
export function maxTransitMs(
  back: EchoedStamp | null | undefined,
  life: string,
  now: number,
): number {
  // Earlier releases send no stamps.
  if (back === undefined) return 0;
  return back === null || back.life !== life
    ? constants.sessionTimeoutMs
    : Math.max(0, now - back.at - back.held);
}

/** Returns a received stamp to its issuer; null where none was received. */
export function echoStamp(
  held: { stamp: ClockStamp; at: number } | undefined,
  now: number,
): EchoedStamp | null {
  return held === undefined ? null : { ...held.stamp, held: now - held.at };
}

/** Sessions and runners known to one control machine. */
export class Sessions {
  #sessions = new Map<string, Session>();
  #runners = new Map<string, { card: RunnerDescriptor; heardAt: number }>();
  #policy: Policy;
  /** Requests in progress by runner over all access nodes, summed once per tick. */
  #loadSums = new Map<string, [live: number, items: number]>();
  #summedAt = Number.NEGATIVE_INFINITY;

  constructor(selectedPolicy: Policy = policy.defaults) {
    this.#policy = selectedPolicy;
  }

  /** Nodes with a session, including those known only from other control machines. */
  get size(): number {
    return this.#sessions.size;
  }

  /** Records a runner's own announcement; returns whether it is newer than what was known, and whether it must be forwarded at once. */
  recordAnnouncement(
    card: RunnerDescriptor,
    now: number,
  ): { newer: boolean; mustForward: boolean } {
    const held = this.#runners.get(card.id);
    const newer = held === undefined || isNewerReport(card, now, held.card, held.heardAt);
    const known =
      held !== undefined && now - held.heardAt <= this.#policy.runnerLasts ? held.card : undefined;
    if (newer) this.#runners.set(card.id, { card, heardAt: now });
    return { newer, mustForward: newer && isSignificantChange(card, known) };
  }

  /**
   * Records a heartbeat of a node, received directly or from another control machine.
   * `late` bounds the transit time of the message, by which the runner reports in it are older.
   * Returns false, and changes nothing, where a later heartbeat of the node is known.
   */
  recordHeartbeat(
    card: NodeDescriptor,
    now: number,
    leaseUntil: number | undefined,
    age: number,
    late: number,
    askedAt?: number,
  ): boolean {
    const held = this.#sessions.get(card.identity);
    // An earlier heartbeat of the same incarnation that arrived after a later one describes an outdated state (docs/design.md §4.2).
    if (
      held?.askedAt !== undefined &&
      askedAt !== undefined &&
      askedAt < held.askedAt &&
      held.askedAt - askedAt < constants.quorumContactTimeoutMs
    )
      return false;
    const heardAt = now - age;
    // The first direct heartbeat of a new incarnation at an address ends the previous one and its lease.
    // An indirect report does not, since it may concern an earlier incarnation.
    if (held?.askedAt === undefined && askedAt !== undefined)
      for (const session of this.#sessions.values())
        if (session.card.address === card.address) session.leaseUntil = undefined;
    if (held === undefined)
      this.#sessions.set(card.identity, {
        card,
        heardAt,
        leaseUntil,
        taken: card.free ? card.place : 0,
        askedAt,
      });
    else {
      if (card.free) held.taken = Math.max(held.taken, card.place);
      if (leaseUntil !== undefined) held.leaseUntil = leaseUntil;
      if (askedAt !== undefined) held.askedAt = askedAt;
      if (heardAt >= held.heardAt || leaseUntil !== undefined) {
        held.card =
          leaseUntil === undefined && card.telling.burdens === undefined
            ? { ...card, telling: { ...card.telling, burdens: held.card.telling.burdens } }
            : card;
        held.heardAt = Math.max(heardAt, held.heardAt);
      }
    }
    for (const runner of card.telling.runners ?? []) this.#recordRunner(runner, now - late);
    return true;
  }

  /** Records a runner's state unless a newer one is known. */
  #recordRunner(card: RunnerDescriptor, now: number): void {
    const heardAt = now - card.age;
    const held = this.#runners.get(card.id);
    if (held === undefined || isNewerReport(card, heardAt, held.card, held.heardAt))
      this.#runners.set(card.id, { card, heardAt });
  }

  /** Records the registry of another control machine. */
  merge(registry: RunnerRegistry, now: number, late: number): void {
    for (const { card, age } of registry.nodes)
      this.recordHeartbeat(card, now, undefined, age, late);
    for (const runner of registry.runners) this.#recordRunner(runner, now - late);
  }

  /** Removes sessions and runners that have been silent for long. */
  removeExpired(now: number): void {
    for (const [identity, session] of this.#sessions) {
      if (now - session.heardAt > constants.sessionTimeoutMs * 4 && (session.leaseUntil ?? 0) < now)
        this.#sessions.delete(identity);
    }
    for (const [id, runner] of this.#runners)
      if (now - runner.heardAt > this.#policy.runnerLasts * 4) this.#runners.delete(id);
  }

  /** Whether any node sent a heartbeat recently; if none did, this machine is the one that is disconnected. */
  hasRecentHeartbeat(now: number): boolean {
    for (const session of this.#sessions.values())
      if (now - session.heardAt <= constants.heartbeatIntervalMs * 3) return true;
    return false;
  }

  /** Nodes of a kind whose sessions have not ended. */
  live(kind: NodeDescriptor["kind"], now: number): NodeDescriptor[] {
    const found: NodeDescriptor[] = [];
    for (const session of this.#sessions.values()) {
      if (session.card.kind === kind && now - session.heardAt <= constants.sessionTimeoutMs)
        found.push(session.card);
    }
    return found;
  }

  /** Nodes with a lease granted by this machine; new feed entries are sent to them at once. */
  feedFollowers(now: number): NodeDescriptor[] {
    const found: NodeDescriptor[] = [];
    for (const session of this.#sessions.values())
      if ((session.leaseUntil ?? 0) > now) found.push(session.card);
    return found;
  }

  /** Number of leases granted by this machine that have not expired. */
  activeLeaseCount(now: number): number {
    let count = 0;
    for (const { leaseUntil } of this.#sessions.values())
      if (leaseUntil !== undefined && leaseUntil > now) count += 1;
    return count;
  }

  /** Highest feed index that the node at an address reported while it was free of promises. */
  reportedIndex(address: string): number {
    let feedIndex = 0;
    let heardAt = Number.NEGATIVE_INFINITY;
    for (const session of this.#sessions.values()) {
      if (session.card.address !== address || session.heardAt < heardAt) continue;
      heardAt = session.heardAt;
      feedIndex = session.taken;
    }
    return feedIndex;
  }

  /** Feed index that every holder of a lease granted by this machine has reached, up to a limit. */
  coveredIndex(limit: number, now: number): number {
    let feedIndex = limit;
    for (const session of this.#sessions.values()) {
      if (session.leaseUntil !== undefined && session.leaseUntil > now)
        feedIndex = Math.min(feedIndex, session.card.place);
    }
    return feedIndex;
  }

  /** Registry for one node, without what only control acts upon; loads are summed, so that its size grows with nodes plus runners, not with their product. */
  registryForNodes(now: number, identity: string): RunnerRegistry {
    const { nodes, runners } = this.registry(now);
    const reportedNodes: RegistryNode[] = [];
    for (const { card, age } of nodes)
      reportedNodes.push({
        card: {
          ...card,
          telling: { lots: card.telling.lots, turnedAway: card.telling.turnedAway },
        },
        age,
      });
    return { nodes: reportedNodes, runners, others: this.#loadsExcept(identity, now) };
  }

  /** Sums of the reported loads without those of one node. */
  #loadsExcept(identity: string, now: number): RunnerLoad[] {
    if (now - this.#summedAt >= constants.tickIntervalMs || now < this.#summedAt) {
      this.#summedAt = now;
      this.#loadSums = new Map();
      for (const { card, heardAt } of this.#sessions.values()) {
        if (card.kind !== "access" || now - heardAt > constants.sessionTimeoutMs) continue;
        for (const [runner, live, items] of card.telling.burdens ?? []) {
          const sum = this.#loadSums.get(runner) ?? [0, 0];
          this.#loadSums.set(runner, [sum[0] + live, sum[1] + items]);
        }
      }
    }
    const ownLoads = new Map<string, RunnerLoad>();
    for (const load of this.#sessions.get(identity)?.card.telling.burdens ?? [])
      ownLoads.set(load[0], load);
    const others: RunnerLoad[] = [];
    for (const [runner, [live, items]] of this.#loadSums) {
      const [, ownLive, ownItems] = ownLoads.get(runner) ?? [runner, 0, 0];
      if (live > ownLive || items > ownItems)
        others.push([runner, Math.max(0, live - ownLive), Math.max(0, items - ownItems)]);
    }
    return others;
  }

  /** Registry for the other control machines. */
  registry(now: number): RunnerRegistry {
    const nodes: RegistryNode[] = [];
    for (const session of this.#sessions.values()) {
      const age = now - session.heardAt;
      // Nodes report their loads to every control machine themselves.
      if (age <= constants.sessionTimeoutMs)
        nodes.push({
          card: {
            ...session.card,
            telling: { ...session.card.telling, runners: [], burdens: undefined },
          },
          age,
        });
    }
    const runners: RunnerDescriptor[] = [];
    for (const { card, heardAt } of this.#runners.values()) {
      const age = now - heardAt;
      if (age <= this.#policy.runnerLasts) runners.push({ ...card, age });
    }
    return { nodes, runners };
  }
}

/** Messages between nodes while control is unreachable (docs/design.md §7.4). */
export type PeerMessage =
  | { readonly kind: "fellow-ask"; readonly askedAt: number; readonly place: number }
  | {
      readonly kind: "fellow-tell";
      readonly askedAt: number;
      readonly place: number;
      /** Control is unreachable from the sender too, and it accepts nothing from control while the permit is valid. */
      readonly promises: boolean;
      readonly runners: readonly RunnerDescriptor[];
      readonly closed: readonly (readonly [runner: string, incarnation: number])[];
    };

/** How long, in ms from its request, the holder of a lease or grant may rely on it: shorter by the drift by which its clock may be slower. */
export function holderDurationMs(grantedMs: number): number {
  return grantedMs * (1 - constants.maxClockDriftFraction);
}

/** A node's lease, valid while a majority of the members of the newest view grant it. */
export class Lease {
  #view: ChainView | undefined;
  #grants = new Map<string, { until: number; place: number }>();
  /** The previous view: its grants stay valid until they expire, because every member of the next view waits that long (docs/design.md §7.2). */
  #previous: { view: ChainView; grants: Map<string, { until: number; place: number }> } | undefined;
  /** Cached expiry until a grant changes it, because it is read several times per tick and message. */
  #cachedExpiry: { readonly place: number; readonly until: number } | undefined;

  get view(): ChainView | undefined {
    return this.#view;
  }

  /** Records a grant. The lease runs from the request of this node, so that it ends here before it ends at the granter. */
  addGrant(identity: string, view: ChainView, askedAt: number, place: number): void {
    if (this.#view === undefined || view.mark > this.#view.mark) {
      if (this.#view !== undefined) this.#previous = { view: this.#view, grants: this.#grants };
      this.#view = view;
      this.#grants = new Map();
      this.#cachedExpiry = undefined;
    }
    if (view.mark !== this.#view.mark) return;
    this.#grants.set(identity, {
      until: askedAt + holderDurationMs(constants.leaseDurationMs),
      place,
    });
    this.#cachedExpiry = undefined;
  }

  /** Whether the lease is valid; a grant counts only once the node has reached the feed index that the granter had. */
  isValid(now: number, feedIndex: number): boolean {
    return now < this.expiresAt(feedIndex);
  }

  /** Members of the newest view whose grants are valid for a node at a feed index. */
  granters(now: number, feedIndex: number): string[] {
    const found: string[] = [];
    for (const [identity, grant] of this.#grants)
      if (grant.until > now && isReached(grant, feedIndex)) found.push(identity);
    return found;
  }

  /** When the lease expires for a node at a feed index. */
  expiresAt(feedIndex: number): number {
    if (this.#cachedExpiry?.place !== feedIndex)
      this.#cachedExpiry = { place: feedIndex, until: this.#expiresAt(feedIndex) };
    return this.#cachedExpiry.until;
  }

  #expiresAt(feedIndex: number): number {
    const newest =
      this.#view === undefined
        ? Number.NEGATIVE_INFINITY
        : majorityExpiry(this.#view, this.#grants, feedIndex);
    return this.#previous === undefined
      ? newest
      : Math.max(newest, majorityExpiry(this.#previous.view, this.#previous.grants, feedIndex));
  }
}

/** Whether a node has reached the feed index that the granter had. */
function isReached(grant: { readonly place: number }, feedIndex: number): boolean {
  return grant.place <= feedIndex;
}

function majorityExpiry(
  view: ChainView,
  grants: ReadonlyMap<string, { until: number; place: number }>,
  feedIndex: number,
): number {
  // Where the members are too few to commit, any other complete replica may replace one, and it does not know the leases
  // that they granted; so the majority is taken of all holders (docs/design.md §1.5).
  const granters = holdersOf(view);
  const expiries: number[] = [];
  for (const { identity } of granters) {
    const grant = grants.get(identity);
    if (grant !== undefined && isReached(grant, feedIndex)) expiries.push(grant.until);
  }
  expiries.sort(descending);
  return expiries[Math.floor(granters.length / 2)] ?? Number.NEGATIVE_INFINITY;
}

function descending(left: number, right: number): number {
  return right - left;
}
