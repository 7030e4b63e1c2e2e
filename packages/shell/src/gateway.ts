/** HTTP server for callers, runners and operators: moleculer-web in one process, without a transporter (docs/design.md §10.4). */
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
import { waitUntil } from "./beat.js";
import { withErrorReplies } from "./guarded-handlers.js";
import { invariants } from "./invariants.js";
import type { Log } from "./log.js";
import { metrics } from "./metrics.js";
import { refuseUnreadable, type ReadError } from "./read-errors.js";
import { replyWithError } from "./reply.js";
import { readRawRequest, type RawRequest } from "./whole-request.js";

/** A request with a parsed body. */
export interface GatewayRequest {
  readonly parameters: Readonly<Record<string, string>>;
  readonly query: Readonly<Record<string, string>>;
  readonly body: unknown;
  readonly path: string;
  readonly headers: IncomingMessage["headers"];
  /** Response to be written. */
  readonly reply: ServerResponse;
}

/** Route whose requests are emitted as an event. */
export interface GatewayRoute {
  readonly method: "GET" | "POST" | "PUT" | "PATCH" | "DELETE";
  readonly path: string;
  /** Name of the event that carries the request to its owner. */
  readonly event: string;
}

/** Options of a gateway. */
export interface GatewayOptions {
  /** IP:port to listen on. */
  readonly address: string;
  readonly log: Log;
  readonly routes: readonly GatewayRoute[];
  /** Event that carries every request with its raw body, whatever its path; if it is set, no routes are used. */
  readonly whole?: string;
  /** Limits on size and time of raw requests, read again for each request; the default limits if absent. */
  readonly limits?: () => CallerLimits;
  /** Services that receive the requests as events. */
  readonly owners: readonly ServiceSchema[];
}

/** Request as moleculer-web extends it. */
interface Incoming extends IncomingMessage {
  $params: { params: Record<string, string> };
  body: unknown;
  parsedUrl?: string;
}

/** Serves HTTP and emits each request as an event to the services that own the routes. */
export class Gateway {
  #options: GatewayOptions;
  #broker: ServiceBroker;
  #connections = new CallerConnections();
  #server: Server | undefined;
  #isStopping = false;

  constructor(options: GatewayOptions) {
    this.#options = options;
    this.#broker = new ServiceBroker({
      logger: false,
      transporter: null as never,
      metrics: false,
      tracing: false,
      // Neither is used, and each adds some ms of processor time to the start.
      validator: false as never,
      internalServices: false,
      skipProcessEventRegistration: true,
    });
  }

  /** Starts the server. */
  async open(): Promise<void> {
    const { address, routes, owners } = this.#options;
    const separator = address.lastIndexOf(":");
    const broker = this.#broker;
    const self = this;
    const connections = this.#connections;
    const aliases: Record<string, unknown> = {};
    for (const gatewayRoute of routes) {
      function receive(incoming: Incoming, response: ServerResponse): void {
        if (connections.isClosingAfterResponse(incoming.socket)) return;
        if (self.#isStopping) return refuseWhileStopping(response);
        const url = new URL(incoming.url ?? "/", "http://gateway");
        const original = new URL(
          (incoming as { originalUrl?: string }).originalUrl ?? incoming.url ?? "/",
          "http://gateway",
        );
        const request: GatewayRequest = {
          parameters: incoming.$params.params,
          query: Object.fromEntries(url.searchParams),
          body: incoming.body,
          path: original.pathname,
          headers: incoming.headers,
          reply: response,
        };
        metrics.arrived(response, gatewayRoute.event);
        void broker.emit(gatewayRoute.event, request);
      }
      aliases[`${gatewayRoute.method} ${gatewayRoute.path}`] = receive;
    }
    function onError(
      _incoming: IncomingMessage,
      response: ServerResponse,
      error: { code?: number; type?: string; message: string },
    ): void {
      const status = error.code ?? 500;
      if (status === 404)
        replyWithError(response, 404, {
          trouble: "unknown-path",
          reason: "there is nothing at this path",
        });
      else if (
        status === 413 ||
        error.type === "entity.too.large" ||
        error.message.includes("too large")
      )
        replyWithError(response, 413, {
          trouble: "body-too-large",
          reason: `the body may have ${constants.maxBodyBytes} bytes at most`,
        });
      else if (status >= 400 && status < 500)
        replyWithError(response, 400, {
          trouble: "bad-body",
          reason: `the body cannot be read as JSON: ${error.message}`,
        });
      else replyWithError(response, 500, { trouble: "internal", reason: error.message });
    }
    const { whole, limits = defaultLimits } = this.#options;
    function publish(request: RawRequest): void {
      void broker.emit(whole!, request);
    }
    function receiveWhole(incoming: IncomingMessage, response: ServerResponse): void {
      if (connections.isClosingAfterResponse(incoming.socket)) return;
      if (self.#isStopping) return refuseWhileStopping(response);
      readRawRequest(incoming, response, limits(), publish);
    }
    // The library's own server has no option for the interval at which slow connections are checked.
    function create(this: { server: Server; httpHandler: RequestListener }): void {
      const timing =
        whole === undefined
          ? {
              headersTimeout: constants.headersTimeoutMs,
              requestTimeout: constants.bodyTimeoutMs,
              connectionsCheckingInterval: 1_000,
              keepAliveTimeout: 30_000,
            }
          : { connectionsCheckingInterval: constants.slowCallerCheckIntervalMs };
      this.server = createServer(
        { ...timing, noDelay: true },
        whole === undefined ? this.httpHandler : receiveWhole,
      );
    }
    const route = {
      path: "/",
      aliases,
      mappingPolicy: "restrict",
      mergeParams: false,
      autoAliases: false,
      bodyParsers: { json: { strict: true, limit: constants.maxBodyBytes, type: matchEveryBody } },
      onError,
    };
    const api = {
      name: "gateway",
      mixins: [ApiService as unknown as ServiceSchema],
      settings: {
        port: Number(address.slice(separator + 1)),
        ip: address.slice(0, separator),
        routes: whole === undefined ? [route] : [],
        onError,
        // No two routes of one method match the same path, and sorting them would load a collator.
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
    for (const owner of owners) broker.createService(withErrorReplies(owner, this.#options.log));
    const service = broker.createService(api) as unknown as {
      server: Server;
    };
    this.#server = service.server;
    connections.watch(service.server);
    if (whole !== undefined) new CallerTiming(service.server, limits).watch();
    function refuse(error: ReadError, socket: Duplex): void {
      refuseUnreadable(connections, error, socket);
    }
    service.server.on("clientError", refuse);
    await broker.start();
  }

  /** IP:port of the server; the assigned port if port 0 was configured. */
  get address(): string {
    const { address, port } = this.#server!.address() as AddressInfo;
    return `${address}:${port}`;
  }

  /** Number of requests whose responses have not been written completely. */
  get unfinishedResponses(): number {
    return this.#connections.unfinishedResponses;
  }

  /** Begins a planned stop: each connection is closed after its next response. */
  beginStop(): void {
    this.#connections.closeAfterResponses();
  }

  /** Closes once every request that was read has a response. Requests without one after `timeoutMs` are answered with an error. */
  async close(timeoutMs = 0): Promise<void> {
    this.beginStop();
    await this.#waitForResponses(timeoutMs);
    this.#isStopping = true;
    this.#answerUnfinished();
    await this.#waitForResponses(constants.replyFlushMs);
    this.#countDropped();
    await readPendingInput();
    // Before the library stops: it keeps listening for a while and then waits for the connections accepted meanwhile.
    this.#server?.close();
    this.#server?.closeAllConnections();
    await this.#broker.stop();
  }

  /** Waits until every request has its response, or until the time is over. */
  async #waitForResponses(patience: number): Promise<void> {
    const until = performance.now() + patience;
    const isOver = (): boolean => this.unfinishedResponses === 0 || performance.now() >= until;
    if (!isOver()) await waitUntil(isOver);
  }

  /** Counts requests that were read completely but end without a complete response, also because the caller reads too slowly. */
  #countDropped(): void {
    const { address } = this.#options;
    const dropped = this.#connections.unfinishedCount;
    for (let count = 0; count < dropped; count += 1)
      invariants.violated("requestsDroppedAtStop", { address, dropped });
  }

  /** An incompletely read request has certainly not run; of any other request the outcome is unknown. */
  #answerUnfinished(): void {
    for (const { response, isWhole } of this.#connections.unanswered())
      if (isWhole) replyWithError(response, 504, { trouble: "unknown", reason: STOPPING_REASON });
      else refuseWhileStopping(response);
  }
}

/** Turns of the event loop: one accepts a connection, the next reads its request. */
const EVENT_LOOP_TURNS = 3;

/** Lets the server read and refuse what callers have already sent: closing a connection with unread bytes would reset it. */
async function readPendingInput(): Promise<void> {
  for (let turn = 0; turn < EVENT_LOOP_TURNS; turn += 1) await nextTurn();
}

const STOPPING_REASON = "this process is about to end";

/** Replies that the request has not run: it has not been passed to any service and will not be. */
function refuseWhileStopping(response: ServerResponse): void {
  const { retryAfter } = constants;
  replyWithError(response, 503, { trouble: "not-run", reason: STOPPING_REASON, retryAfter });
}

function defaultLimits(): CallerLimits {
  return callerLimits.defaults;
}

function matchEveryBody(): boolean {
  return true;
}
