import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { request } from "undici";
import { ipOf, ports } from "./machine.js";

/** A runner of the tests' own: five events for tokens, the path for plain work. */

/** ms. A payment takes this long. */
const paymentTakes = 40;
/** ms. Between the events of a stream. */
const eventEvery = 4;
/** ms. The same for a path with "slow" in it. */
const slowEventEvery = 250;
/** Events of a stream. */
export const eventCount = 5;

const port = 8_000;
const subnet = 8;
const reportPatience = 1_000;

/** What a stand-in runner is started with. */
export interface StandInOptions {
  readonly net: number;
  readonly index: number;
  readonly service: string;
  /** How many control machines it reports to in turn. */
  readonly controls: number;
}

/** A path may ask for a duration: `/labels/takes-600/7` takes 600 ms, and so does each event of such a stream. */
function askedDuration(path: string): number | undefined {
  const found = /takes-(\d{1,5})/.exec(path);
  return found === null ? undefined : Number(found[1]);
}

/** One runner with a server at a loopback address. */
export class StandInRunner {
  readonly id: string;
  readonly address: string;
  readonly service: string;
  readonly server: Server;
  /** Ids of the requests it began to run, in order. */
  readonly ran: string[] = [];
  state: "in_service" | "draining" = "in_service";
  calls = 0;
  /** Plain requests begun whose answers have not gone out. */
  underWay = 0;
  #options: StandInOptions;

  constructor(options: StandInOptions) {
    this.#options = options;
    this.id = `i-${options.index}`;
    this.address = `127.${options.net}.${subnet}.${options.index}:${port}`;
    this.service = options.service;
    const self = this;
    function serve(incoming: IncomingMessage, response: ServerResponse): void {
      self.#serve(incoming, response);
    }
    this.server = createServer(serve);
  }

  /** Listens. */
  start(): Promise<void> {
    const [host] = this.address.split(":");
    const { server } = this;
    function listen(resolve: () => void, reject: (error: Error) => void): void {
      server.once("error", reject);
      server.listen(port, host, resolve);
    }
    return new Promise<void>(listen);
  }

  /** Ends the server and its connections. */
  stop(): void {
    this.server.closeAllConnections();
    this.server.close();
  }

  /** Reports to the next control machine; the status of the answer. */
  async report(): Promise<number> {
    this.calls += 1;
    const isModel = this.service === "reader";
    const body = JSON.stringify({
      service: this.service,
      address: this.address,
      zone: "a",
      revision: "v1",
      capacitySlots: 8,
      state: this.state,
      warmupLeftMs: 0,
      phase: "both",
      models: isModel ? [{ name: "m", revision: 1, adapters: [] }] : [],
      callSequence: this.calls,
    });
    const { net, controls } = this.#options;
    const control = `${ipOf(net, "core", 1 + (this.calls % controls))}:${ports.control}`;
    const told = await request(`http://${control}/chutewick/instances/${this.id}/report`, {
      method: "POST",
      body,
      headersTimeout: reportPatience,
    });
    await told.body.dump();
    return told.statusCode;
  }

  #serve(incoming: IncomingMessage, response: ServerResponse): void {
    const id = String(incoming.headers["chutewick-attempt-id"] ?? "");
    if (incoming.headers["chutewick-expected-instance"] !== this.id) {
      response.writeHead(421, { "chutewick-not-executed": "1", "chutewick-attempt-id": id }).end();
      return;
    }
    this.ran.push(id);
    incoming.resume();
    const head = { "chutewick-attempt-id": id, "chutewick-answer-seal": `seal-${id}` };
    if (this.service === "reader") this.#stream(incoming, response, head);
    else this.#print(incoming.url ?? "", response, head);
  }

  #print(path: string, response: ServerResponse, head: Record<string, string>): void {
    const self = this;
    function print(): void {
      response.writeHead(200, { ...head, "content-type": "text/plain" }).end(`label ${path}`);
    }
    function printed(): void {
      self.underWay -= 1;
    }
    this.underWay += 1;
    response.once("close", printed);
    const usual = path.startsWith("/pay/") ? paymentTakes : 0;
    setTimeout(print, askedDuration(path) ?? usual);
  }

  #stream(incoming: IncomingMessage, response: ServerResponse, head: Record<string, string>): void {
    const path = incoming.url ?? "";
    response.writeHead(200, { ...head, "content-type": "text/event-stream" });
    let next = Number(incoming.headers["last-event-id"] ?? -1) + 1;
    function tell(): void {
      if (next < eventCount) response.write(`id: ${next}\ndata: piece ${next} of ${path}\n\n`);
      next += 1;
      if (next < eventCount) return;
      clearInterval(beats);
      response.end();
    }
    const usual = path.includes("slow") ? slowEventEvery : eventEvery;
    const beats = setInterval(tell, askedDuration(path) ?? usual);
    function left(): void {
      clearInterval(beats);
    }
    response.once("close", left);
  }
}

/** The whole body of a stream for a path. */
export function eventsOf(path: string): string {
  let text = "";
  for (let index = 0; index < eventCount; index += 1)
    text += `id: ${index}\ndata: piece ${index} of ${path}\n\n`;
  return text;
}
