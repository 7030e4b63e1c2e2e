import type { IncomingMessage, ServerResponse } from "node:http";
import type { CallerLimits } from "@chutewick/parts";
import { headerBytesOf } from "./caller-timing.js";
import { replyTrouble } from "./reply.js";

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

/** Reads a whole request, then hands it on at once. Past the limits the answer is 431 or 413, at once; the rest is read and dropped. */
export function readWhole(
  incoming: IncomingMessage,
  response: ServerResponse,
  limits: CallerLimits,
  taken: (arrival: WholeArrival) => void,
): void {
  const chunks: Buffer[] = [];
  let size = 0;
  let refused = false;
  function refuse(status: Refused): void {
    refused = true;
    chunks.length = 0;
    refuseWhole(response, status, limits);
  }
  function arrived(chunk: Buffer): void {
    if (refused) return;
    size += chunk.length;
    chunks.push(chunk);
    if (size > limits.bodyBytes) refuse(413);
  }
  function ended(): void {
    /** One that was answered already was promised not to run. */
    if (!refused && !response.headersSent)
      taken(arrivalOf(incoming, response, Buffer.concat(chunks, size)));
  }
  function failed(): void {
    response.destroy();
  }
  incoming.on("data", arrived);
  incoming.once("end", ended);
  incoming.once("error", failed);
  const status = refusalOfHead(incoming, limits);
  if (status !== undefined) refuse(status);
}

type Refused = 400 | 413 | 431;

/** What the headers alone say against a request. */
function refusalOfHead(incoming: IncomingMessage, limits: CallerLimits): Refused | undefined {
  if (headerBytesOf(incoming.rawHeaders) > limits.headerBytes) return 431;
  /** Whoever read it by another of its hosts would send it elsewhere (RFC 9112, section 3.2). */
  if (incoming.headersDistinct["host"]?.length !== 1) return 400;
  if (Number(incoming.headers["content-length"] ?? 0) > limits.bodyBytes) return 413;
  return undefined;
}

function arrivalOf(incoming: IncomingMessage, reply: ServerResponse, body: Buffer): WholeArrival {
  return {
    method: incoming.method ?? "GET",
    path: incoming.url ?? "/",
    rawHeaders: incoming.rawHeaders,
    headers: incoming.headers,
    body,
    reply,
  };
}

function refuseWhole(response: ServerResponse, status: Refused, limits: CallerLimits): void {
  const bodies = {
    400: { trouble: "bad-inquiry", reason: "there must be one Host" },
    413: {
      trouble: "body-too-large",
      reason: `the body may have ${limits.bodyBytes} bytes at most`,
    },
    431: {
      trouble: "headers-too-large",
      reason: `the headers may have ${limits.headerBytes} bytes at most`,
    },
  } as const;
  replyTrouble(response, status, bodies[status]);
}
