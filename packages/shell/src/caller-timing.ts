import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { CallerLimits } from "@chutewick/parts";
import { constants } from "@chutewick/parts";

const second = 1_000;
/** bytes. What the separators of one header line take: a colon, a space and the line end. */
const separators = 4;

/** bytes. All header lines as they would be written, from names and values in turn. */
export function headerBytesOf(rawHeaders: readonly string[]): number {
  let size = 0;
  for (const text of rawHeaders) size += text.length;
  return size + (rawHeaders.length / 2) * separators;
}

/**
 * ms that the server keeps an idle connection open. The library tells callers the whole seconds of it, so it is the next whole
 * second, which callers are told, and a margin for a request that is on its way when the time ends.
 */
export function keepAliveOf(idleWait: number): number {
  return Math.max(1, Math.ceil(idleWait / second)) * second + constants.idleMarginHere;
}

/** The library reads this at each connection; its types know it only as an option of the constructor. */
type TimedServer = Server & { maxHeaderSize?: number };

/** Keeps the timers of an HTTP server at limits that may change while it runs. */
export class CallerTiming {
  #server: TimedServer;
  #limits: () => CallerLimits;

  constructor(server: Server, limits: () => CallerLimits) {
    this.#server = server;
    this.#limits = limits;
  }

  /** Looks at the limits before each connection and each request; what was told to a caller before a change still holds. */
  watch(): void {
    const self = this;
    function connected(): void {
      self.#apply();
    }
    function arrived(incoming: IncomingMessage, response: ServerResponse): void {
      self.#apply();
      self.#keepWord(incoming, response);
    }
    this.#apply();
    this.#server.prependListener("connection", connected);
    this.#server.prependListener("request", arrived);
  }

  #apply(): void {
    const { headerBytes, headerWait, idleWait } = this.#limits();
    const server = this.#server;
    server.headersTimeout = headerWait;
    server.requestTimeout = headerWait + constants.bodyPatience;
    server.keepAliveTimeout = keepAliveOf(idleWait);
    /** The parser takes it per connection, so it holds the largest that may come into force; each request is checked by itself. */
    server.maxHeaderSize =
      Math.max(headerBytes, constants.passHeadersMost) + constants.requestLineMost;
  }

  /** The time told in `Keep-Alive` is that of the request's arrival: a shorter one that came since begins with the next response. */
  #keepWord({ socket }: IncomingMessage, response: ServerResponse): void {
    const told = this.#server.keepAliveTimeout;
    function finished(): void {
      const { timeout = 0 } = socket;
      if (timeout > 0 && timeout < told) socket.setTimeout(told);
    }
    response.once("finish", finished);
  }
}
