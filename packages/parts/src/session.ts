import { constants } from "./constants.js";
import { holdersOf, type ChainView } from "./chain.js";
import { policy, type Policy } from "./policy.js";

/** Sessions of nodes with control machines, leases, and the registry of runners (docs/design.md §4, §7). */
export interface NodeCard {
  readonly identity: string;
  readonly address: string;
  readonly kind: "access" | "storage";
  readonly zone: string;
  /** Its name in the deployment, under which operators speak of it; its disk's identity may change (§13.8). */
  readonly name?: string;
  /** Where callers or operators reach it over HTTP. */
  readonly http: string;
  /** About to stop as planned: its duties are handed over (§8.6). */
  readonly leaving: boolean;
  /** Not bound by a promise to a peer: only then does its place count, and may it get a lease (§7.4). */
  readonly free: boolean;
  /** What this node says of itself: its place in the feed and what it found out. */
  readonly place: number;
  readonly telling: Telling;
}

export interface Telling {
  /** Chains that this storage machine has copied whole, with the view's mark. */
  readonly copied?: readonly (readonly [queue: string, mark: number])[];
  /** Replicas that hold up a chain, as seen from here. */
  readonly stuck?: readonly (readonly [queue: string, mark: number, identity: string])[];
  readonly runners?: readonly RunnerCard[];
  /** Of queues owned here: the share in force by its mark, what it may still come to hold, and what it needs; in all, and by season. */
  readonly shares?: readonly (readonly [
    queue: string,
    shareMark: number,
    held: number,
    need: number,
    classes?: readonly ShareTelling[],
  ])[];
  /** Lot prompts that this access node has under way, by runner. */
  readonly lots?: readonly (readonly [runner: string, count: number])[];
  /** What this access node has under way on passages, by runner: live requests and items of lots. */
  readonly burdens?: readonly RunnerLoad[];
  /** Live requests turned away for want of a seat lately, by model. */
  readonly turnedAway?: readonly (readonly [model: string, count: number])[];
}

export type ShareTelling = readonly [season: string, held: number, need: number];

export interface RunnerCard {
  readonly id: string;
  /** Grows with each life of the runner, so an old word is known as such however late it comes (§7.5). */
  readonly incarnation: number;
  readonly url: string;
  readonly kind: "model" | "plain";
  readonly models: readonly string[];
  readonly labels: Readonly<Record<string, string>>;
  readonly seats: number;
  readonly zone: string;
  readonly burden: number;
  /** Rises with each word of this life, where runners number their words: a late one is known by it (§13.8). */
  readonly sequence?: number;
  /** The pool it belongs to, where passages lead to it (§13.1). */
  readonly pool?: string;
  /** ms that it stays slow from when it was told. */
  readonly warming?: number;
  /** ms since the runner itself was heard by whoever told it. */
  readonly age: number;
}

export interface RegistryNode {
  readonly card: NodeCard;
  readonly age: number;
}

export interface RunnerRegistry {
  readonly nodes: readonly RegistryNode[];
  readonly runners: readonly RunnerCard[];
  /** Sums over all access nodes but the one that is told: work under way on passages, by runner (§13.4). */
  readonly others?: readonly RunnerLoad[];
}

/** A registry that tells nothing. */
export const emptyRegistry: RunnerRegistry = { nodes: [], runners: [] };

export type RunnerLoad = readonly [runner: string, live: number, items: number];

interface Session {
  card: NodeCard;
  heardAt: number;
  /** End of the lease granted here, or undefined where the session is known by hearsay. */
  leaseUntil: number | undefined;
  taken: number;
  /** Moment of the last word heard from the node itself, by its own clock. */
  askedAt?: number;
}

/** A later life of a runner counts before an earlier one, whenever heard; within a life the later word does, by its number where it has one (§7.5). */
export function isNewerWord(
  card: RunnerCard,
  heardAt: number,
  held: RunnerCard,
  heldAt: number,
): boolean {
  if (card.incarnation !== held.incarnation) return card.incarnation > held.incarnation;
  const [number, heldNumber] = [card.sequence ?? 0, held.sequence ?? 0];
  return number === heldNumber ? heardAt > heldAt : number > heldNumber;
}

/** Whether a word says something that nodes act upon: where it stands, what it carries. */
export function saysNew(card: RunnerCard, held: RunnerCard | undefined): boolean {
  return held === undefined || lasting(card) !== lasting(held);
}

function lasting({
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
}: RunnerCard): string {
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

/** A moment by the clock of one life of a control machine. */
export interface Stamp {
  readonly life: string;
  readonly at: number;
}

/** A stamp given back, and how long it was held here: so its giver knows how long a message was on its way at most (§7.5). */
export interface Back extends Stamp {
  readonly held: number;
}

/** ms. How late a message may be; one without a stamp of this life may be as late as a session lasts. */
export function lateness(back: Back | null | undefined, life: string, now: number): number {
  /** Releases that know no stamps. */
  if (back === undefined) return 0;
  return back === null || back.life !== life
    ? constants.sessionLasts
    : Math.max(0, now - back.at - back.held);
}

export function giveBack(held: { stamp: Stamp; at: number } | undefined, now: number): Back | null {
  return held === undefined ? null : { ...held.stamp, held: now - held.at };
}

/** Control side. */
export class Sessions {
  #sessions = new Map<string, Session>();
  #runners = new Map<string, { card: RunnerCard; heardAt: number }>();
  #policy: Policy;
  /** Work under way by runner, over all access nodes, summed once a beat. */
  #sums = new Map<string, [live: number, items: number]>();
  #summedAt = Number.NEGATIVE_INFINITY;

  constructor(chosen: Policy = policy.usual) {
    this.#policy = chosen;
  }

  /** Nodes with a session here, by hearsay too. */
  get size(): number {
    return this.#sessions.size;
  }

  /** A runner's own word: whether it is newer than all that was known, and whether it is worth telling at once. */
  announced(card: RunnerCard, now: number): { newer: boolean; news: boolean } {
    const held = this.#runners.get(card.id);
    const newer = held === undefined || isNewerWord(card, now, held.card, held.heardAt);
    const known =
      held !== undefined && now - held.heardAt <= this.#policy.runnerLasts ? held.card : undefined;
    if (newer) this.#runners.set(card.id, { card, heardAt: now });
    return { newer, news: newer && saysNew(card, known) };
  }

  /**
   * Late: how long the message may have been on its way, which makes the runners' words in it older. False where a later word of the
   * node is known, so that nothing was taken.
   */
  heard(
    card: NodeCard,
    now: number,
    leaseUntil: number | undefined,
    age: number,
    late: number,
    askedAt?: number,
  ): boolean {
    const held = this.#sessions.get(card.identity);
    /** An earlier word of the same life that came after a later one: it says where the node stood, not where it stands (§4.2). */
    if (
      held?.askedAt !== undefined &&
      askedAt !== undefined &&
      askedAt < held.askedAt &&
      held.askedAt - askedAt < constants.nearLasts
    )
      return false;
    const heardAt = now - age;
    /** The first word of a new life at an address: the one before is over, and so is its lease. Hearsay may be of an earlier life. */
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
    for (const runner of card.telling.runners ?? []) this.#heardRunner(runner, now - late);
    return true;
  }

  #heardRunner(card: RunnerCard, now: number): void {
    const heardAt = now - card.age;
    const held = this.#runners.get(card.id);
    if (held === undefined || isNewerWord(card, heardAt, held.card, held.heardAt))
      this.#runners.set(card.id, { card, heardAt });
  }

  merge(registry: RunnerRegistry, now: number, late: number): void {
    for (const { card, age } of registry.nodes) this.heard(card, now, undefined, age, late);
    for (const runner of registry.runners) this.#heardRunner(runner, now - late);
  }

  forget(now: number): void {
    for (const [identity, session] of this.#sessions) {
      if (now - session.heardAt > constants.sessionLasts * 4 && (session.leaseUntil ?? 0) < now)
        this.#sessions.delete(identity);
    }
    for (const [id, runner] of this.#runners)
      if (now - runner.heardAt > this.#policy.runnerLasts * 4) this.#runners.delete(id);
  }

  /** Whether any node told of itself lately; where none did, this machine is the one that is away. */
  hearsAny(now: number): boolean {
    for (const session of this.#sessions.values())
      if (now - session.heardAt <= constants.sessionEvery * 3) return true;
    return false;
  }

  live(kind: NodeCard["kind"], now: number): NodeCard[] {
    const found: NodeCard[] = [];
    for (const session of this.#sessions.values()) {
      if (session.card.kind === kind && now - session.heardAt <= constants.sessionLasts)
        found.push(session.card);
    }
    return found;
  }

  /** Nodes with a session held right here, to whom the feed is sent at once. */
  followers(now: number): NodeCard[] {
    const found: NodeCard[] = [];
    for (const session of this.#sessions.values())
      if ((session.leaseUntil ?? 0) > now) found.push(session.card);
    return found;
  }

  /** How many leases granted here still count. */
  holders(now: number): number {
    let count = 0;
    for (const { leaseUntil } of this.#sessions.values())
      if (leaseUntil !== undefined && leaseUntil > now) count += 1;
    return count;
  }

  /** Place that the node at an address took while it was free. */
  taken(address: string): number {
    let place = 0;
    let heardAt = Number.NEGATIVE_INFINITY;
    for (const session of this.#sessions.values()) {
      if (session.card.address !== address || session.heardAt < heardAt) continue;
      heardAt = session.heardAt;
      place = session.taken;
    }
    return place;
  }

  /** The place that every holder of a lease granted here has reached. */
  covered(limit: number, now: number): number {
    let place = limit;
    for (const session of this.#sessions.values()) {
      if (session.leaseUntil !== undefined && session.leaseUntil > now)
        place = Math.min(place, session.card.place);
    }
    return place;
  }

  /** Without what only control acts upon; loads as sums, so that a registry grows with nodes plus runners, not with their product. */
  registryForNodes(now: number, identity: string): RunnerRegistry {
    const { nodes, runners } = this.registry(now);
    const told: RegistryNode[] = [];
    for (const { card, age } of nodes)
      told.push({
        card: {
          ...card,
          telling: { lots: card.telling.lots, turnedAway: card.telling.turnedAway },
        },
        age,
      });
    return { nodes: told, runners, others: this.#othersThan(identity, now) };
  }

  #othersThan(identity: string, now: number): RunnerLoad[] {
    if (now - this.#summedAt >= constants.beatEvery || now < this.#summedAt) {
      this.#summedAt = now;
      this.#sums = new Map();
      for (const { card, heardAt } of this.#sessions.values()) {
        if (card.kind !== "access" || now - heardAt > constants.sessionLasts) continue;
        for (const [runner, live, items] of card.telling.burdens ?? []) {
          const sum = this.#sums.get(runner) ?? [0, 0];
          this.#sums.set(runner, [sum[0] + live, sum[1] + items]);
        }
      }
    }
    const own = new Map<string, RunnerLoad>();
    for (const load of this.#sessions.get(identity)?.card.telling.burdens ?? [])
      own.set(load[0], load);
    const others: RunnerLoad[] = [];
    for (const [runner, [live, items]] of this.#sums) {
      const [, ownLive, ownItems] = own.get(runner) ?? [runner, 0, 0];
      if (live > ownLive || items > ownItems)
        others.push([runner, Math.max(0, live - ownLive), Math.max(0, items - ownItems)]);
    }
    return others;
  }

  registry(now: number): RunnerRegistry {
    const nodes: RegistryNode[] = [];
    for (const session of this.#sessions.values()) {
      const age = now - session.heardAt;
      /** Loads are told to every control machine by the nodes themselves. */
      if (age <= constants.sessionLasts)
        nodes.push({
          card: {
            ...session.card,
            telling: { ...session.card.telling, runners: [], burdens: undefined },
          },
          age,
        });
    }
    const runners: RunnerCard[] = [];
    for (const { card, heardAt } of this.#runners.values()) {
      const age = now - heardAt;
      if (age <= this.#policy.runnerLasts) runners.push({ ...card, age });
    }
    return { nodes, runners };
  }
}

/** What nodes say to each other while control is away (§7.4). */
export type PeerMessage =
  | { readonly kind: "fellow-ask"; readonly askedAt: number; readonly place: number }
  | {
      readonly kind: "fellow-tell";
      readonly askedAt: number;
      readonly place: number;
      /** Control is away from here too, and nothing is taken from it while the permit lasts. */
      readonly promises: boolean;
      readonly runners: readonly RunnerCard[];
      readonly closed: readonly (readonly [runner: string, incarnation: number])[];
    };

/** ms. For how long a holder may count on what it was given for `lasts`, counted from when it asked, by a clock that may go slower. */
export function heldFor(lasts: number): number {
  return lasts * (1 - constants.clockRatesApart);
}

/** Node side: a lease counts while a majority of the newest view's members grant it. */
export class Lease {
  #view: ChainView | undefined;
  #grants = new Map<string, { until: number; place: number }>();
  /** The view before: its grants run to their end, since every member of the next waits that long (§7.2). */
  #before: { view: ChainView; grants: Map<string, { until: number; place: number }> } | undefined;
  /** The end last worked out, until a grant changes it: it is asked for several times with each beat and message. */
  #known: { readonly place: number; readonly until: number } | undefined;

  get view(): ChainView | undefined {
    return this.#view;
  }

  /** The lease runs from the moment this node asked, so it ends here before it ends at the granter. */
  granted(identity: string, view: ChainView, askedAt: number, place: number): void {
    if (this.#view === undefined || view.mark > this.#view.mark) {
      if (this.#view !== undefined) this.#before = { view: this.#view, grants: this.#grants };
      this.#view = view;
      this.#grants = new Map();
      this.#known = undefined;
    }
    if (view.mark !== this.#view.mark) return;
    this.#grants.set(identity, { until: askedAt + heldFor(constants.leaseLasts), place });
    this.#known = undefined;
  }

  /** A grant counts only for a node that has come as far in the feed as the granter had. */
  holds(now: number, place: number): boolean {
    return now < this.until(place);
  }

  /** Members of the newest view whose grants count at a moment for a node at a place. */
  granters(now: number, place: number): string[] {
    const found: string[] = [];
    for (const [identity, grant] of this.#grants)
      if (grant.until > now && isReached(grant, place)) found.push(identity);
    return found;
  }

  /** Moment at which the lease ends for a node that has come to a place in the feed. */
  until(place: number): number {
    if (this.#known?.place !== place) this.#known = { place, until: this.#untilAt(place) };
    return this.#known.until;
  }

  #untilAt(place: number): number {
    const newest =
      this.#view === undefined
        ? Number.NEGATIVE_INFINITY
        : majorityUntil(this.#view, this.#grants, place);
    return this.#before === undefined
      ? newest
      : Math.max(newest, majorityUntil(this.#before.view, this.#before.grants, place));
  }
}

/** Whether a node has come as far as the granter had. */
function isReached(grant: { readonly place: number }, place: number): boolean {
  return grant.place <= place;
}

function majorityUntil(
  view: ChainView,
  grants: ReadonlyMap<string, { until: number; place: number }>,
  place: number,
): number {
  /** Of members too few to confirm, any other that held all may take the place, and it knows of no lease that they gave (§1.5). */
  const granters = holdersOf(view);
  const ends: number[] = [];
  for (const { identity } of granters) {
    const grant = grants.get(identity);
    if (grant !== undefined && isReached(grant, place)) ends.push(grant.until);
  }
  ends.sort(descending);
  return ends[Math.floor(granters.length / 2)] ?? Number.NEGATIVE_INFINITY;
}

function descending(left: number, right: number): number {
  return right - left;
}
