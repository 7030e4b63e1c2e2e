/** A fleet of runners in virtual time, whose number is ordered while requests arrive in waves and bursts (docs/design.md §14.4). */
import type { PoolLoad, ScalingBounds, ScalingOrder, ZoneRunners } from "@chutewick/control";
import { Chance } from "@chutewick/simulator";

/** ms */
const STEP = 50;
const ORDERED_EVERY = 500;
const LIVE_TAKES = 450;
const ITEM_TAKES = 1_000;
const LATE_AFTER = 300;
const ITEM_LATE_AFTER = 8_000;
const SEATS = 16;
/** Of work whose runner is full, in times of that of one alone. */
const FULL_SLOWS = 0.5;
/** requests/s at rest. */
const LIVE_RATE = 230;
const ITEM_RATE = 60;
const ITEMS_OF_LOT = 60;
const BURST = 1.7;
/** ms */
const BURST_LASTS = 5_000;

/** How requests arrive. */
export interface Arrivals {
  /** part by which the rate rises and falls. */
  readonly wave: number;
  /** ms */
  readonly wavePeriod: number;
  /** ms from one burst to the next; 0 for none. */
  readonly burstEvery: number;
}

/** What a way of ordering runners cost and earned. */
export interface Outcome {
  arrived: number;
  late: number;
  itemsLate: number;
  /** s */
  paid: number;
  /** Changes from more to fewer or back. */
  turns: number;
  orders: number;
}

/** Decides on orders by what is known of the pool. */
export type Way = (load: PoolLoad, now: number) => readonly ScalingOrder[];

interface Runner {
  readonly zone: string;
  /** ms */
  readonly servesAt: number;
}

interface Waiting {
  readonly since: number;
  count: number;
}

/** One pool of runners in several zones. */
export class SimulatedFleet {
  readonly outcome: Outcome = { arrived: 0, late: 0, itemsLate: 0, paid: 0, turns: 0, orders: 0 };
  readonly bounds: ScalingBounds;
  now = 0;
  readonly #chance: Chance;
  readonly #arrivals: Arrivals;
  readonly #ordered = new Map<string, number>();
  readonly #darkZones = new Set<string>();
  #runners: Runner[] = [];
  #liveWaiting: Waiting[] = [];
  #itemsWaiting: Waiting[] = [];
  /** Moments at which work under way ends, with how much. */
  #liveEnds = new Map<number, number>();
  #itemEnds = new Map<number, number>();
  #live = 0;
  #items = 0;
  #isRising: boolean | undefined;

  constructor(seed: number, bounds: ScalingBounds, zones: readonly string[], arrivals: Arrivals) {
    this.#chance = new Chance(seed);
    this.bounds = bounds;
    this.#arrivals = arrivals;
    const atStart = Math.round((bounds.minimum + bounds.maximum) / 2);
    for (const zone of zones)
      for (let count = 0; count < atStart; count += 1) this.#runners.push({ zone, servesAt: 0 });
  }

  /** Runners heard of in each zone, and what stands ordered. */
  get zones(): ZoneRunners[] {
    const serving = this.#runners.filter(({ servesAt }) => servesAt <= this.now);
    const names = new Set(this.#runners.map(({ zone }) => zone));
    return [...names].map((zone) => ({
      zone,
      runners: this.#darkZones.has(zone) ? 0 : serving.filter((each) => each.zone === zone).length,
      ordered: this.#ordered.get(zone),
    }));
  }

  get load(): PoolLoad {
    const { bounds, zones } = this;
    return { pool: "pool", bounds, seats: SEATS, live: this.#live, items: this.#items, zones };
  }

  get size(): number {
    return this.#runners.length;
  }

  darken(zone: string): void {
    this.#darkZones.add(zone);
  }

  /** One of its runners never serves again, though it stands ordered. */
  lose(zone: string): void {
    const lost = this.#runners.findIndex((runner) => runner.zone === zone);
    this.#runners[lost] = { zone, servesAt: Number.POSITIVE_INFINITY };
  }

  pass(milliseconds: number, way: Way): void {
    const end = this.now + milliseconds;
    while (this.now < end) {
      this.now += STEP;
      this.#endWork();
      this.#arrive();
      this.#serve();
      this.outcome.paid += (this.#runners.length * STEP) / 1_000;
      if (this.now % ORDERED_EVERY === 0)
        for (const order of way(this.load, this.now)) this.#carryOut(order);
    }
  }

  get #seats(): number {
    let seats = 0;
    for (const { runners } of this.zones) seats += runners * SEATS;
    return seats;
  }

  #endWork(): void {
    this.#live -= this.#liveEnds.get(this.now) ?? 0;
    this.#items -= this.#itemEnds.get(this.now) ?? 0;
    this.#liveEnds.delete(this.now);
    this.#itemEnds.delete(this.now);
  }

  #arrive(): void {
    const { wave, wavePeriod, burstEvery } = this.#arrivals;
    const isBurst = burstEvery > 0 && this.now % burstEvery < BURST_LASTS && this.now > burstEvery;
    const level =
      (1 + wave * Math.sin((2 * Math.PI * this.now) / wavePeriod)) * (isBurst ? BURST : 1);
    const live = this.#drawn((LIVE_RATE * level * STEP) / 1_000);
    this.outcome.arrived += live;
    if (live > 0) this.#liveWaiting.push({ since: this.now, count: live });
    const lots = this.#drawn((ITEM_RATE * level * STEP) / 1_000 / ITEMS_OF_LOT);
    if (lots > 0) this.#itemsWaiting.push({ since: this.now, count: lots * ITEMS_OF_LOT });
  }

  /** How many of something that comes by chance, by its mean. */
  #drawn(mean: number): number {
    let left = Math.exp(-mean);
    let count = 0;
    for (let point = this.#chance.next(); point > left; count += 1) {
      point -= left;
      left *= mean / (count + 1);
      if (count > 1_000) break;
    }
    return count;
  }

  #serve(): void {
    const seats = this.#seats;
    const begunLive = this.#begin(this.#liveWaiting, seats - this.#live - this.#items, LATE_AFTER);
    this.outcome.late += begunLive.late;
    this.#live += begunLive.count;
    const free = seats - this.#live - this.#items;
    const begunItems = this.#begin(this.#itemsWaiting, free, ITEM_LATE_AFTER);
    this.outcome.itemsLate += begunItems.late;
    this.#items += begunItems.count;
    const slowed = 1 + FULL_SLOWS * Math.min(1, (this.#live + this.#items) / Math.max(1, seats));
    this.#endAfter(this.#liveEnds, begunLive.count, LIVE_TAKES * slowed);
    this.#endAfter(this.#itemEnds, begunItems.count, ITEM_TAKES * slowed);
  }

  #begin(waiting: Waiting[], free: number, lateAfter: number): { count: number; late: number } {
    const begun = { count: 0, late: 0 };
    while (waiting.length > 0 && begun.count < free) {
      const first = waiting[0]!;
      const count = Math.min(first.count, free - begun.count);
      begun.count += count;
      if (this.now - first.since > lateAfter) begun.late += count;
      first.count -= count;
      if (first.count === 0) waiting.shift();
    }
    return begun;
  }

  #endAfter(ends: Map<number, number>, count: number, takes: number): void {
    const at = this.now + Math.max(STEP, Math.round(takes / STEP) * STEP);
    ends.set(at, (ends.get(at) ?? 0) + count);
  }

  #carryOut({ zone, desired }: ScalingOrder): void {
    const present = this.#runners.filter((runner) => runner.zone === zone);
    const total = this.#runners.length;
    this.#ordered.set(zone, desired);
    this.outcome.orders += 1;
    for (let count = present.length; count < desired; count += 1)
      this.#runners.push({ zone, servesAt: this.now + this.bounds.boot });
    const surplus = new Set(present.slice(desired));
    this.#runners = this.#runners.filter((runner) => !surplus.has(runner));
    this.#noteDirection(total);
  }

  #noteDirection(before: number): void {
    if (this.#runners.length === before) return;
    const isRising = this.#runners.length > before;
    if (this.#isRising !== undefined && this.#isRising !== isRising) this.outcome.turns += 1;
    this.#isRising = isRising;
  }
}
