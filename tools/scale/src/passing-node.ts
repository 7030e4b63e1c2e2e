import type { ServerResponse } from "node:http";
import { AccessProcess, type AccessDesk, type AccessFront, type PassCaller } from "@chutewick/data";
import {
  Gateway,
  settings,
  start,
  type Log,
  type Settings,
  type WholeArrival,
} from "@chutewick/shell";
import type { Outcome } from "@chutewick/parts";

/** An access process with the plainest interface towards callers of passages: what it costs is the product's own (docs/CAPACITY.md). */
class PlainFront implements AccessFront {
  #address: string;
  #log: Log;
  #gateway: Gateway | undefined;

  constructor(address: string, log: Log) {
    this.#address = address;
    this.#log = log;
  }

  async open(desk: AccessDesk): Promise<void> {
    function arrived(arrival: WholeArrival): void {
      const { reply } = arrival;
      const ticket = desk.pass(
        {
          id: String(arrival.headers["chutewick-inquiry"] ?? ""),
          method: arrival.method,
          host: String(arrival.headers.host ?? ""),
          path: arrival.path,
          headers: [],
          body: arrival.body,
          patience: undefined,
          model: "reader",
          tokensIn: 700,
          tokensOut: 300,
          parts: [],
          resumeAfter: undefined,
        },
        new PlainCaller(reply),
      );
      function closed(): void {
        if (!reply.writableFinished) desk.left(ticket);
      }
      function drained(): void {
        desk.ready(ticket);
      }
      function slowed(): void {
        desk.slow(ticket);
      }
      reply.once("close", closed);
      reply.on("drain", drained);
      reply.on("slow", slowed);
    }
    this.#gateway = new Gateway({
      address: this.#address,
      log: this.#log,
      openings: [],
      whole: "pass.arrived",
      owners: [{ name: "plain-front", events: { "pass.arrived": arrived } }],
    });
    await this.#gateway.open();
  }

  get underWay(): number {
    return this.#gateway?.underWay ?? 0;
  }

  leave(): void {
    this.#gateway?.leave();
  }

  async close(): Promise<void> {
    await this.#gateway?.close();
  }
}

class PlainCaller implements PassCaller {
  #reply: ServerResponse;

  constructor(reply: ServerResponse) {
    this.#reply = reply;
  }

  head(status: number, headers: readonly string[]): void {
    this.#reply.writeHead(status, [...headers] as never);
    this.#reply.flushHeaders();
  }

  bytes(bytes: Uint8Array): void {
    if (!this.#reply.destroyed && !this.#reply.write(bytes)) this.#reply.emit("slow");
  }
  end(): void {
    this.#reply.end();
  }
  cut(): void {
    this.#reply.destroy();
  }

  refused(status: number, _retryAfter: number | undefined, reason: string): void {
    this.#reply.writeHead(status, {
      "content-type": "text/plain",
      "content-length": String(Buffer.byteLength(reason)),
    });
    this.#reply.end(reason);
  }
}

/** `node passing-node.js SETTINGS ADDRESS` */
const checked = settings.check(JSON.parse(process.argv[2]!));
if (!checked.ok) throw new Error(checked.reason);
function open(held: Settings, log: Log): Promise<Outcome<AccessProcess>> {
  return AccessProcess.open(held, log, { fronts: [new PlainFront(process.argv[3]!, log)] });
}
await start("access", checked.value, open);
