/** JSON responses over HTTP. */
import type { ServerResponse } from "node:http";
import { metrics } from "./metrics.js";

/** Body of every error response (docs/interface.md). */
export interface ErrorBody {
  /** Code of the error. */
  readonly trouble: string;
  /** Description for people. */
  readonly reason: string;
  /** Seconds after which the caller should retry. */
  readonly retryAfter?: number;
  readonly [more: string]: unknown;
}

/** Sends a JSON response; does nothing if a response was already started or the caller has disconnected. */
export function reply(
  to: ServerResponse,
  status: number,
  body: unknown,
  headers: Record<string, string> = {},
): void {
  if (to.headersSent || to.destroyed) return;
  const text = JSON.stringify(body);
  metrics.resulted(to, status, status >= 400 ? (body as ErrorBody).trouble : "");
  to.writeHead(status, {
    "content-type": "application/json; charset=utf-8",
    "content-length": String(Buffer.byteLength(text)),
    ...headers,
  });
  to.end(text);
}

/** Sends an error response; `retryAfter` in seconds is also sent as a header, rounded up to whole seconds. */
export function replyWithError(to: ServerResponse, status: number, body: ErrorBody): void {
  const headers: Record<string, string> = {};
  if (body.retryAfter !== undefined) metrics.retryAfterSent(body.trouble, body.retryAfter);
  if (body.retryAfter !== undefined)
    headers["retry-after"] = String(Math.max(1, Math.ceil(body.retryAfter)));
  reply(to, status, body, headers);
}
