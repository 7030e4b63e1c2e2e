import type { ServerResponse } from "node:http";
import { metrics } from "./metrics.js";

/** Every trouble told over HTTP has this one shape (docs/interface.md). */
export interface TroubleBody {
  readonly trouble: string;
  readonly reason: string;
  readonly retryAfter?: number;
  readonly [more: string]: unknown;
}

/** Answers with a JSON body, once: nothing happens where an answer was begun or the caller is gone. */
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

/** Answers with a trouble; `retryAfter` (s) also goes into its header, in whole seconds. */
export function replyTrouble(to: ServerResponse, status: number, body: TroubleBody): void {
  const headers: Record<string, string> = {};
  if (body.retryAfter !== undefined) metrics.waitTold(body.trouble, body.retryAfter);
  if (body.retryAfter !== undefined)
    headers["retry-after"] = String(Math.max(1, Math.ceil(body.retryAfter)));
  reply(to, status, body, headers);
}
