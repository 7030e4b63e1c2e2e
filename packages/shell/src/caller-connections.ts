/** Open connections of an HTTP server and the order of their responses. */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Duplex } from "node:stream";

/** One request on a caller's connection, until its response is closed. */
interface Exchange {
  readonly incoming: IncomingMessage;
  readonly response: ServerResponse;
}

/** A request that has no response yet. */
export interface UnansweredRequest {
  readonly response: ServerResponse;
  /** Whether the request was read to its end. */
  readonly isWhole: boolean;
}

/** What may be written on a connection on which a request could not be read to its end. */
export type UnreadRequestResult =
  /** The request has a response of its own, which is written in its turn. */
  | { readonly kind: "own-response"; readonly response: ServerResponse }
  /** No request is in progress: the refusal may be written at once. */
  | { readonly kind: "none-under-way" }
  /** Earlier requests are in progress, or the request was already answered: nothing may be written for it. */
  | { readonly kind: "silent" };

/**
 * The connections of one HTTP server, with the requests in progress on each in the order of their arrival.
 *
 * HTTP/1.1 matches responses to requests by their order alone. So a refusal for bytes that cannot be read is never
 * written while an earlier response is outstanding on that connection: the caller would take it for the response to the
 * earlier request, and a 408 would even tell it that the earlier request did not run.
 */
export class CallerConnections {
  #exchanges = new WeakMap<Duplex, Exchange[]>();
  #endingSockets = new WeakSet<Duplex>();
  #openExchanges = new Set<Exchange>();
  #isClosing = false;

  /** Records every request of the server before any other listener handles it. */
  watch(server: Server): void {
    const self = this;
    function arrived(incoming: IncomingMessage, response: ServerResponse): void {
      self.#addExchange(incoming, response);
    }
    server.prependListener("request", arrived);
  }

  /** Number of requests whose responses have not been written completely, including requests that are still being read. */
  get unfinishedResponses(): number {
    return this.#openExchanges.size;
  }

  /** From now on each connection is closed after the response to the last request that was read on it. */
  closeAfterResponses(): void {
    this.#isClosing = true;
    for (const { incoming, response } of this.#openExchanges)
      if (isLast(this.#exchanges.get(incoming.socket), response)) closeAfter(response);
  }

  /** Whether a response that closes the connection has been started: nothing read after it can be answered. */
  isClosingAfterResponse(socket: Duplex): boolean {
    const exchanges = this.#exchanges.get(socket) ?? [];
    return exchanges.some(closesConnection);
  }

  /** Requests that have no response yet. */
  *unanswered(): Generator<UnansweredRequest> {
    for (const { incoming, response } of [...this.#openExchanges])
      if (!response.headersSent && !response.destroyed)
        yield { response, isWhole: incoming.complete };
  }

  /** Number of requests that were read completely and whose responses are missing or not completely written to the network. */
  get unfinishedCount(): number {
    let count = 0;
    for (const { incoming, response } of this.#openExchanges)
      if (incoming.complete && !response.destroyed) count += 1;
    return count;
  }

  /** Ends a connection from which nothing more can be read, and returns where the refusal may be written. */
  endAfterUnreadRequest(socket: Duplex): UnreadRequestResult {
    const exchanges = this.#exchanges.get(socket) ?? [];
    const isFirst = !this.#endingSockets.has(socket);
    this.#endingSockets.add(socket);
    const last = exchanges.at(-1);
    if (!isFirst) return { kind: "silent" };
    if (last === undefined) return { kind: "none-under-way" };
    if (!last.incoming.complete && !last.response.headersSent) {
      last.response.shouldKeepAlive = false;
      return { kind: "own-response", response: last.response };
    }
    if (last.response.writableFinished) socket.destroy();
    else if (!last.response.headersSent) last.response.shouldKeepAlive = false;
    return { kind: "silent" };
  }

  /** Requests in progress on a connection. They end when it closes, including those whose response is waiting for its turn. */
  #exchangesOn(socket: Duplex): Exchange[] {
    const known = this.#exchanges.get(socket);
    if (known !== undefined) return known;
    const exchanges: Exchange[] = [];
    const open = this.#openExchanges;
    function closed(): void {
      for (const exchange of exchanges) open.delete(exchange);
    }
    socket.once("close", closed);
    this.#exchanges.set(socket, exchanges);
    return exchanges;
  }

  #addExchange(incoming: IncomingMessage, response: ServerResponse): void {
    const { socket } = incoming;
    const exchanges = this.#exchangesOn(socket);
    const exchange: Exchange = { incoming, response };
    const ending = this.#endingSockets;
    if (this.#isClosing) {
      const last = exchanges.at(-1);
      if (last !== undefined && !last.response.headersSent) last.response.shouldKeepAlive = true;
      closeAfter(response);
    }
    exchanges.push(exchange);
    const open = this.#openExchanges;
    open.add(exchange);
    function removeOpen(): void {
      open.delete(exchange);
    }
    response.once("close", removeOpen);
    function removeIfDone(): void {
      if (!incoming.complete && !socket.destroyed && !ending.has(socket)) return;
      const index = exchanges.indexOf(exchange);
      if (index >= 0) exchanges.splice(index, 1);
      if (exchanges.length === 0 && ending.has(socket)) socket.end();
    }
    response.once("close", removeIfDone);
    incoming.once("end", requestEnded);
    function requestEnded(): void {
      if (response.closed) removeIfDone();
    }
  }
}

function isLast(exchanges: readonly Exchange[] | undefined, response: ServerResponse): boolean {
  return exchanges?.at(-1)?.response === response;
}

function closeAfter(response: ServerResponse): void {
  if (!response.headersSent) response.shouldKeepAlive = false;
}

function closesConnection({ response }: Exchange): boolean {
  return response.headersSent && !response.shouldKeepAlive;
}
