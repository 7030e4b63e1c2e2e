import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Duplex } from "node:stream";

/** One request on a caller's connection, until its response has been closed. */
interface Exchange {
  readonly incoming: IncomingMessage;
  readonly response: ServerResponse;
}

/** A request that has no response yet. */
export interface Unanswered {
  readonly response: ServerResponse;
  /** Whether it was read to its end. */
  readonly isWhole: boolean;
}

/** How a connection stands at which a request could not be read to its end. */
export type Unread =
  /** The request has a response of its own, to be written in its turn. */
  | { readonly kind: "own-response"; readonly response: ServerResponse }
  /** No request is under way: the refusal may be written at once. */
  | { readonly kind: "none-under-way" }
  /** Earlier requests are under way, or the request was answered already: nothing may be written for it. */
  | { readonly kind: "silent" };

/**
 * The connections of one HTTP server, with the requests under way on each in the order of their arrival.
 *
 * HTTP/1.1 matches responses to requests by their order alone. So a refusal for bytes that cannot be read is never
 * written while an earlier response is outstanding on that connection: the caller would take it for the answer to the
 * earlier request, and 408 even for the promise that the earlier request did not run.
 */
export class CallerConnections {
  #exchanges = new WeakMap<Duplex, Exchange[]>();
  #ending = new WeakSet<Duplex>();
  #open = new Set<Exchange>();
  #isClosing = false;

  /** Notes every request of the server before anyone else hears of it. */
  watch(server: Server): void {
    const self = this;
    function arrived(incoming: IncomingMessage, response: ServerResponse): void {
      self.#arrived(incoming, response);
    }
    server.prependListener("request", arrived);
  }

  /** Requests whose responses have not been written whole, those included that are still being read. */
  get underWay(): number {
    return this.#open.size;
  }

  /** From now on each connection ends with the response to the last request that was read on it. */
  endWithResponses(): void {
    this.#isClosing = true;
    for (const { incoming, response } of this.#open)
      if (isLast(this.#exchanges.get(incoming.socket), response)) endWith(response);
  }

  /** Whether a response that ends the connection has begun: nothing that is read after it can be answered. */
  isOver(socket: Duplex): boolean {
    const exchanges = this.#exchanges.get(socket) ?? [];
    return exchanges.some(endsConnection);
  }

  /** Requests that have no response yet. */
  *unanswered(): Generator<Unanswered> {
    for (const { incoming, response } of [...this.#open])
      if (!response.headersSent && !response.destroyed)
        yield { response, isWhole: incoming.complete };
  }

  /** Requests that were read whole and whose responses are missing, or not yet handed to the network whole. */
  get wholeUnfinished(): number {
    let count = 0;
    for (const { incoming, response } of this.#open)
      if (incoming.complete && !response.destroyed) count += 1;
    return count;
  }

  /** Ends a connection from which nothing more can be read, and says where the refusal belongs. */
  endUnread(socket: Duplex): Unread {
    const exchanges = this.#exchanges.get(socket) ?? [];
    const isFirst = !this.#ending.has(socket);
    this.#ending.add(socket);
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

  /** Those under way on a connection; with it they end, also the ones whose response still waits for its turn. */
  #exchangesOn(socket: Duplex): Exchange[] {
    const known = this.#exchanges.get(socket);
    if (known !== undefined) return known;
    const exchanges: Exchange[] = [];
    const open = this.#open;
    function closed(): void {
      for (const exchange of exchanges) open.delete(exchange);
    }
    socket.once("close", closed);
    this.#exchanges.set(socket, exchanges);
    return exchanges;
  }

  #arrived(incoming: IncomingMessage, response: ServerResponse): void {
    const { socket } = incoming;
    const exchanges = this.#exchangesOn(socket);
    const exchange: Exchange = { incoming, response };
    const ending = this.#ending;
    if (this.#isClosing) {
      const last = exchanges.at(-1);
      if (last !== undefined && !last.response.headersSent) last.response.shouldKeepAlive = true;
      endWith(response);
    }
    exchanges.push(exchange);
    const open = this.#open;
    open.add(exchange);
    function over(): void {
      open.delete(exchange);
    }
    response.once("close", over);
    function settled(): void {
      if (!incoming.complete && !socket.destroyed && !ending.has(socket)) return;
      const index = exchanges.indexOf(exchange);
      if (index >= 0) exchanges.splice(index, 1);
      if (exchanges.length === 0 && ending.has(socket)) socket.end();
    }
    response.once("close", settled);
    incoming.once("end", readWhole);
    function readWhole(): void {
      if (response.closed) settled();
    }
  }
}

function isLast(exchanges: readonly Exchange[] | undefined, response: ServerResponse): boolean {
  return exchanges?.at(-1)?.response === response;
}

function endWith(response: ServerResponse): void {
  if (!response.headersSent) response.shouldKeepAlive = false;
}

function endsConnection({ response }: Exchange): boolean {
  return response.headersSent && !response.shouldKeepAlive;
}
