/** Reads requests with their raw bodies, within the limits for callers. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { CallerLimits } from "@chutewick/parts";
import { headerSizeOf } from "./caller-timing.js";
import { replyWithError } from "./reply.js";

/** A request with its unchanged bytes, for interfaces that forward it (docs/design.md §13.2). */
export interface RawRequest {
  readonly method: string;
  /** Path and query, unchanged. */
  readonly path: string;
  /** Alternating names and values. */
  readonly rawHeaders: readonly string[];
  readonly headers: IncomingMessage["headers"];
  readonly body: Buffer;
  /** Response to be written. */
  readonly reply: ServerResponse;
}

/** Reads a whole request and passes it on. Beyond the limits it replies 431 or 413 at once and discards the rest of the request. */
export function readRawRequest(
  incoming: IncomingMessage,
  response: ServerResponse,
  limits: CallerLimits,
  accept: (request: RawRequest) => void,
): void {
  const chunks: Buffer[] = [];
  let size = 0;
  let refused = false;
  function refuse(status: RefusalStatus): void {
    refused = true;
    chunks.length = 0;
    replyWithRefusal(response, status, limits);
  }
  function receive(chunk: Buffer): void {
    if (refused) return;
    size += chunk.length;
    chunks.push(chunk);
    if (size > limits.bodyBytes) refuse(413);
  }
  function finish(): void {
    // If a response was already sent, it said that the request does not run.
    if (!refused && !response.headersSent)
      accept(requestOf(incoming, response, Buffer.concat(chunks, size)));
  }
  function failed(): void {
    response.destroy();
  }
  incoming.on("data", receive);
  incoming.once("end", finish);
  incoming.once("error", failed);
  const status = checkHeaders(incoming, limits);
  if (status !== undefined) refuse(status);
}

type RefusalStatus = 400 | 413 | 431;

/** Checks a request by its headers alone; returns the status with which it is refused, if it is. */
function checkHeaders(incoming: IncomingMessage, limits: CallerLimits): RefusalStatus | undefined {
  if (headerSizeOf(incoming.rawHeaders) > limits.headerBytes) return 431;
  // With several Host headers, another reader might route the request elsewhere (RFC 9112, section 3.2).
  if (incoming.headersDistinct["host"]?.length !== 1) return 400;
  if (Number(incoming.headers["content-length"] ?? 0) > limits.bodyBytes) return 413;
  return undefined;
}

function requestOf(incoming: IncomingMessage, reply: ServerResponse, body: Buffer): RawRequest {
  return {
    method: incoming.method ?? "GET",
    path: incoming.url ?? "/",
    rawHeaders: incoming.rawHeaders,
    headers: incoming.headers,
    body,
    reply,
  };
}

function replyWithRefusal(
  response: ServerResponse,
  status: RefusalStatus,
  limits: CallerLimits,
): void {
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
  replyWithError(response, status, bodies[status]);
}
