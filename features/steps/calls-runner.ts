import { createServer, type AddressInfo, type Server, type Socket } from "node:net";
import type { RunnerDescriptor } from "@chutewick/parts";

/** Stand-in runners on raw sockets that answer as a runner in trouble may. */

/** One whole request that a runner has read. */
export interface Call {
  readonly id: string;
  readonly path: string;
  /** Its first line and headers, as they came. */
  readonly head: string;
  /** Calls before it on its connection, the newest last. */
  readonly before: readonly Call[];
}

/** What a runner does with a call that it strikes. */
type Fault = (call: Call, socket: Socket, runner: StandIn) => void;

export interface StandIn {
  readonly id: string;
  readonly server: Server;
  readonly sockets: Set<Socket>;
  /** How often a call of an id was begun. */
  readonly runs: Map<string, number>;
  /** First line and headers of calls by their ids. */
  readonly heads: Map<string, string>;
  readonly held: (() => void)[];
  address: string;
  fault: Fault | undefined;
  /** Every so many calls on kept connections are struck. */
  every: number;
  kept: number;
  strikes: number;
  holds: boolean;
  /** ms. Its work on each call. */
  takes: number;
  resets: number;
}

function head(id: string | undefined, more: readonly string[], status = "200 OK"): string {
  const own = id === undefined ? [] : [`Chutewick-Attempt-Id: ${id}`];
  const lines = [`HTTP/1.1 ${status}`, ...own, "Chutewick-Answer-Seal: s", ...more];
  return `${lines.join("\r\n")}\r\nKeep-Alive: timeout=5\r\n\r\n`;
}

function bodyOf(call: Call): string {
  return `${call.id} ${call.path}`;
}

function lengthOf(call: Call): string {
  return `Content-Length: ${bodyOf(call).length}`;
}

function answerTo(call: Call): string {
  return head(call.id, [lengthOf(call)]) + bodyOf(call);
}

export const faults: Readonly<Record<string, Fault>> = {
  "answer twice"(call, socket) {
    socket.write(answerTo(call) + answerTo(call));
  },
  "answer once more when the next call comes"(call, socket) {
    socket.write(answerTo(call.before.at(-1)!) + answerTo(call));
  },
  "answer with the id of the call before"(call, socket) {
    socket.write(answerTo({ ...call, id: call.before.at(-1)!.id }));
  },
  "answer with an id that nobody uses"(call, socket) {
    socket.write(answerTo({ ...call, id: "nobody" }));
  },
  "send bytes after the end of the answer"(call, socket) {
    socket.write(`${answerTo(call)}and this too`);
  },
  "cut the body"(call, socket) {
    socket.end(answerTo(call).slice(0, -3));
  },
  "reset the connection when the call comes"(_call, socket) {
    socket.resetAndDestroy();
  },
  "close the connection when the call comes"(_call, socket) {
    socket.end();
  },
  "reset the connection after the head"(call, socket) {
    function reset(): void {
      socket.resetAndDestroy();
    }
    socket.write(head(call.id, [lengthOf(call)]), reset);
  },
  "reset the connection after part of the body"(call, socket) {
    function reset(): void {
      socket.resetAndDestroy();
    }
    socket.write(answerTo(call).slice(0, -3), reset);
  },
  "tell a status that promises what they cannot"(call, socket) {
    socket.write(head(call.id, ["Content-Length: 0"], "503 Busy"));
  },
  "send what is no answer"(_call, socket) {
    socket.write("it is late\r\n\r\n");
  },
  "announce a length and chunks together"(call, socket) {
    const both = [lengthOf(call), "Transfer-Encoding: chunked"];
    const chunk = `${bodyOf(call).length.toString(16)}\r\n${bodyOf(call)}\r\n0\r\n\r\n`;
    socket.write(head(call.id, both) + chunk);
  },
  "fall silent"() {},
  "say that they did not run it"(call, socket, runner) {
    runner.runs.set(call.id, runner.runs.get(call.id)! - 1);
    const more = ["Content-Length: 0", "Chutewick-Not-Executed: 1", "Retry-After: 0.05"];
    socket.write(head(call.id, more, "503 Full"));
  },
};

/** Cuts whole requests out of the bytes of one connection. */
class CallReader {
  #rest = "";
  readonly calls: Call[] = [];

  take(text: string): Call[] {
    this.#rest += text;
    const found: Call[] = [];
    for (;;) {
      const end = this.#rest.indexOf("\r\n\r\n");
      if (end < 0) return found;
      const long = Number(/content-length: (\d+)/i.exec(this.#rest.slice(0, end))?.[1] ?? 0);
      if (this.#rest.length < end + 4 + long) return found;
      const id = /chutewick-attempt-id: (\S+)/i.exec(this.#rest)![1]!;
      const path = this.#rest.split(" ")[1]!;
      const head = this.#rest.slice(0, end);
      this.#rest = this.#rest.slice(end + 4 + long);
      const call: Call = { id, path, head, before: [...this.calls] };
      this.calls.push(call);
      found.push(call);
    }
  }
}

function serve(runner: StandIn, socket: Socket): void {
  const reader = new CallReader();
  runner.sockets.add(socket);
  function came(data: Buffer): void {
    for (const call of reader.take(data.toString("latin1"))) take(runner, call, socket);
  }
  function failed(error: Error & { code?: string }): void {
    if (error.code === "ECONNRESET") runner.resets += 1;
  }
  socket.on("data", came);
  socket.on("error", failed);
}

function take(runner: StandIn, call: Call, socket: Socket): void {
  runner.runs.set(call.id, (runner.runs.get(call.id) ?? 0) + 1);
  runner.heads.set(call.id, call.head);
  function answer(): void {
    socket.write(answerTo(call));
  }
  if (runner.holds) {
    runner.held.push(answer);
    return;
  }
  if (runner.takes > 0) {
    setTimeout(answer, runner.takes);
    return;
  }
  if (call.before.length > 0 && runner.fault !== undefined) {
    runner.kept += 1;
    if (runner.kept % runner.every === 0) {
      runner.strikes += 1;
      return runner.fault(call, socket, runner);
    }
  }
  socket.write(answerTo(call));
}

export function listening(server: Server): Promise<number> {
  function begin(resolve: (port: number) => void): void {
    function up(): void {
      resolve((server.address() as AddressInfo).port);
    }
    server.listen(0, "127.0.0.1", up);
  }
  return new Promise<number>(begin);
}

export async function aStandIn(index: number): Promise<StandIn> {
  function accept(socket: Socket): void {
    serve(runner, socket);
  }
  const runner: StandIn = {
    id: `r${index}`,
    server: createServer({ noDelay: true }, accept),
    sockets: new Set(),
    runs: new Map(),
    heads: new Map(),
    held: [],
    address: "",
    fault: undefined,
    every: 2,
    kept: 0,
    strikes: 0,
    holds: false,
    takes: 0,
    resets: 0,
  };
  runner.address = `127.0.0.1:${await listening(runner.server)}`;
  return runner;
}

export function cardOf(runner: StandIn): RunnerDescriptor {
  return {
    id: runner.id,
    incarnation: 1,
    url: runner.address,
    kind: "plain",
    models: [],
    labels: {},
    seats: 16,
    zone: "a",
    burden: 0,
    pool: "printer",
    age: 0,
  };
}
