import type { RunnerEvent, RunnerWork } from "@chutewick/data";
import type { World } from "./world.js";

/** Runners as they are met: slow, full, failing, torn, gone. */

/** ms until a connection stands, and until one event of it is heard. */
const CONNECT_TAKES = [0.3, 2] as const;
const EVENT_TAKES = [0.3, 2] as const;
/** The time of one step against the usual one: from half of it to half more. */
const PACE_LEAST = 0.5;
/** Pieces of a stream: at least, and below so many more. */
const PIECES_LEAST = 3;
const PIECES_SPREAD = 5;
/** Places of the pieces at which a stream that is to fail fails. */
const TROUBLE_AT = 1;
const TEAR_AT = 2;
const LIE_AT = 2;
/** ms between two looks of a silent runner whether it is still wanted. */
const SILENT_LOOK_EVERY = 1_000;
/** Seconds after which a full runner asks to be asked again. */
const RETRY_AFTER_SECONDS = 1;
const OUT_OF_MEMORY = "out of memory";

/** One attempt as the runner saw it. */
export interface RunRecord {
  readonly number: number;
  readonly inquiry: string;
  readonly prompt: unknown;
  readonly runner: string;
  readonly incarnation: number;
  /** ms of virtual time at which it began. */
  readonly at: number;
  ending: "running" | "done" | "trouble" | "torn" | "left";
  readonly pieces: unknown[];
}

/** Ways in which an attempt goes wrong, in the order in which chance decides between them. */
const FAILURES = ["trouble", "tear", "lie", "silent", "short"] as const;
type Failure = (typeof FAILURES)[number] | "none";

/** The share of attempts that fail in each way, and ms to the first answer and between two pieces. */
export interface Manner {
  trouble: number;
  tear: number;
  lie: number;
  silent: number;
  /** Closes a stream although its last piece never came. */
  short: number;
  firstMs: number;
  pieceMs: number;
}

/** What a runner is: its name, its kind and how much it takes at once. */
export interface RunnerShape {
  readonly id: string;
  readonly kind: "model" | "plain";
  readonly seats: number;
}

/** Where a connection comes from. */
export interface Peer {
  readonly address: string;
}

/** A process that runs models, or serves plain bytes. */
export class Runner {
  readonly world: World;
  readonly id: string;
  readonly kind: "model" | "plain";
  readonly address: string;
  readonly seats: number;
  /** What all runners ran. */
  readonly records: RunRecord[];
  incarnation = 1;
  alive = true;
  leaving = false;
  load = 0;
  /** Streams that it closed short. */
  shorts = 0;
  manner: Manner;
  #life = 0;

  constructor(
    world: World,
    { id, kind, seats }: RunnerShape,
    records: RunRecord[],
    manner: Manner,
  ) {
    this.world = world;
    this.id = id;
    this.kind = kind;
    this.address = `runner:${id}`;
    this.seats = seats;
    this.records = records;
    this.manner = manner;
  }

  /** Counts starts and crashes, so that what belongs to an earlier life is dropped. */
  get life(): number {
    return this.#life;
  }

  /** Ends with all that it runs. */
  crash(): void {
    this.alive = false;
    this.#life += 1;
    this.load = 0;
  }

  /** Starts as a new incarnation. */
  restart(): void {
    this.#life += 1;
    this.alive = true;
    this.leaving = false;
    this.incarnation = this.#life + 1;
  }

  /** Takes work over one connection; returns how the other side leaves it. */
  take(from: Peer, work: RunnerWork, tell: (event: RunnerEvent) => void): () => void {
    const connection = new Connection(this, from, work, tell);
    connection.start();
    return () => connection.leave();
  }
}

/** One attempt at a runner, and the connection over which it is heard. */
class Connection {
  readonly #runner: Runner;
  readonly #from: Peer;
  readonly #work: RunnerWork;
  readonly #tell: (event: RunnerEvent) => void;
  /** The life of the runner that it belongs to. */
  readonly #life: number;
  #record: RunRecord | undefined;
  /** Whether the other side left. */
  #hasLeft = false;
  /** A connection keeps its order; what it loses by a cut it loses for good. */
  #lastAt = 0;
  #isBroken = false;

  constructor(runner: Runner, from: Peer, work: RunnerWork, tell: (event: RunnerEvent) => void) {
    this.#runner = runner;
    this.#from = from;
    this.#work = work;
    this.#tell = tell;
    this.#life = runner.life;
  }

  start(): void {
    const { world } = this.#runner;
    world.after(world.chance.between(...CONNECT_TAKES), () => this.#arrive());
  }

  leave(): void {
    this.#hasLeft = true;
  }

  #send(event: RunnerEvent): void {
    const { world, address } = this.#runner;
    this.#isBroken ||= world.isCut(this.#from.address, address);
    if (this.#isBroken) return;
    this.#lastAt = Math.max(this.#lastAt, world.now + world.chance.between(...EVENT_TAKES));
    world.at(this.#lastAt, () => this.#tell(event));
  }

  #reset(): void {
    this.#send({ kind: "broken", reason: "connection reset" });
  }

  #end(ending: RunRecord["ending"]): void {
    const record = this.#record!;
    if (record.ending !== "running") return;
    record.ending = ending;
    if (this.#runner.life === this.#life) this.#runner.load -= 1;
  }

  /** Whether the runner's life is over or the other side left, which ends the attempt. */
  #isGone(): boolean {
    if (this.#runner.life !== this.#life) {
      this.#end("torn");
      this.#reset();
      return true;
    }
    if (this.#hasLeft) this.#end("left");
    return this.#hasLeft;
  }

  #arrive(): void {
    const runner = this.#runner;
    const { world } = runner;
    if (world.isCut(this.#from.address, runner.address)) return;
    if (runner.life !== this.#life || !runner.alive) return this.#reset();
    if (runner.load >= runner.seats)
      return this.#send({ kind: "refused", retryAfter: RETRY_AFTER_SECONDS });
    this.#record = this.#newRecord();
    runner.records.push(this.#record);
    runner.load += 1;
    const { firstMs } = runner.manner;
    const failure = this.#drawFailure();
    if (failure === "silent") return this.#staySilent();
    const isStream = this.#work.kind === "stream";
    if (isStream) this.#send({ kind: "opened" });
    world.after(firstMs * (PACE_LEAST + world.chance.next()), () => {
      if (isStream) this.#piece(0, PIECES_LEAST + world.chance.below(PIECES_SPREAD), failure);
      else this.#whole(failure);
    });
  }

  #newRecord(): RunRecord {
    const { world, records, id, incarnation } = this.#runner;
    const work = this.#work;
    return {
      number: records.length,
      inquiry: work.request,
      prompt: work.kind === "fetch" ? work.path : work.body["prompt"],
      runner: id,
      incarnation,
      at: world.now,
      ending: "running",
      pieces: [],
    };
  }

  #drawFailure(): Failure {
    const { manner, world } = this.#runner;
    const drawn = world.chance.next();
    let bound = 0;
    for (const failure of FAILURES) {
      bound += manner[failure];
      if (drawn < bound) return failure;
    }
    return "none";
  }

  /** Says nothing, and runs until it is left. */
  #staySilent(): void {
    if (!this.#isGone()) this.#runner.world.after(SILENT_LOOK_EVERY, () => this.#staySilent());
  }

  /** Answers in one piece. */
  #whole(failure: Failure): void {
    if (this.#isGone()) return;
    if (failure === "trouble") {
      this.#end("trouble");
      return this.#send({ kind: "troubled", reason: OUT_OF_MEMORY });
    }
    if (failure === "tear" || failure === "lie") {
      this.#end("torn");
      return this.#reset();
    }
    this.#end("done");
    const { prompt } = this.#record!;
    if (this.#work.kind !== "fetch") return this.#send({ kind: "whole", value: { read: prompt } });
    const bytes = new TextEncoder().encode(`label for ${String(prompt)}`);
    this.#send({ kind: "bytes", status: 200, type: "text/plain", bytes });
  }

  /** Sends the piece with this number, and all after it. */
  #piece(number: number, count: number, failure: Failure): void {
    if (this.#isGone()) return;
    if (failure === "trouble" && number === TROUBLE_AT) {
      this.#end("trouble");
      return this.#send({ kind: "troubled", reason: OUT_OF_MEMORY });
    }
    if (failure === "tear" && number === TEAR_AT) {
      this.#end("torn");
      return this.#reset();
    }
    if (number === count) {
      this.#end("done");
      return this.#send({ kind: "closed", pieces: count });
    }
    const { inquiry, prompt, number: run, pieces } = this.#record!;
    const data = { of: inquiry, prompt, run, text: number };
    pieces.push(data);
    const isLie = failure === "lie" && number === LIE_AT;
    if (failure === "short" && number === count - 1) this.#runner.shorts += 1;
    else this.#send({ kind: "piece", number: isLie ? number + 1 : number, data });
    const { world, manner } = this.#runner;
    world.after(manner.pieceMs * (PACE_LEAST + world.chance.next()), () =>
      this.#piece(number + 1, count, failure),
    );
  }
}
