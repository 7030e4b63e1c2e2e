/** Time and size limits of the HTTP connections of callers. */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { CallerLimits } from "@chutewick/parts";
import { constants } from "@chutewick/parts";

const msPerSecond = 1_000;
/** Bytes of the separators in one header line: a colon, a space and the line end. */
const headerSeparatorBytes = 4;

/** Size in bytes of all header lines as they would be written, from a list of alternating names and values. */
export function headerSizeOf(rawHeaders: readonly string[]): number {
  let size = 0;
  for (const text of rawHeaders) size += text.length;
  return size + (rawHeaders.length / 2) * headerSeparatorBytes;
}

/**
 * Time in ms for which the server keeps an idle connection open. The library announces its whole seconds to callers, so it is rounded
 * up to a whole second, plus a margin for a request that is in transit when the announced time ends.
 */
export function keepAliveTimeoutMs(idleWait: number): number {
  return (
    Math.max(1, Math.ceil(idleWait / msPerSecond)) * msPerSecond + constants.callerIdleMarginMs
  );
}

/** Node.js reads `maxHeaderSize` at each connection, but its types declare it only as an option of the constructor. */
type TimedServer = Server & { maxHeaderSize?: number };

/** Applies limits that may change at run time to the timers of an HTTP server. */
export class CallerTiming {
  #server: TimedServer;
  #limits: () => CallerLimits;

  constructor(server: Server, limits: () => CallerLimits) {
    this.#server = server;
    this.#limits = limits;
  }

  /** Applies the limits at each new connection and request. A time that was announced to a caller before a change is still kept. */
  watch(): void {
    const self = this;
    function connected(): void {
      self.#apply();
    }
    function arrived(incoming: IncomingMessage, response: ServerResponse): void {
      self.#apply();
      self.#keepAnnouncedTimeout(incoming, response);
    }
    this.#apply();
    this.#server.prependListener("connection", connected);
    this.#server.prependListener("request", arrived);
  }

  #apply(): void {
    const { headerBytes, headerWait, idleWait } = this.#limits();
    const server = this.#server;
    server.headersTimeout = headerWait;
    server.requestTimeout = headerWait + constants.bodyTimeoutMs;
    server.keepAliveTimeout = keepAliveTimeoutMs(idleWait);
    // The parser reads this once per connection, so it is the largest limit possible; each request is also checked on its own.
    server.maxHeaderSize =
      Math.max(headerBytes, constants.maxPassHeaderBytes) + constants.maxRequestLineBytes;
  }

  /** `Keep-Alive` announces the timeout at the request's arrival; a shorter timeout set since then applies from the next response on. */
  #keepAnnouncedTimeout({ socket }: IncomingMessage, response: ServerResponse): void {
    const announcedMs = this.#server.keepAliveTimeout;
    function finished(): void {
      const { timeout = 0 } = socket;
      if (timeout > 0 && timeout < announcedMs) socket.setTimeout(announcedMs);
    }
    response.once("finish", finished);
  }
}
