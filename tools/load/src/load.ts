import { build, type Histogram } from "hdr-histogram-js";
import { Agent, request } from "undici";

/** Open-loop traffic: arrivals are drawn beforehand from a seed, and latency counts from the intended start. */
export interface Mix {
  readonly stream: { readonly way: string; readonly perSecond: number };
  readonly read: { readonly way: string; readonly perSecond: number };
  readonly fetch: { readonly way: string; readonly perSecond: number };
  readonly lot: { readonly way: string; readonly perSecond: number; readonly items: number };
}

export const mixes: Record<string, Mix> = {
  pallet: {
    stream: { way: "note", perSecond: 100 },
    read: { way: "manifest", perSecond: 15 },
    fetch: { way: "label", perSecond: 40 },
    lot: { way: "slips", perSecond: 2, items: 20 },
  },
  font: {
    stream: { way: "subset", perSecond: 110 },
    read: { way: "licence", perSecond: 16 },
    fetch: { way: "glyph", perSecond: 43 },
    lot: { way: "tags", perSecond: 2, items: 20 },
  },
};

export interface LoadOptions {
  readonly access: readonly string[];
  readonly mix: Mix;
  readonly seconds: number;
  /** Multiplies live arrivals and lots. */
  readonly live: number;
  readonly lots: number;
  readonly seed: number;
  /** A flood: from this second on, for so long, live arrivals are multiplied. */
  readonly flood?: { readonly from: number; readonly seconds: number; readonly times: number };
}

type Kind = "stream" | "read" | "fetch" | "lot";

interface Arrival {
  readonly at: number;
  readonly kind: Kind;
  readonly number: number;
}

export interface Told {
  readonly prompt: string;
  readonly kind: Kind;
  readonly told: string;
  /** ms from the start of the run. */
  readonly at: number;
}

interface LotSeen {
  readonly key: string;
  readonly at: number;
  lot: string | undefined;
  told: string;
  doneAt: number | undefined;
  waits: number;
}

export class Load {
  readonly options: LoadOptions;
  readonly told: Told[] = [];
  readonly breaches: string[] = [];
  readonly lots: LotSeen[] = [];
  #agent = new Agent({
    connections: 400,
    pipelining: 1,
    headersTimeout: 40_000,
    bodyTimeout: 40_000,
  });
  #latency = new Map<string, Histogram>();
  #counts = new Map<string, number>();
  #lag: Histogram = build();
  #start = 0;
  #number = 0;

  constructor(options: LoadOptions) {
    this.options = options;
  }

  #draw(): Arrival[] {
    const { mix, seconds, live, lots, seed, flood } = this.options;
    const chance = dice(seed);
    const arrivals: Arrival[] = [];
    const rates: [Kind, number][] = [
      ["stream", mix.stream.perSecond * live],
      ["read", mix.read.perSecond * live],
      ["fetch", mix.fetch.perSecond * live],
      ["lot", mix.lot.perSecond * lots],
    ];
    for (const [kind, perSecond] of rates) {
      let at = 0;
      while (perSecond > 0) {
        const flooded =
          flood !== undefined &&
          kind !== "lot" &&
          at >= flood.from * 1_000 &&
          at < (flood.from + flood.seconds) * 1_000;
        at += (-Math.log(1 - chance()) / (perSecond * (flooded ? flood.times : 1))) * 1_000;
        if (at >= seconds * 1_000) break;
        this.#number += 1;
        arrivals.push({ at, kind, number: this.#number });
      }
    }
    return arrivals.sort(earlier);
  }

  async run(): Promise<Record<string, unknown>> {
    const self = this;
    const arrivals = this.#draw();
    const under: Promise<void>[] = [];
    this.#start = performance.now();
    let next = 0;
    function pump(resolve: () => void): void {
      function turn(): void {
        const now = performance.now() - self.#start;
        while (next < arrivals.length && arrivals[next]!.at <= now) {
          self.#lag.recordValue(Math.max(0, Math.round(now - arrivals[next]!.at)));
          under.push(self.#one(arrivals[next]!));
          next += 1;
        }
        if (next >= arrivals.length) return resolve();
        setTimeout(turn, Math.max(1, Math.min(5, arrivals[next]!.at - now)));
      }
      turn();
    }
    await new Promise<void>(pump);
    await Promise.all(under);
    await this.#agent.close();
    return this.report(arrivals.length);
  }

  #count(name: string): void {
    this.#counts.set(name, (this.#counts.get(name) ?? 0) + 1);
  }

  #record(name: string, milliseconds: number): void {
    let histogram = this.#latency.get(name);
    if (histogram === undefined) {
      histogram = build({ highestTrackableValue: 600_000 });
      this.#latency.set(name, histogram);
    }
    histogram.recordValue(Math.max(0, Math.round(milliseconds)));
  }

  async #one(arrival: Arrival): Promise<void> {
    const { access, mix } = this.options;
    const to = access[arrival.number % access.length]!;
    const prompt = `${arrival.kind}-${this.options.seed}-${arrival.number}`;
    if (arrival.kind === "lot") return this.#lot(arrival, prompt);
    let told: string;
    try {
      told =
        arrival.kind === "fetch"
          ? await this.#fetch(to, mix.fetch.way, prompt)
          : await this.#stream(
              arrival,
              to,
              arrival.kind === "stream" ? mix.stream.way : mix.read.way,
              prompt,
            );
    } catch {
      told = "torn";
    }
    if (told === "done") this.#record(arrival.kind, performance.now() - this.#start - arrival.at);
    this.#count(`${arrival.kind} ${told}`);
    this.told.push({ prompt, kind: arrival.kind, told, at: performance.now() - this.#start });
  }

  async #fetch(to: string, way: string, prompt: string): Promise<string> {
    const got = await request(`http://${to}/ways/${way}/${prompt}`, { dispatcher: this.#agent });
    const text = await got.body.text();
    if (got.statusCode !== 200) return troubleOf(text);
    if (!text.startsWith(`label for /${prompt}\n`))
      this.breaches.push(`${prompt} got ${text.slice(0, 60)}`);
    return "done";
  }

  async #stream(arrival: Arrival, to: string, way: string, prompt: string): Promise<string> {
    const body =
      arrival.kind === "read" ? { prompt: { name: prompt, pieces: 40, pieceMs: 50 } } : { prompt };
    const got = await request(`http://${to}/ways/${way}`, {
      dispatcher: this.#agent,
      method: "POST",
      headers: { "content-type": "application/json" },
      body: JSON.stringify(body),
    });
    if (got.statusCode !== 200) return troubleOf(await got.body.text());
    let text = "";
    let first = true;
    for await (const chunk of got.body) {
      text += String(chunk);
      if (first && text.includes("data: ")) {
        first = false;
        this.#record(`${arrival.kind} first piece`, performance.now() - this.#start - arrival.at);
      }
    }
    return this.#whole(prompt, text);
  }

  #whole(prompt: string, text: string): string {
    const blocks = text.split("\n\n");
    let pieces = 0;
    for (const block of blocks) {
      if (block.startsWith("event: trouble"))
        return troubleOf(block.slice(block.indexOf("data: ") + 6));
      if (block.startsWith("event: close")) {
        if (
          (JSON.parse(block.slice(block.indexOf("data: ") + 6)) as { pieces: number }).pieces !==
          pieces
        )
          this.breaches.push(`${prompt} closed with another count than ${pieces}`);
        return "done";
      }
      if (block === "") continue;
      if (!block.startsWith(`id: ${pieces}\n`))
        this.breaches.push(`${prompt}: piece ${pieces} is ${block.slice(0, 30)}`);
      pieces += 1;
    }
    return "torn";
  }

  async #lot(arrival: Arrival, key: string): Promise<void> {
    const { access, mix } = this.options;
    const items: unknown[] = [];
    for (let slip = 0; slip < mix.lot.items; slip += 1) items.push({ key, slip });
    const seen: LotSeen = {
      key,
      at: arrival.at,
      lot: undefined,
      told: "torn",
      doneAt: undefined,
      waits: 0,
    };
    this.lots.push(seen);
    for (let go = 0; go < 10 && seen.told !== "accepted" && seen.told !== "refused"; go += 1) {
      try {
        const got = await request(
          `http://${access[(arrival.number + go) % access.length]!}/lots/${mix.lot.way}`,
          {
            dispatcher: this.#agent,
            method: "POST",
            headers: { "content-type": "application/json" },
            body: JSON.stringify({ key, items }),
          },
        );
        const text = await got.body.text();
        if (got.statusCode === 202) {
          seen.told = "accepted";
          seen.lot = (JSON.parse(text) as { lot: string }).lot;
          this.#record("lot accepted", performance.now() - this.#start - arrival.at);
        } else seen.told = troubleOf(text);
      } catch {
        seen.told = "torn";
      }
      if (seen.told !== "accepted" && seen.told !== "refused") await pause(500);
    }
    this.#count(`lot ${seen.told}`);
    if (seen.lot === undefined || seen.told !== "accepted") return;
    const until = performance.now() + 60_000;
    while (performance.now() < until && seen.doneAt === undefined) {
      await pause(250);
      try {
        seen.waits += 1;
        const got = await request(
          `http://${access[(arrival.number + seen.waits) % access.length]!}/lots/${seen.lot}`,
          { dispatcher: this.#agent },
        );
        const text = await got.body.text();
        if (got.statusCode !== 200) continue;
        const view = JSON.parse(text) as {
          state: string;
          items: { index: number; state: string; result?: { text: string }[] }[];
        };
        if (view.state !== "done") continue;
        seen.doneAt = performance.now() - this.#start;
        this.#record("lot done", seen.doneAt - arrival.at);
        this.#checkLot(key, view.items, mix.lot.items);
      } catch {
        // Asked again at another node.
      }
    }
    if (seen.doneAt === undefined) this.#count("lot not done in 60 s");
  }

  #checkLot(key: string, items: readonly { index: number; state: string }[], count: number): void {
    for (let index = 0; index < count; index += 1) {
      if (items[index]?.index !== index)
        this.breaches.push(`${key} lists no item ${index} in its place`);
      else this.#count(`item ${items[index]!.state}`);
    }
    if (items.length !== count)
      this.breaches.push(`${key} lists ${items.length} items of ${count}`);
  }

  report(arrivals: number): Record<string, unknown> {
    const latency: Record<string, unknown> = {};
    for (const [name, histogram] of [...this.#latency].sort()) {
      latency[name] = {
        count: histogram.totalCount,
        median: histogram.getValueAtPercentile(50),
        p95: histogram.getValueAtPercentile(95),
        p99: histogram.getValueAtPercentile(99),
        most: histogram.maxValue,
      };
    }
    const lag = this.#lag.getValueAtPercentile(99);
    return {
      arrivals,
      seconds: this.options.seconds,
      counts: Object.fromEntries([...this.#counts].sort()),
      latency,
      breaches: this.breaches,
      generator: { lagP99: lag, wasTheLimit: lag > 50 },
    };
  }
}

function earlier(left: Arrival, right: Arrival): number {
  return left.at - right.at;
}

function troubleOf(text: string): string {
  try {
    return String((JSON.parse(text) as { trouble: string }).trouble);
  } catch {
    return "unreadable";
  }
}

function pause(milliseconds: number): Promise<void> {
  function begin(resolve: () => void): void {
    setTimeout(resolve, milliseconds);
  }
  return new Promise(begin);
}

function dice(seed: number): () => number {
  let state = (Math.imul(seed + 1, 2_654_435_761) ^ 0x9e3779b9) >>> 0;
  function next(): number {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = state;
    mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
  }
  return next;
}
