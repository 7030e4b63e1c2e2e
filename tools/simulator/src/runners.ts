import type { GoEvent, Work } from "@chutewick/data";
import type { World } from "./world.js";

/** Runners as they are met: slow, full, troubled, torn, gone. */
export interface RunRecord {
  readonly number: number;
  readonly inquiry: string;
  readonly prompt: unknown;
  readonly runner: string;
  readonly incarnation: number;
  readonly at: number;
  ending: "running" | "done" | "trouble" | "torn" | "left";
  readonly pieces: unknown[];
}

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

export class Runner {
  readonly world: World;
  readonly id: string;
  readonly kind: "model" | "plain";
  readonly address: string;
  readonly seats: number;
  readonly records: RunRecord[];
  incarnation = 1;
  alive = true;
  leaving = false;
  load = 0;
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

  crash(): void {
    this.alive = false;
    this.#life += 1;
    this.load = 0;
  }

  restart(): void {
    this.#life += 1;
    this.alive = true;
    this.leaving = false;
    this.incarnation = this.#life + 1;
  }

  /** Takes work over one connection; returns how the other side leaves it. */
  take(from: { readonly address: string }, work: Work, tell: (event: GoEvent) => void): () => void {
    const { world } = this;
    const self = this;
    const life = this.#life;
    let left = false;
    let record: RunRecord | undefined;
    /** A connection keeps its order; what it loses by a cut it loses for good. */
    let lastAt = 0;
    let broken = false;
    function hear(event: GoEvent): void {
      broken ||= world.isCut(from.address, self.address);
      if (broken) return;
      function deliver(): void {
        tell(event);
      }
      lastAt = Math.max(lastAt, world.now + world.chance.between(0.3, 2));
      world.at(lastAt, deliver);
    }
    function torn(): void {
      hear({ kind: "broken", reason: "connection reset" });
    }
    function end(ending: RunRecord["ending"]): void {
      if (record!.ending !== "running") return;
      record!.ending = ending;
      if (self.#life === life) self.load -= 1;
    }
    function gone(): boolean {
      if (self.#life !== life) {
        end("torn");
        torn();
        return true;
      }
      if (left) {
        end("left");
        return true;
      }
      return false;
    }
    function arrive(): void {
      if (world.isCut(from.address, self.address)) return;
      if (self.#life !== life || !self.alive) return torn();
      if (self.load >= self.seats) return hear({ kind: "refused", retryAfter: 1 });
      const prompt = work.kind === "fetch" ? work.path : work.body["prompt"];
      record = {
        number: self.records.length,
        inquiry: work.request,
        prompt,
        runner: self.id,
        incarnation: self.incarnation,
        at: world.now,
        ending: "running",
        pieces: [],
      };
      self.records.push(record);
      self.load += 1;
      const { chance } = world;
      const { trouble, tear, lie, silent, short, firstMs } = self.manner;
      const fate = chance.next();
      const wrong =
        fate < trouble
          ? "trouble"
          : fate < trouble + tear
            ? "tear"
            : fate < trouble + tear + lie
              ? "lie"
              : fate < trouble + tear + lie + silent
                ? "silent"
                : fate < trouble + tear + lie + silent + short
                  ? "short"
                  : "none";
      if (wrong === "silent") {
        function sleep(): void {
          if (!gone()) world.after(1_000, sleep);
        }
        return sleep();
      }
      if (work.kind === "stream") {
        hear({ kind: "opened" });
        world.after(firstMs * (0.5 + chance.next()), begin);
      } else world.after(firstMs * (0.5 + chance.next()), whole);
      function begin(): void {
        piece(0, 3 + chance.below(5), wrong);
      }
      function whole(): void {
        if (gone()) return;
        if (wrong === "trouble") {
          end("trouble");
          return hear({ kind: "troubled", reason: "out of memory" });
        }
        if (wrong === "tear" || wrong === "lie") {
          end("torn");
          return torn();
        }
        end("done");
        if (work.kind === "fetch")
          hear({
            kind: "bytes",
            status: 200,
            type: "text/plain",
            bytes: new TextEncoder().encode(`label for ${String(prompt)}`),
          });
        else hear({ kind: "whole", value: { read: prompt } });
      }
    }
    function piece(number: number, count: number, wrong: string): void {
      if (gone()) return;
      if (wrong === "trouble" && number === 1) {
        end("trouble");
        return hear({ kind: "troubled", reason: "out of memory" });
      }
      if (wrong === "tear" && number === 2) {
        end("torn");
        return torn();
      }
      if (number === count) {
        end("done");
        return hear({ kind: "closed", pieces: count });
      }
      const data = {
        of: record!.inquiry,
        prompt: record!.prompt,
        run: record!.number,
        text: number,
      };
      record!.pieces.push(data);
      if (wrong === "short" && number === count - 1) self.shorts += 1;
      else hear({ kind: "piece", number: wrong === "lie" && number === 2 ? 3 : number, data });
      function next(): void {
        piece(number + 1, count, wrong);
      }
      world.after(self.manner.pieceMs * (0.5 + world.chance.next()), next);
    }
    world.after(world.chance.between(0.3, 2), arrive);
    function leave(): void {
      left = true;
    }
    return leave;
  }
}
