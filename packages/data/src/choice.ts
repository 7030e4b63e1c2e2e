import { constants, type RunnerCard } from "@chutewick/parts";
import type { Membership, Standing } from "./membership.js";
import type { PassInquiry } from "./dialect.js";

/** Which runner a work goes to (docs/design.md §13.4). Learnt from own traffic, and shared between nodes by their sessions. */
export interface Chosen {
  readonly runner: string;
  readonly incarnation: number;
  readonly address: string;
}

export type GoEnd = "done" | "refused" | "unsent" | "broken" | "failed" | "left";

/** One life of a runner as this node sees it. */
interface Sight {
  card: RunnerCard;
  /** Begun here and not ended. */
  live: number;
  items: number;
  /** The same of all other nodes, as they last told. */
  othersLive: number;
  othersItems: number;
  /** Heard of still, and has not said goodbye. */
  stands: boolean;
  /** Passed by until then, and troubles in a row. */
  shyUntil: number;
  troubles: number;
}

interface Go {
  readonly sight: Sight;
  readonly item: boolean;
  readonly beganAt: number;
}

export class Choice {
  #membership: Membership;
  #standing: Standing;
  #go = 0;
  #gos = new Map<number, Go>();
  /** By runner and life. */
  #sights = new Map<string, Sight>();
  #pools = new Map<string, Sight[]>();
  #addresses = new Map<string, Sight>();
  #runners = new Map<string, Sight>();
  #lookedAt = Number.NEGATIVE_INFINITY;
  #nodes = 1;
  #chance: number;

  constructor(membership: Membership, standing: Standing) {
    this.#membership = membership;
    this.#standing = standing;
    this.#chance = (hashOf(standing.identity) | 1) >>> 0;
  }

  get zone(): string { return this.#standing.zone; }

  /** Numbers all goes of this process. */
  nextGo(): number {
    this.#go += 1;
    return this.#go;
  }

  /** The runner of a pool that is best for an inquiry, none of those tried; for items only within the room that live work leaves. */
  choose(pool: string, inquiry: PassInquiry, tried: ReadonlySet<string>, item: boolean, now: number): Chosen | undefined {
    this.#look(now);
    const shared = sharedOf(inquiry);
    let best: Sight | undefined;
    let least = Number.POSITIVE_INFINITY;
    for (const sight of this.#pools.get(pool) ?? []) {
      const { card } = sight;
      if (tried.has(card.id) || (inquiry.model !== undefined && card.models.length > 0 && !card.models.includes(inquiry.model))) continue;
      const used = burdenOf(sight);
      if (item ? used >= card.seats * constants.lotPart : used >= card.seats * constants.seatsMost) continue;
      let price = (used + 1) / card.seats + this.#random() * constants.choiceJitter;
      if (card.zone === this.#standing.zone) price -= constants.ownZone;
      if (now < sight.shyUntil) price += constants.shyPrice;
      if (shared !== undefined && used < card.seats * constants.affinityFill) price -= affinityOf(shared, card.id);
      if (price < least) {
        least = price;
        best = sight;
      }
    }
    return best === undefined ? undefined : { runner: best.card.id, incarnation: best.card.incarnation, address: best.card.url };
  }

  /** Whether a life of a runner is heard of still. */
  stands(chosen: Chosen, now: number): boolean {
    this.#look(now);
    return this.#sights.get(keyOf(chosen.runner, chosen.incarnation))?.stands === true;
  }

  /** Connections that this node may have to the runner at an address: what its pool allows, shared by all access nodes. */
  share(address: string): number {
    const sight = this.#addresses.get(address);
    const most = sight === undefined ? 0 : this.#membership.configuration.value.pools?.[sight.card.pool ?? ""]?.connections ?? 0;
    return most === 0 ? constants.connectionsUntold : Math.max(1, Math.floor(most * constants.connectionsPart / this.#nodes));
  }

  /** A go begins at a runner, gives a first sign of work, and ends. */
  begin(go: number, runner: string, _inquiry: PassInquiry, item: boolean, now: number): void {
    const sight = this.#runners.get(runner);
    if (sight === undefined) return;
    if (item) sight.items += 1;
    else sight.live += 1;
    this.#gos.set(go, { sight, item, beganAt: now });
  }

  first(go: number, _now: number): void {
    const found = this.#gos.get(go);
    if (found !== undefined) found.sight.troubles = 0;
  }

  end(number: number, how: GoEnd, _retryAfter: number | undefined, now: number): void {
    const go = this.#gos.get(number);
    if (go === undefined) return;
    this.#gos.delete(number);
    const { sight } = go;
    if (go.item) sight.items -= 1;
    else sight.live -= 1;
    if (how === "done") sight.troubles = 0;
    if (how !== "refused" && how !== "unsent" && how !== "broken") return;
    sight.troubles = Math.min(sight.troubles + 1, 6);
    const least = how === "refused" ? constants.shyRefused : constants.shyBroken;
    sight.shyUntil = now + Math.min(least * 2 ** (sight.troubles - 1), constants.shyMost);
  }

  /** Items that this node may have begun beyond those under way, on the runners of a pool. */
  room(pool: string, now: number): number {
    this.#look(now);
    let free = 0;
    for (const sight of this.#pools.get(pool) ?? []) free += Math.max(0, sight.card.seats * constants.lotPart - burdenOf(sight));
    const share = free / this.#nodes;
    return Math.floor(share) + (this.#random() < share % 1 ? 1 : 0);
  }

  /** What this node tells the others. */
  burdens(): [runner: string, live: number, items: number][] {
    const found: [string, number, number][] = [];
    for (const { card, live, items } of this.#sights.values()) if (live > 0 || items > 0) found.push([card.id, live, items]);
    return found;
  }

  /** What is known of the runners is read anew a few times in a beat, not for each inquiry. */
  #look(now: number): void {
    if (now - this.#lookedAt < constants.lookEvery && now >= this.#lookedAt) return;
    this.#lookedAt = now;
    this.#pools = new Map();
    this.#addresses = new Map();
    this.#runners = new Map();
    const held = this.#sights;
    this.#sights = new Map();
    const others = new Map<string, [live: number, items: number]>();
    let nodes = 0;
    for (const { card, age } of this.#membership.roll.nodes) {
      if (card.kind !== "access" || age > constants.sessionLasts) continue;
      if (!card.leaving) nodes += 1;
      if (card.identity === this.#standing.identity) continue;
      for (const [runner, live, items] of card.telling.burdens ?? []) {
        const sum = others.get(runner) ?? [0, 0];
        others.set(runner, [sum[0] + live, sum[1] + items]);
      }
    }
    this.#nodes = Math.max(1, nodes);
    for (const card of this.#membership.runners(now)) {
      if (card.pool === undefined) continue;
      const key = keyOf(card.id, card.incarnation);
      const sight: Sight = held.get(key) ?? { card, live: 0, items: 0, othersLive: 0, othersItems: 0, stands: true, shyUntil: 0, troubles: 0 };
      sight.card = card;
      sight.stands = true;
      [sight.othersLive, sight.othersItems] = others.get(card.id) ?? [0, 0];
      this.#sights.set(key, sight);
      this.#addresses.set(card.url, sight);
      this.#runners.set(card.id, sight);
      const list = this.#pools.get(card.pool);
      if (list === undefined) this.#pools.set(card.pool, [sight]);
      else list.push(sight);
    }
    /** What still runs at runners that are heard of no more. */
    for (const [key, sight] of held) {
      if (this.#sights.has(key)) continue;
      sight.stands = false;
      if (sight.live > 0 || sight.items > 0) this.#sights.set(key, sight);
    }
  }

  /** From 0 up to 1; a small generator of its own, so that a run can be played again. */
  #random(): number {
    this.#chance ^= this.#chance << 13;
    this.#chance ^= this.#chance >>> 17;
    this.#chance ^= this.#chance << 5;
    return (this.#chance >>> 0) / 0x1_0000_0000;
  }
}

function burdenOf(sight: Sight): number {
  return sight.live + sight.items + sight.othersLive + sight.othersItems;
}

function keyOf(runner: string, incarnation: number): string {
  return `${runner} ${incarnation}`;
}

/** The parts of a prompt that others share, where reading them anew would take a good part of an aim. */
function sharedOf(inquiry: PassInquiry): string | undefined {
  let size = 0;
  let name = "";
  for (let index = 0; index < inquiry.parts.length - 1; index += 1) {
    size += inquiry.parts[index]!.size;
    name += ` ${inquiry.parts[index]!.name}`;
  }
  return size < constants.affinityLeast ? undefined : name;
}

/** The same at every node, from 0 to 4: highest for the runner at which those parts are kept. */
function affinityOf(shared: string, runner: string): number {
  return (hashOf(shared + runner) / 0x1_0000_0000) * 4;
}

/** Spread evenly over 32 bits. */
export function hashOf(text: string): number {
  let hash = 0x811c9dc5;
  for (let index = 0; index < text.length; index += 1) hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
  hash ^= hash >>> 16;
  hash = Math.imul(hash, 0x85ebca6b);
  hash ^= hash >>> 13;
  hash = Math.imul(hash, 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}
