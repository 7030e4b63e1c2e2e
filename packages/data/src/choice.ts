import { constants, type RunnerCard } from "@chutewick/parts";
import { ChoiceCounts } from "./choice-counts.js";
import type { FleetView } from "./fleet-view.js";
import type { Standing } from "./membership.js";
import type { PassRequest } from "./dialect.js";

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
  /** Of its name, by which shared parts are placed. */
  readonly hash: number;
  /** Connections that this node may have to it. */
  connections: number;
  /** Begun here and not ended. */
  live: number;
  items: number;
  /** The same of all other nodes, as they last told. */
  othersLive: number;
  othersItems: number;
  /** ms of reading that was sent from here and of which no first sign of work came back yet. */
  reading: number;
  /** Whether long prompts and items go here; short live ones go to the others (§13.4). */
  forLong: boolean;
  /** ms from the beginning to the first sign, of work that tells no tokens. */
  usual: number;
  /** Its first signs against what was expected: 1 is as expected, 2 twice as late. */
  slowness: number;
  /** Last sign of it, or the moment when the first work of those under way began. */
  heardAt: number;
  /** Last event of an item after the item's first, which says nothing of how soon other work would begin. */
  itemHeardAt: number;
  /** Heard of still, and has not deregistered. */
  stands: boolean;
  /** Passed by until then, and troubles in a row. */
  shyUntil: number;
  troubles: number;
}

interface Go {
  readonly sight: Sight;
  readonly item: boolean;
  readonly beganAt: number;
  /** ms of reading, where tokens are told. */
  readonly reads: number | undefined;
  readonly isLong: boolean;
  /** ms to the first sign, as expected. */
  readonly expected: number;
  readonly shared: Shared | undefined;
  begun: boolean;
}

/** What is known of a request before a runner is chosen. */
interface Prompt {
  /** tokens; undefined where none are told. */
  readonly tokens: number | undefined;
  readonly shared: Shared | undefined;
  /** Where its shared parts are kept, as far as all nodes can know. */
  readonly home: Sight | undefined;
  readonly isLong: boolean;
  readonly item: boolean;
}

/** How the runners of a pool are divided between short live work and the rest. */
interface Division {
  /** seats that short live work takes, smoothed. */
  level: number;
  /** works of long prompts of this node, smoothed. */
  long: number;
  longNow: number;
  longAt: number;
  /** Runners for short live work: the first so many by their hash. */
  first: number;
  at: number;
}

/** The parts of a prompt that others share. */
interface Shared {
  readonly hash: number;
  /** tokens */
  readonly size: number;
}

export class Choice {
  readonly counts = new ChoiceCounts();
  #fleet: FleetView;
  #standing: Standing;
  #go = 0;
  #gos = new Map<number, Go>();
  /** By runner and life. */
  #sights = new Map<string, Sight>();
  #pools = new Map<string, Sight[]>();
  #addresses = new Map<string, Sight>();
  #runners = new Map<string, Sight>();
  /** Where shared parts were read for this node lately: by their hash, the runner and when. */
  #readAt = new Map<number, Map<string, number>>();
  #divisions = new Map<string, Division>();
  #lookedAt = Number.NEGATIVE_INFINITY;
  #nodes = 1;
  #chance: number;
  #openConnections: (address: string) => number = none;

  constructor(fleet: FleetView, standing: Standing) {
    this.#fleet = fleet;
    this.#standing = standing;
    this.#chance = (hashOf(standing.identity) | 1) >>> 0;
  }

  /** @param openConnections tells how many connections to an address are open, those in use counted */
  useConnections(openConnections: (address: string) => number): void {
    this.#openConnections = openConnections;
  }

  get zone(): string {
    return this.#standing.zone;
  }

  /** Numbers all goes of this process. */
  nextGo(): number {
    this.#go += 1;
    return this.#go;
  }

  /** The runner of a pool at which a request begins soonest, none of those tried; for items only within the room that live work leaves. */
  choose(
    pool: string,
    request: PassRequest,
    tried: ReadonlySet<string>,
    item: boolean,
    now: number,
  ): Chosen | undefined {
    this.#look(now);
    const prompt = this.#prompt(pool, request, item);
    let best: Sight | undefined;
    let least = Number.POSITIVE_INFINITY;
    for (const sight of this.#pools.get(pool) ?? []) {
      const { card } = sight;
      if (tried.has(card.id) || !carries(card, request.model)) continue;
      if (
        loadOf(sight, item) >=
        card.seats * (item ? partOf(sight, this.#isDivided(pool)) : constants.seatsMost)
      )
        continue;
      let price =
        this.#expected(sight, prompt, now) * (1 + this.#random() * constants.choiceJitter);
      if (prompt.tokens !== undefined) price += awayOf(sight, prompt);
      if (card.zone !== this.#standing.zone) price += constants.otherZone;
      if (now < sight.shyUntil || this.#isQuiet(sight, now)) price += constants.shyPrice;
      if (price < least) {
        least = price;
        best = sight;
      }
    }
    if (best === undefined) this.counts.noRunner += 1;
    return best === undefined
      ? undefined
      : { runner: best.card.id, incarnation: best.card.incarnation, address: best.card.url };
  }

  #prompt(pool: string, request: PassRequest, item: boolean): Prompt {
    const tokens = tokensOf(request);
    const isLong = !item && tokens !== undefined && tokens >= constants.longLeast;
    const shared = sharedOf(request);
    return {
      tokens,
      shared,
      home: shared === undefined ? undefined : homeOf(shared, this.#pools.get(pool) ?? [], isLong),
      isLong,
      item,
    };
  }

  /** ms until the first sign of work. */
  #expected(sight: Sight, prompt: Prompt, now: number): number {
    const { seats } = sight.card;
    const used = this.#crowd(sight, prompt.item);
    const over = Math.max(0, used + 1 - seats) / seats;
    if (prompt.tokens === undefined)
      return sight.usual * (1 + used / seats + over * constants.queueWeight);
    return (
      (this.#reads(sight, prompt, now) +
        sight.reading +
        used * constants.besidePrice +
        over * constants.seatWait +
        constants.firstLeast) *
      sight.slowness
    );
  }

  /** Seats taken: what others told is some 0.5 s old, and in a rush they send as this node does. */
  #crowd(sight: Sight, item: boolean): number {
    return (
      loadOf(sight, item) +
      Math.max(0, sight.live * (this.#nodes - 1) * constants.alikePart - sight.othersLive)
    );
  }

  /** ms that a runner reads a prompt for: what it does not keep, each token against all before it. */
  #reads(sight: Sight, { tokens, shared, home }: Prompt, now: number): number {
    const all = tokens ?? 0;
    const kept =
      shared !== undefined && (home === sight || this.#wasRead(shared, sight, now))
        ? Math.min(shared.size, all)
        : 0;
    const unread = all - kept;
    return unread / constants.tokensRead + (unread * (all - unread / 2)) / constants.pairsRead;
  }

  #wasRead(shared: Shared, sight: Sight, now: number): boolean {
    const at = this.#readAt.get(shared.hash)?.get(sight.card.id);
    return at !== undefined && now - at < constants.partsKept;
  }

  /** Work is there, and nothing is heard of it for longer than its reading takes. */
  #isQuiet(sight: Sight, now: number): boolean {
    return (
      sight.live + sight.items > 0 &&
      now - sight.heardAt >
        sight.reading +
          (sight.card.models.length > 0 ? constants.quietReading : constants.quietLeast)
    );
  }

  /** Whether the runner of a go gives no sign at all, on any work of this node. */
  isQuiet(go: number, now: number): boolean {
    const found = this.#gos.get(go);
    return found !== undefined && this.#isQuiet(found.sight, now);
  }

  /** The same, where events of items on their way count as signs, too. */
  isDark(go: number, now: number): boolean {
    const found = this.#gos.get(go);
    if (found === undefined || !this.#isQuiet(found.sight, now)) return false;
    return now - found.sight.itemHeardAt > constants.quietReading;
  }

  /** Whether any runner of a pool is heard of. */
  knows(pool: string, now: number): boolean {
    this.#look(now);
    return this.#pools.has(pool);
  }

  /** Whether a life of a runner is heard of still. */
  stands(chosen: Chosen, now: number): boolean {
    this.#look(now);
    return this.#sights.get(keyOf(chosen.runner, chosen.incarnation))?.stands === true;
  }

  /** Connections that this node may have to the runner at an address: what its pool allows, shared by all access nodes. */
  share(address: string): number {
    return this.#addresses.get(address)?.connections ?? constants.connectionsUntold;
  }

  /** Of what a pool allows one runner, the part of this node. */
  #shareOf(pool: string): number {
    const most = this.#fleet.configuration.value.pools?.[pool]?.connections ?? 0;
    return most === 0
      ? constants.connectionsUntold
      : Math.max(1, Math.floor((most * constants.connectionsPart) / this.#nodes));
  }

  /** A go begins at a runner, gives a first sign of work, and ends. */
  begin(go: number, runner: string, request: PassRequest, item: boolean, now: number): void {
    const sight = this.#runners.get(runner);
    if (sight === undefined) return;
    const prompt = this.#prompt(sight.card.pool!, request, item);
    const expected = this.#expected(sight, prompt, now);
    this.#count(sight, prompt, now);
    if (sight.live + sight.items === 0) sight.heardAt = now;
    if (item) sight.items += 1;
    else sight.live += 1;
    const reads = prompt.tokens === undefined ? undefined : this.#reads(sight, prompt, now);
    sight.reading += reads ?? 0;
    this.#gos.set(go, {
      sight,
      item,
      beganAt: now,
      reads,
      isLong: prompt.isLong,
      expected,
      shared: prompt.shared,
      begun: false,
    });
    if (prompt.isLong) this.#long(sight.card.pool!, 1, now);
  }

  #count(sight: Sight, { tokens, shared, home }: Prompt, now: number): void {
    const { counts } = this;
    if (shared !== undefined && home === sight) counts.sharedAtHome += 1;
    else if (shared !== undefined && this.#wasRead(shared, sight, now))
      counts.sharedReadLately += 1;
    else if (shared !== undefined) {
      counts.sharedUnread += 1;
      counts.sharedTokensUnread += Math.min(shared.size, tokens ?? 0);
    }
    const used = sight.live + sight.items;
    if (used >= sight.connections) counts.connectionAwaited += 1;
    else if (used < this.#openConnections(sight.card.url)) counts.connectionOpen += 1;
    else counts.connectionNew += 1;
  }

  /** Any sign of a go's work. */
  sign(number: number, now: number): void {
    const go = this.#gos.get(number);
    if (go !== undefined) go.sight.heardAt = now;
  }

  /** An event of an item after its first. */
  itemSign(number: number, now: number): void {
    const go = this.#gos.get(number);
    if (go !== undefined) go.sight.itemHeardAt = now;
  }

  first(number: number, now: number): void {
    const go = this.#gos.get(number);
    if (go === undefined || go.begun) return;
    go.begun = true;
    const { sight } = go;
    sight.heardAt = now;
    sight.troubles = 0;
    sight.reading -= go.reads ?? 0;
    const took = now - go.beganAt;
    if (!go.item) this.#countFirstSign(go.expected, took);
    if (go.reads === undefined) sight.usual += (took - sight.usual) * constants.learnPart;
    else if (!go.item)
      sight.slowness +=
        (between(
          ((took + constants.firstLeast) / (go.expected + constants.firstLeast)) * sight.slowness,
          0.5,
          4,
        ) -
          sight.slowness) *
        constants.learnPart;
    if (go.shared !== undefined) this.#remember(go.shared, sight.card.id, now);
  }

  #countFirstSign(expected: number, took: number): void {
    this.counts.firstSigns += 1;
    this.counts.firstSignsExpected += expected;
    this.counts.firstSignsTook += took;
  }

  #remember(shared: Shared, runner: string, now: number): void {
    const held = this.#readAt.get(shared.hash) ?? new Map<string, number>();
    held.set(runner, now);
    /** Those used last stand last. */
    this.#readAt.delete(shared.hash);
    this.#readAt.set(shared.hash, held);
    for (const oldest of this.#readAt.keys()) {
      if (this.#readAt.size <= constants.partsMost) break;
      this.#readAt.delete(oldest);
    }
  }

  end(number: number, how: GoEnd, _retryAfter: number | undefined, now: number): void {
    const go = this.#gos.get(number);
    if (go === undefined) return;
    this.#gos.delete(number);
    const { sight } = go;
    if (go.item) sight.items -= 1;
    else sight.live -= 1;
    if (!go.begun) sight.reading -= go.reads ?? 0;
    if (go.isLong) this.#long(sight.card.pool!, -1, now);
    if (how === "done" || how === "refused" || how === "failed") sight.heardAt = now;
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
    for (const sight of this.#pools.get(pool) ?? [])
      if (now >= sight.shyUntil)
        free += Math.max(
          0,
          sight.card.seats * partOf(sight, this.#isDivided(pool)) - loadOf(sight, true),
        );
    const share = free / this.#nodes;
    return Math.floor(share) + (this.#random() < share % 1 ? 1 : 0);
  }

  /** What this node tells the others. */
  loads(): [runner: string, live: number, items: number][] {
    const found: [string, number, number][] = [];
    for (const { card, live, items } of this.#sights.values())
      if (live > 0 || items > 0) found.push([card.id, live, items]);
    return found;
  }

  #isDivided(pool: string): boolean {
    return (
      (this.#divisions.get(pool)?.first ?? Number.POSITIVE_INFINITY) !== Number.POSITIVE_INFINITY
    );
  }

  #division(pool: string, now: number): Division {
    let division = this.#divisions.get(pool);
    if (division === undefined)
      this.#divisions.set(
        pool,
        (division = {
          level: 0,
          long: 0,
          longNow: 0,
          longAt: now,
          first: Number.POSITIVE_INFINITY,
          at: now,
        }),
      );
    return division;
  }

  #long(pool: string, count: number, now: number): void {
    const division = this.#division(pool, now);
    division.longNow += count;
    division.longAt = now;
  }

  /** As many runners for short live work as it needs, the same ones at every node; the rest for items, long prompts and what these share. */
  #divide(pool: string, sights: Sight[], now: number): void {
    const division = this.#division(pool, now);
    const span = now - division.at;
    division.at = now;
    let used = 0;
    let seats = 0;
    for (const sight of sights) {
      used += sight.live + sight.othersLive;
      seats += sight.card.seats;
    }
    division.long += (division.longNow - division.long) * Math.min(1, span / constants.longSmooth);
    const level = Math.max(0, used - division.long * this.#nodes);
    division.level +=
      (level - division.level) *
      Math.min(1, span / (level > division.level ? constants.levelUp : constants.levelDown));
    const most = sights.length - Math.max(1, Math.ceil(sights.length * constants.longPart));
    if (sights.length < constants.divideLeast || now - division.longAt > constants.longLasts)
      division.first = Number.POSITIVE_INFINITY;
    else {
      const needed = division.level / (seats / sights.length) / constants.shortFill;
      /** Only when well above or below, so that homes of shared parts seldom move, and nodes seldom differ. */
      if (
        needed > division.first + constants.divideOver ||
        needed < division.first - constants.divideUnder ||
        division.first > most
      )
        division.first = Math.ceil(needed);
      division.first = between(
        division.first,
        Math.ceil(sights.length * constants.shortPart),
        most,
      );
    }
    if (division.first < sights.length) sights.sort(byHash);
    for (let index = 0; index < sights.length; index += 1)
      sights[index]!.forLong = index >= division.first;
  }

  /** What is known of the runners is read anew a few times in a beat, not for each request. */
  #look(now: number): void {
    /** With thousands of runners a look costs milliseconds: then more seldom. */
    const span = Math.min(
      constants.lookMost,
      constants.lookEvery * (1 + this.#runners.size / constants.lookRunners),
    );
    if (now - this.#lookedAt < span && now >= this.#lookedAt) return;
    this.#lookedAt = now;
    this.#pools = new Map();
    this.#addresses = new Map();
    this.#runners = new Map();
    const held = this.#sights;
    this.#sights = new Map();
    const others = new Map<string, [live: number, items: number]>();
    let nodes = 0;
    for (const { card, age } of this.#fleet.registry.nodes) {
      if (card.kind !== "access" || age > constants.sessionLasts) continue;
      if (!card.leaving) nodes += 1;
    }
    for (const [runner, live, items] of this.#fleet.registry.others ?? [])
      others.set(runner, [live, items]);
    this.#nodes = Math.max(1, nodes);
    for (const card of this.#fleet.runners(now)) {
      if (card.pool === undefined) continue;
      const key = keyOf(card.id, card.incarnation);
      const sight: Sight = held.get(key) ?? {
        card,
        hash: hashOf(card.id),
        connections: constants.connectionsUntold,
        live: 0,
        items: 0,
        othersLive: 0,
        othersItems: 0,
        reading: 0,
        forLong: false,
        usual: constants.usualFirst,
        slowness: 1,
        heardAt: now,
        itemHeardAt: Number.NEGATIVE_INFINITY,
        stands: true,
        shyUntil: 0,
        troubles: 0,
      };
      sight.card = card;
      sight.connections = this.#shareOf(card.pool);
      sight.stands = true;
      [sight.othersLive, sight.othersItems] = others.get(card.id) ?? [0, 0];
      this.#sights.set(key, sight);
      this.#addresses.set(card.url, sight);
      this.#runners.set(card.id, sight);
      const list = this.#pools.get(card.pool);
      if (list === undefined) this.#pools.set(card.pool, [sight]);
      else list.push(sight);
    }
    for (const [pool, sights] of this.#pools) this.#divide(pool, sights, now);
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

/** Seats that a work finds taken: an item gives way to live work, though not for nothing. */
function loadOf(sight: Sight, item: boolean): number {
  return (
    sight.live +
    sight.othersLive +
    (sight.items + sight.othersItems) * (item ? 1 : constants.itemWeight)
  );
}

/** Part of a runner's seats up to which items go there: less where short live work goes, which would put them back. */
function partOf(sight: Sight, divided: boolean): number {
  return divided && !sight.forLong ? constants.itemPartShort : constants.itemPart;
}

/** ms. What it costs to send work to a runner that is meant for other work. */
function awayOf(sight: Sight, prompt: Prompt): number {
  if (prompt.item) return sight.forLong ? 0 : constants.itemAway;
  if (prompt.isLong === sight.forLong) return 0;
  return prompt.isLong ? constants.longAway : constants.shortAway;
}

function keyOf(runner: string, incarnation: number): string {
  return `${runner} ${incarnation}`;
}

function carries(card: RunnerCard, model: string | undefined): boolean {
  return model === undefined || card.models.length === 0 || card.models.includes(model);
}

function tokensOf(request: PassRequest): number | undefined {
  if (request.tokensIn !== undefined || request.parts.length === 0) return request.tokensIn;
  let size = 0;
  for (const part of request.parts) size += part.size;
  return size;
}

function sharedOf(request: PassRequest): Shared | undefined {
  const { parts } = request;
  if (parts.length < 2) return undefined;
  let size = 0;
  let hash = 0;
  for (let index = 0; index < parts.length - 1; index += 1) {
    size += parts[index]!.size;
    hash = mixed(hash ^ hashOf(parts[index]!.name));
  }
  return { hash, size };
}

/** The runner that keeps shared parts: the same one at every node, and few move when runners come and go. */
function homeOf(shared: Shared, sights: readonly Sight[], isLong: boolean): Sight | undefined {
  let home: Sight | undefined;
  let most = -1;
  const divided = sights.at(-1)?.forLong === true;
  for (const sight of sights) {
    if (divided && sight.forLong !== isLong) continue;
    const rank = mixed(shared.hash ^ sight.hash);
    if (rank <= most) continue;
    most = rank;
    home = sight;
  }
  return home;
}

function byHash(one: Sight, other: Sight): number {
  return one.hash - other.hash;
}

function between(value: number, least: number, most: number): number {
  return Math.min(Math.max(value, least), most);
}

function none(): number {
  return 0;
}

/** Spread evenly over 32 bits. */
export function hashOf(text: string): number {
  let hash = 0x811c9dc5;
  for (let index = 0; index < text.length; index += 1)
    hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
  return mixed(hash);
}

function mixed(value: number): number {
  let hash = value ^ (value >>> 16);
  hash = Math.imul(hash, 0x85ebca6b);
  hash ^= hash >>> 13;
  hash = Math.imul(hash, 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}
