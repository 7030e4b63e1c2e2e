import {
  createServer,
  type IncomingMessage,
  type RequestListener,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import type { Duplex } from "node:stream";
import { setImmediate as nextTurn } from "node:timers/promises";
import { callerLimits, constants, type CallerLimits } from "@chutewick/parts";
import { ServiceBroker, type ServiceSchema } from "moleculer";
import ApiService from "moleculer-web";
import { CallerConnections } from "./caller-connections.js";
import { CallerTiming } from "./caller-timing.js";
import { settled } from "./beat.js";
import { invariants } from "./invariants.js";
import type { Log } from "./log.js";
import { metrics } from "./metrics.js";
import { refuseUnread, type ReadError } from "./read-errors.js";
import { replyTrouble } from "./reply.js";
import { readWhole, type WholeArrival } from "./whole-request.js";

/** HTTP towards callers, runners and operators, through moleculer-web in one process without transporter (docs/design.md §10.4). */
export interface Arrival {
  readonly parameters: Readonly<Record<string, string>>;
  readonly query: Readonly<Record<string, string>>;
  readonly body: unknown;
  readonly path: string;
  readonly headers: IncomingMessage["headers"];
  readonly reply: ServerResponse;
}

export interface Opening {
  readonly method: "GET" | "POST" | "PUT" | "PATCH" | "DELETE";
  readonly path: string;
  /** Name of the event that carries the arrival to its owner. */
  readonly event: string;
}

export interface GatewayOptions {
  readonly address: string;
  readonly log: Log;
  readonly openings: readonly Opening[];
  /** Event that carries every arrival whole, whatever its path; then there are no openings. */
  readonly whole?: string;
  /** What a caller of whole arrivals may send and how long it may take, asked anew for each; the usual limits where none are given. */
  readonly limits?: () => CallerLimits;
  /** Owners: services that take arrivals as events. */
  readonly owners: readonly ServiceSchema[];
}

interface Incoming extends IncomingMessage {
  $params: { params: Record<string, string> };
  body: unknown;
  parsedUrl?: string;
}

export class Gateway {
  #options: GatewayOptions;
  #broker: ServiceBroker;
  #connections = new CallerConnections();
  #server: Server | undefined;
  #isEnding = false;

  constructor(options: GatewayOptions) {
    this.#options = options;
    this.#broker = new ServiceBroker({
      logger: false,
      transporter: null as never,
      metrics: false,
      tracing: false,
      /** Neither is used here, and each costs a start some ms of processor time. */
      validator: false as never,
      internalServices: false,
      skipProcessEventRegistration: true,
    });
  }

  async open(): Promise<void> {
    const { address, openings, owners } = this.#options;
    const cut = address.lastIndexOf(":");
    const broker = this.#broker;
    const self = this;
    const connections = this.#connections;
    const aliases: Record<string, unknown> = {};
    for (const opening of openings) {
      function arrive(incoming: Incoming, response: ServerResponse): void {
        if (connections.isOver(incoming.socket)) return;
        if (self.#isEnding) return refuseAtEnd(response);
        const url = new URL(incoming.url ?? "/", "http://gateway");
        const original = new URL(
          (incoming as { originalUrl?: string }).originalUrl ?? incoming.url ?? "/",
          "http://gateway",
        );
        const arrival: Arrival = {
          parameters: incoming.$params.params,
          query: Object.fromEntries(url.searchParams),
          body: incoming.body,
          path: original.pathname,
          headers: incoming.headers,
          reply: response,
        };
        metrics.arrived(response, opening.event);
        void broker.emit(opening.event, arrival);
      }
      aliases[`${opening.method} ${opening.path}`] = arrive;
    }
    function onError(
      _incoming: IncomingMessage,
      response: ServerResponse,
      error: { code?: number; type?: string; message: string },
    ): void {
      const status = error.code ?? 500;
      if (status === 404)
        replyTrouble(response, 404, {
          trouble: "unknown-path",
          reason: "there is nothing at this path",
        });
      else if (
        status === 413 ||
        error.type === "entity.too.large" ||
        error.message.includes("too large")
      )
        replyTrouble(response, 413, {
          trouble: "body-too-large",
          reason: `the body may have ${constants.bodyMost} bytes at most`,
        });
      else if (status >= 400 && status < 500)
        replyTrouble(response, 400, {
          trouble: "bad-body",
          reason: `the body cannot be read as JSON: ${error.message}`,
        });
      else replyTrouble(response, 500, { trouble: "internal", reason: error.message });
    }
    const { whole, limits = usualLimits } = this.#options;
    function taken(arrival: WholeArrival): void {
      void broker.emit(whole!, arrival);
    }
    function gather(incoming: IncomingMessage, response: ServerResponse): void {
      if (connections.isOver(incoming.socket)) return;
      if (self.#isEnding) return refuseAtEnd(response);
      readWhole(incoming, response, limits(), taken);
    }
    /** The library's own server cannot be told how often to look for slow callers. */
    function create(this: { server: Server; httpHandler: RequestListener }): void {
      const timing =
        whole === undefined
          ? {
              headersTimeout: constants.headersPatience,
              requestTimeout: constants.bodyPatience,
              connectionsCheckingInterval: 1_000,
              keepAliveTimeout: 30_000,
            }
          : { connectionsCheckingInterval: constants.slowCheckEvery };
      this.server = createServer(
        { ...timing, noDelay: true },
        whole === undefined ? this.httpHandler : gather,
      );
    }
    const route = {
      path: "/",
      aliases,
      mappingPolicy: "restrict",
      mergeParams: false,
      autoAliases: false,
      bodyParsers: { json: { strict: true, limit: constants.bodyMost, type: everyBody } },
      onError,
    };
    const api = {
      name: "gateway",
      mixins: [ApiService as unknown as ServiceSchema],
      settings: {
        port: Number(address.slice(cut + 1)),
        ip: address.slice(0, cut),
        routes: whole === undefined ? [route] : [],
        onError,
        /** No two openings of one method match the same path, and sorting them loads a collator. */
        optimizeOrder: false,
        logRequest: false,
        logRequestParams: false,
        logResponse: false,
        logResponseData: false,
        log4XXResponses: false,
        httpServerTimeout: null,
      },
      methods: { createServer: create },
    };
    for (const owner of owners) broker.createService(owner);
    const service = broker.createService(api) as unknown as {
      server: Server;
    };
    this.#server = service.server;
    connections.watch(service.server);
    if (whole !== undefined) new CallerTiming(service.server, limits).watch();
    function unreadable(error: ReadError, socket: Duplex): void {
      refuseUnread(connections, error, socket);
    }
    service.server.on("clientError", unreadable);
    await broker.start();
  }

  /** host:port it listens at; the port that was taken where none was given. */
  get address(): string {
    const { address, port } = this.#server!.address() as AddressInfo;
    return `${address}:${port}`;
  }

  /** Requests whose responses have not been written whole. */
  get underWay(): number {
    return this.#connections.underWay;
  }

  /** A planned stop begins: each connection ends with its next response. */
  leave(): void {
    this.#connections.endWithResponses();
  }

  /** Closes once each request that was read has its response. patience in ms: after it, those without one get a last answer. */
  async close(patience = 0): Promise<void> {
    this.leave();
    await this.#answered(patience);
    this.#isEnding = true;
    this.#answerRest();
    await this.#answered(constants.answersWrittenWithin);
    this.#countDropped();
    await readWhatHasCome();
    /** Before the library, which goes on listening for a while and then waits for whoever came meanwhile. */
    this.#server?.close();
    this.#server?.closeAllConnections();
    await this.#broker.stop();
  }

  async #answered(patience: number): Promise<void> {
    const until = performance.now() + patience;
    const isOver = (): boolean => this.underWay === 0 || performance.now() >= until;
    if (!isOver()) await settled(isOver);
  }

  /** Requests that were read whole, and end without a complete answer; those of callers that read too slowly count too. */
  #countDropped(): void {
    const { address } = this.#options;
    const dropped = this.#connections.wholeUnfinished;
    for (let count = 0; count < dropped; count += 1)
      invariants.violated("requestsDroppedAtStop", { address, dropped });
  }

  /** A request that was not read to its end surely did not run; of any other nothing may be promised. */
  #answerRest(): void {
    for (const { response, isWhole } of this.#connections.unanswered())
      if (isWhole) replyTrouble(response, 504, { trouble: "unknown", reason: ENDING });
      else refuseAtEnd(response);
  }
}

/** Turns of the event loop: in one a connection is taken, in the next its request is read. */
const TURNS = 3;

/** Lets what callers have sent be read, so that it is refused: a connection that is closed with bytes unread is reset. */
async function readWhatHasCome(): Promise<void> {
  for (let turn = 0; turn < TURNS; turn += 1) await nextTurn();
}

const ENDING = "this process is about to end";

/** Promises that the request does not run: nobody has heard of it, and nobody will. */
function refuseAtEnd(response: ServerResponse): void {
  const { retryAfter } = constants;
  replyTrouble(response, 503, { trouble: "not-run", reason: ENDING, retryAfter });
}

function usualLimits(): CallerLimits {
  return callerLimits.usual;
}

function everyBody(): boolean {
  return true;
}
