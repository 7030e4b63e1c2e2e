import { constants } from "@chutewick/parts";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { request } from "undici";

/** A stand-in for a model or plain runner, which keeps a record of all that it ran. */
export interface Behaviour {
  /** ms until the first piece, and between pieces. */
  firstMs: number;
  pieceMs: number;
  pieces: number;
  /** ms for a one-shot or a fetch. */
  wholeMs: number;
  /** What goes wrong with everything from now on. */
  wrong: "nothing" | "refuse" | "trouble" | "half" | "tear" | "lie" | "silent" | "skip";
}

export interface RunnerOptions {
  readonly id: string;
  readonly address: string;
  readonly kind: "model" | "plain";
  readonly models: readonly string[];
  readonly labels?: Record<string, string>;
  readonly seats: number;
  readonly zone: string;
  readonly access: readonly string[];
  readonly behaviour?: Partial<Behaviour>;
}

export interface Run {
  readonly inquiry: string;
  readonly prompt: unknown;
  readonly at: number;
  ending: "running" | "done" | "trouble" | "torn" | "left";
}

const usual: Behaviour = { firstMs: 30, pieceMs: 15, pieces: 8, wholeMs: 40, wrong: "nothing" };

export class StandInRunner {
  readonly options: RunnerOptions;
  readonly runs: Run[] = [];
  /** Grows with each life. */
  readonly incarnation = Date.now();
  behaviour: Behaviour;
  refusals = 0;
  load = 0;
  #server: Server | undefined;
  #announcing: NodeJS.Timeout | undefined;
  #accessIndex = 0;
  deregisteredAt: number | undefined;

  constructor(options: RunnerOptions) {
    this.options = options;
    this.behaviour = { ...usual, ...options.behaviour };
  }

  async start(): Promise<void> {
    const self = this;
    const cut = this.options.address.lastIndexOf(":");
    function arrived(incoming: IncomingMessage, outgoing: ServerResponse): void {
      void self.#serve(incoming, outgoing);
    }
    const server = createServer(arrived);
    this.#server = server;
    function listening(resolve: () => void, reject: (error: Error) => void): void {
      server.once("error", reject);
      server.listen(
        Number(self.options.address.slice(cut + 1)),
        self.options.address.slice(0, cut),
        resolve,
      );
    }
    await new Promise<void>(listening);
    function announce(): void {
      void self.announce();
    }
    announce();
    this.#announcing = setInterval(announce, constants.announceIntervalMs);
  }

  /** Tells one access node; at trouble the next is told. */
  async announce(): Promise<boolean> {
    const { id, kind, models, labels, seats, zone, access, address } = this.options;
    if (access.length === 0 || this.deregisteredAt !== undefined) return false;
    for (let go = 0; go < access.length; go += 1) {
      const to = access[this.#accessIndex % access.length]!;
      try {
        const told = await request(`http://${to}/runners`, {
          method: "POST",
          headers: { "content-type": "application/json" },
          headersTimeout: constants.announceTimeoutMs,
          bodyTimeout: constants.announceTimeoutMs,
          body: JSON.stringify({
            id,
            incarnation: this.incarnation,
            url: `http://${address}`,
            kind,
            models,
            labels: labels ?? {},
            seats,
            zone,
            burden: this.load,
          }),
        });
        await told.body.dump();
        if (told.statusCode === 200) return true;
      } catch {
        // The next access node is told.
      }
      this.#accessIndex += 1;
    }
    return false;
  }

  async deregister(): Promise<boolean> {
    const { id, access } = this.options;
    clearInterval(this.#announcing);
    for (const to of access) {
      try {
        const told = await request(`http://${to}/runners/${id}/goodbye`, {
          method: "POST",
          headers: { "content-type": "application/json" },
          body: JSON.stringify({ incarnation: this.incarnation }),
          headersTimeout: 8_000,
        });
        await told.body.dump();
        if (told.statusCode === 200) {
          this.deregisteredAt = performance.now();
          return true;
        }
      } catch {
        // The next access node is told.
      }
    }
    return false;
  }

  /** Dies at once, with all its connections. */
  crash(): void {
    clearInterval(this.#announcing);
    this.#server?.closeAllConnections();
    this.#server?.close();
  }

  async #serve(incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
    const clientRequest = String(incoming.headers["chutewick-inquiry"] ?? "");
    let text = "";
    try {
      for await (const chunk of incoming) text += chunk;
    } catch {
      return;
    }
    const { wrong } = this.behaviour;
    if (this.load >= this.options.seats || wrong === "refuse") {
      this.refusals += 1;
      outgoing.writeHead(429, {
        "chutewick-taken": "no",
        "retry-after": "1",
        "content-length": "0",
      });
      outgoing.end();
      return;
    }
    const body = text === "" ? {} : (JSON.parse(text) as { prompt?: unknown });
    const run: Run = {
      inquiry: clientRequest,
      prompt: incoming.method === "GET" ? incoming.url : body.prompt,
      at: performance.now(),
      ending: "running",
    };
    this.runs.push(run);
    this.load += 1;
    function left(): void {
      if (run.ending === "running") run.ending = "left";
    }
    outgoing.once("close", left);
    try {
      if (incoming.method === "GET") await this.#fetch(run, outgoing);
      else if (incoming.url === "/run") await this.#whole(run, outgoing);
      else await this.#stream(run, outgoing);
    } finally {
      this.load -= 1;
    }
  }

  async #fetch(run: Run, outgoing: ServerResponse): Promise<void> {
    await pause(this.behaviour.wholeMs);
    const bytes = Buffer.from(`label for ${String(run.prompt)}\n`.repeat(20));
    if (this.behaviour.wrong === "silent") return;
    outgoing.writeHead(200, {
      "content-type": "text/plain",
      "content-length": String(bytes.length),
    });
    if (this.behaviour.wrong === "half" || this.behaviour.wrong === "tear") {
      outgoing.write(bytes.subarray(0, 10));
      return this.#tear(run, outgoing);
    }
    run.ending = "done";
    outgoing.end(bytes);
  }

  async #whole(run: Run, outgoing: ServerResponse): Promise<void> {
    await pause(this.behaviour.wholeMs);
    const { wrong } = this.behaviour;
    if (wrong === "silent") return;
    if (wrong === "tear") return this.#tear(run, outgoing);
    if (wrong === "trouble") {
      run.ending = "trouble";
      outgoing.writeHead(500, { "content-type": "application/json" });
      outgoing.end(JSON.stringify({ reason: "out of memory" }));
      return;
    }
    const named = wrong === "lie" ? "someone-else" : run.inquiry;
    const text = JSON.stringify({ inquiry: named, result: { read: run.prompt } });
    outgoing.writeHead(200, {
      "content-type": "application/json",
      "chutewick-inquiry": named,
      "content-length": String(Buffer.byteLength(text)),
    });
    if (wrong === "half") {
      outgoing.write(text.slice(0, 20));
      return this.#tear(run, outgoing);
    }
    run.ending = "done";
    outgoing.end(text);
  }

  async #stream(run: Run, outgoing: ServerResponse): Promise<void> {
    const { firstMs, wrong } = this.behaviour;
    /** A prompt may say how long it takes, as long reads do. */
    const asked = (typeof run.prompt === "object" && run.prompt !== null ? run.prompt : {}) as {
      pieces?: number;
      pieceMs?: number;
    };
    const pieces = asked.pieces ?? this.behaviour.pieces;
    const pieceMs = asked.pieceMs ?? this.behaviour.pieceMs;
    const named = wrong === "lie" ? "someone-else" : run.inquiry;
    outgoing.writeHead(200, { "content-type": "text/event-stream", "chutewick-inquiry": named });
    outgoing.flushHeaders();
    await pause(firstMs);
    for (let number = 0; number < pieces; number += 1) {
      if (run.ending === "left") return;
      if (wrong === "silent") return;
      if (wrong === "trouble" && number === 1) {
        run.ending = "trouble";
        outgoing.end(`event: trouble\ndata: {"reason":"out of memory"}\n\n`);
        return;
      }
      if ((wrong === "tear" || wrong === "half") && number === 2) {
        if (wrong === "half") {
          run.ending = "torn";
          outgoing.end();
          return;
        }
        return this.#tear(run, outgoing);
      }
      const told = wrong === "skip" && number >= 2 ? number + 1 : number;
      outgoing.write(
        `id: ${told}\ndata: ${JSON.stringify({ of: run.inquiry, text: `piece ${number}` })}\n\n`,
      );
      await pause(pieceMs);
    }
    if (run.ending === "left") return;
    run.ending = "done";
    outgoing.end(`event: close\ndata: {"pieces":${pieces}}\n\n`);
  }

  #tear(run: Run, outgoing: ServerResponse): void {
    run.ending = "torn";
    outgoing.destroy();
  }
}

function pause(milliseconds: number): Promise<void> {
  function begin(resolve: () => void): void {
    setTimeout(resolve, milliseconds);
  }
  return new Promise(begin);
}
