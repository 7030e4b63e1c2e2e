import { spawn } from "node:child_process";
import {
  Agent,
  createServer,
  request,
  type ClientRequest,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { fileURLToPath } from "node:url";
import type { RunnerCard } from "@chutewick/parts";
import { pause, useOf } from "./uses.js";
import type { Rows } from "./rows.js";
import type { Point } from "./slope.js";

/** Streams on passages through a real access process, byte for byte: real sockets to callers and to runners (docs/CAPACITY.md). */
export interface PassingSizes {
  /** Streams open at once, one size after the other. */
  readonly open: readonly number[];
  /** ms between two pieces. */
  readonly every: readonly number[];
  readonly seconds: number;
}

/** A runner of which only its streams stand: pieces that pace themselves until the caller has enough. */
export class PassingRunner {
  readonly address: string;
  readonly card: RunnerCard;
  pieces = 0;
  every = 38;
  lasts = 3_000;
  #server: Server | undefined;

  constructor(number: number, net: number) {
    this.address = `127.${net}.6.${number}:7300`;
    this.card = {
      id: `passing-${number}-7f3a91c2`,
      incarnation: 1_800_000_000_000,
      url: this.address,
      kind: "model",
      models: ["reader"],
      labels: {},
      pool: "readers",
      seats: 2_000,
      zone: "a",
      burden: 0,
      age: 0,
    };
  }

  async open(): Promise<void> {
    const self = this;
    function arrived(incoming: IncomingMessage, outgoing: ServerResponse): void {
      incoming.resume();
      const began = performance.now();
      let number = 0;
      outgoing.writeHead(200, {
        "content-type": "text/event-stream",
        "chutewick-inquiry": String(incoming.headers["chutewick-inquiry"] ?? ""),
        "chutewick-stamp": "scale",
      });
      function piece(): void {
        if (outgoing.destroyed) return;
        if (performance.now() - began >= self.lasts) return void outgoing.end();
        number += 1;
        self.pieces += 1;
        outgoing.write(`id: ${number}\ndata: {"text":"some words of a result"}\n\n`);
        setTimeout(piece, self.every);
      }
      setTimeout(piece, Math.random() * self.every);
    }
    const server = createServer({ noDelay: true, keepAliveTimeout: 30_000 }, arrived);
    this.#server = server;
    const cut = this.address.lastIndexOf(":");
    function listening(resolve: () => void, reject: (error: Error) => void): void {
      server.once("error", reject);
      server.listen(Number(self.address.slice(cut + 1)), self.address.slice(0, cut), resolve);
    }
    await new Promise<void>(listening);
  }

  close(): void {
    this.#server?.closeAllConnections();
    this.#server?.close();
  }
}

/** So many callers, each with one stream after another; what came back is counted by its bytes alone. */
class Callers {
  whole = 0;
  other = 0;
  bytes = 0;
  #agent = new Agent({ keepAlive: true, maxSockets: Number.POSITIVE_INFINITY });
  #to: { readonly host: string; readonly port: number };
  #number = 0;
  #wanted = 0;
  #stands = 0;
  #under = new Set<ClientRequest>();

  constructor(address: string) {
    const cut = address.lastIndexOf(":");
    this.#to = { host: address.slice(0, cut), port: Number(address.slice(cut + 1)) };
  }

  want(count: number): void {
    this.#wanted = count;
    while (this.#stands < count) {
      this.#stands += 1;
      this.#one();
    }
  }

  #one(): void {
    const self = this;
    this.#number += 1;
    const outgoing = request(
      {
        ...this.#to,
        agent: this.#agent,
        method: "POST",
        path: "/note/1",
        headers: {
          host: "scale.example",
          "chutewick-inquiry": `scale-${this.#number}`,
          "content-length": "2",
        },
      },
      answered,
    );
    this.#under.add(outgoing);
    let ended = false;
    function over(whole: boolean): void {
      if (ended) return;
      ended = true;
      self.#under.delete(outgoing);
      if (whole) self.whole += 1;
      else self.other += 1;
      if (self.#stands > self.#wanted) {
        self.#stands -= 1;
        return;
      }
      function again(): void {
        self.#one();
      }
      setTimeout(again, whole ? 0 : 200);
    }
    function answered(incoming: IncomingMessage): void {
      function came(chunk: Buffer): void {
        self.bytes += chunk.length;
      }
      function end(): void {
        over(incoming.statusCode === 200 && incoming.complete);
      }
      incoming.on("data", came);
      incoming.once("end", end);
      incoming.once("error", broke);
    }
    function broke(): void {
      over(false);
    }
    outgoing.once("error", broke);
    outgoing.end("{}");
  }

  close(): void {
    this.#wanted = 0;
    for (const outgoing of this.#under) outgoing.destroy();
    this.#agent.destroy();
  }
}

export async function measurePassing(
  rows: Rows,
  sizes: PassingSizes,
  net: number,
  seeds: readonly string[],
  runners: readonly PassingRunner[],
): Promise<void> {
  const front = `127.${net}.7.1:7400`;
  const held = {
    name: "passing-1",
    zone: "a",
    wire: `127.${net}.7.1:7100`,
    http: `127.${net}.7.1:7200`,
    seeds,
    logLevel: "fatal",
  };
  const child = spawn(
    process.execPath,
    [fileURLToPath(new URL("./passing-node.js", import.meta.url)), JSON.stringify(held), front],
    { stdio: ["ignore", "ignore", "inherit"] },
  );
  const callers = new Callers(front);
  try {
    await pause(3_000);
    callers.want(2);
    const until = performance.now() + 15_000;
    while (callers.whole < 2) {
      if (performance.now() > until)
        throw new Error(`no stream came through a passage: ${callers.other} others`);
      await pause(100);
    }
    const [busy, memory]: [Point[], Point[]] = [[], []];
    for (const every of sizes.every) {
      for (const count of sizes.open) {
        for (const runner of runners) runner.every = every;
        callers.want(count);
        await pause(4_000);
        const from = {
          ...useOf(child.pid!),
          whole: callers.whole,
          pieces: piecesOf(runners),
          at: performance.now(),
        };
        await pause(sizes.seconds * 1_000);
        const seconds = (performance.now() - from.at) / 1_000;
        const use = useOf(child.pid!);
        busy.push({
          at: [(callers.whole - from.whole) / seconds, (piecesOf(runners) - from.pieces) / seconds],
          value: (use.processor - from.processor) / seconds,
        });
        memory.push({ at: [count], value: use.memory });
      }
    }
    rows.add(
      "access node",
      "passages: streams, processor a second",
      "ms/s",
      ["streams a second", "pieces a second"],
      busy,
    );
    rows.add("access node", "passages: streams, memory", "bytes", ["streams open at once"], memory);
    if (callers.other > callers.whole / 100)
      throw new Error(`${callers.other} of ${callers.whole} streams were not whole`);
  } finally {
    callers.close();
    child.kill("SIGKILL");
  }
}

function piecesOf(runners: readonly PassingRunner[]): number {
  let sum = 0;
  for (const runner of runners) sum += runner.pieces;
  return sum;
}
