/** Runner of a warm-up: answers each request with a short event stream. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import type { WarmUpSample } from "./warm-up-sample.js";

const LOOPBACK = "127.0.0.1";

/** Events of a response, all written at once. */
const EVENTS_PER_RESPONSE = 8;

/** The connection is closed after this many responses, so that opening new ones is warmed up too. */
const RESPONSES_PER_CONNECTION = 4;

/** One runner on its own loopback address. */
export class SampleRunner {
  #server: Server;
  #sample: WarmUpSample;
  #responses = 0;

  constructor(sample: WarmUpSample) {
    this.#sample = sample;
    const answer = (request: IncomingMessage, response: ServerResponse): void => {
      this.#answer(request, response);
    };
    this.#server = createServer({ noDelay: true }, answer);
  }

  /** @returns host:port */
  async open(): Promise<string> {
    const server = this.#server;
    function listen(resolve: () => void, reject: (error: Error) => void): void {
      server.once("error", reject);
      server.listen(0, LOOPBACK, resolve);
    }
    await new Promise<void>(listen);
    return `${LOOPBACK}:${(server.address() as AddressInfo).port}`;
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #answer(request: IncomingMessage, response: ServerResponse): void {
    this.#responses += 1;
    if (this.#responses % RESPONSES_PER_CONNECTION === 0) response.shouldKeepAlive = false;
    response.writeHead(200, {
      "content-type": "text/event-stream",
      ...this.#sample.answerHeaders(request.headers),
    });
    function writeEvents(): void {
      for (let event = 0; event < EVENTS_PER_RESPONSE; event += 1)
        response.write(`id: ${event}\ndata: event ${event} of a sample\n\n`);
      response.end();
    }
    request.once("end", writeEvents);
    request.resume();
  }
}
