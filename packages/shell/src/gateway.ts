import {
  createServer,
  type IncomingMessage,
  type RequestListener,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Duplex } from "node:stream";
import { callerLimits, constants, type CallerLimits } from "@chutewick/parts";
import { ServiceBroker, type ServiceSchema } from "moleculer";
import ApiService from "moleculer-web";
import { CallerConnections } from "./caller-connections.js";
import { CallerTiming } from "./caller-timing.js";
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

  constructor(options: GatewayOptions) {
    this.#options = options;
    this.#broker = new ServiceBroker({
      logger: false,
      transporter: null as never,
      metrics: false,
      tracing: false,
      skipProcessEventRegistration: true,
    });
  }

  async open(): Promise<void> {
    const { address, openings, owners } = this.#options;
    const cut = address.lastIndexOf(":");
    const broker = this.#broker;
    const aliases: Record<string, unknown> = {};
    for (const opening of openings) {
      function arrive(incoming: Incoming, response: ServerResponse): void {
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
    const api = {
      name: "gateway",
      mixins: [ApiService as unknown as ServiceSchema],
      settings: {
        port: Number(address.slice(cut + 1)),
        ip: address.slice(0, cut),
        routes: [
          {
            path: "/",
            aliases,
            mappingPolicy: "restrict",
            mergeParams: false,
            autoAliases: false,
            bodyParsers: { json: { strict: true, limit: constants.bodyMost, type: everyBody } },
            onError,
          },
        ],
        onError,
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
    const connections = new CallerConnections();
    connections.watch(service.server);
    if (whole !== undefined) new CallerTiming(service.server, limits).watch();
    function unreadable(error: ReadError, socket: Duplex): void {
      refuseUnread(connections, error, socket);
    }
    service.server.on("clientError", unreadable);
    await broker.start();
  }

  async close(): Promise<void> {
    await this.#broker.stop();
  }
}

function usualLimits(): CallerLimits {
  return callerLimits.usual;
}

function everyBody(): boolean {
  return true;
}
