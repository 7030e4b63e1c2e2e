import {
  createServer,
  type IncomingMessage,
  type RequestListener,
  type Server,
  type ServerResponse,
} from "node:http";
import { constants } from "@chutewick/parts";
import { ServiceBroker, type ServiceSchema } from "moleculer";
import ApiService from "moleculer-web";
import type { Log } from "./log.js";
import { metrics } from "./metrics.js";

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

/** An arrival with its bytes as they came, for interfaces that pass them on (§13.2). */
export interface WholeArrival {
  readonly method: string;
  /** Path with its query, unchanged. */
  readonly path: string;
  /** Names and values in turn. */
  readonly rawHeaders: readonly string[];
  readonly headers: IncomingMessage["headers"];
  readonly body: Buffer;
  readonly reply: ServerResponse;
}

export interface GatewayOptions {
  readonly address: string;
  readonly log: Log;
  readonly openings: readonly Opening[];
  /** Event that carries every arrival whole, whatever its path; then there are no openings. */
  readonly whole?: string;
  /** bytes. Largest body of a whole arrival. */
  readonly bodyMost?: number;
  /** Owners: services that take arrivals as events. */
  readonly owners: readonly ServiceSchema[];
}

/** Every trouble told over HTTP has this one shape (docs/interface.md). */
export interface TroubleBody {
  readonly trouble: string;
  readonly reason: string;
  readonly retryAfter?: number;
  readonly [more: string]: unknown;
}

export function reply(
  to: ServerResponse,
  status: number,
  body: unknown,
  headers: Record<string, string> = {},
): void {
  if (to.headersSent || to.destroyed) return;
  const text = JSON.stringify(body);
  metrics.resulted(to, status, status >= 400 ? (body as TroubleBody).trouble : "");
  to.writeHead(status, {
    "content-type": "application/json; charset=utf-8",
    "content-length": String(Buffer.byteLength(text)),
    ...headers,
  });
  to.end(text);
}

export function replyTrouble(to: ServerResponse, status: number, body: TroubleBody): void {
  const headers: Record<string, string> = {};
  if (body.retryAfter !== undefined) metrics.waitTold(body.trouble, body.retryAfter);
  if (body.retryAfter !== undefined)
    headers["retry-after"] = String(Math.max(1, Math.ceil(body.retryAfter)));
  reply(to, status, body, headers);
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
    const { whole, bodyMost = constants.passBodyMost } = this.#options;
    function taken(arrival: WholeArrival): void {
      void broker.emit(whole!, arrival);
    }
    function gather(incoming: IncomingMessage, response: ServerResponse): void {
      readWhole(incoming, response, bodyMost, taken);
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
          : {
              headersTimeout: constants.bodyPatience,
              requestTimeout: constants.bodyPatience * 2,
              connectionsCheckingInterval: 1_000,
              keepAliveTimeout: constants.passIdle,
              maxHeaderSize: constants.passHeadersMost,
            };
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
    service.server.on("clientError", unreadable);
    await broker.start();
  }

  async close(): Promise<void> {
    await this.#broker.stop();
  }
}

/** Reads a whole body, then hands it on at once; a larger one is answered 413. */
function readWhole(
  incoming: IncomingMessage,
  response: ServerResponse,
  bodyMost: number,
  taken: (arrival: WholeArrival) => void,
): void {
  const chunks: Buffer[] = [];
  let size = 0;
  function arrived(chunk: Buffer): void {
    size += chunk.length;
    if (size <= bodyMost) chunks.push(chunk);
  }
  function ended(): void {
    if (size > bodyMost)
      return replyTrouble(response, 413, {
        trouble: "body-too-large",
        reason: `the body may have ${bodyMost} bytes at most`,
      });
    const body = chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks, size);
    taken({
      method: incoming.method ?? "GET",
      path: incoming.url ?? "/",
      rawHeaders: incoming.rawHeaders,
      headers: incoming.headers,
      body,
      reply: response,
    });
  }
  function failed(): void {
    response.destroy();
  }
  incoming.on("data", arrived);
  incoming.once("end", ended);
  incoming.once("error", failed);
}

function everyBody(): boolean {
  return true;
}

/** What is not HTTP, or comes too slowly, gets a definite status too. */
function unreadable(error: Error & { code?: string }, socket: import("node:stream").Duplex): void {
  if (!socket.writable) {
    socket.destroy();
    return;
  }
  const slow = error.code === "ERR_HTTP_REQUEST_TIMEOUT";
  const body = JSON.stringify(
    slow
      ? { trouble: "too-slow", reason: "the whole inquiry did not arrive in time" }
      : { trouble: "bad-inquiry", reason: "this is not HTTP/1.1" },
  );
  socket.end(
    `HTTP/1.1 ${slow ? "408 Request Timeout" : "400 Bad Request"}\r\ncontent-type: application/json; charset=utf-8\r\ncontent-length: ${Buffer.byteLength(body)}\r\nconnection: close\r\n\r\n${body}`,
  );
}
