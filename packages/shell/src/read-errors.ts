/** Responses to requests that the HTTP parser could not read. */
import type { Duplex } from "node:stream";
import type { CallerConnections } from "./caller-connections.js";
import { reply, type ErrorBody } from "./reply.js";

/** An error of the HTTP parser or of its timeouts. */
export type ReadError = Error & { readonly code?: string };

interface Refusal {
  readonly status: 400 | 408 | 413 | 431;
  readonly body: ErrorBody;
}

const statusTexts = {
  400: "Bad Request",
  408: "Request Timeout",
  413: "Payload Too Large",
  431: "Request Header Fields Too Large",
} as const;

/** The response to an error of the HTTP parser. */
function refusalOf(error: ReadError): Refusal {
  switch (error.code) {
    case "ERR_HTTP_REQUEST_TIMEOUT":
      return {
        status: 408,
        body: { trouble: "too-slow", reason: "the whole inquiry did not arrive in time" },
      };
    case "HPE_HEADER_OVERFLOW":
      return {
        status: 431,
        body: { trouble: "headers-too-large", reason: "the headers are larger than allowed" },
      };
    case "HPE_CHUNK_EXTENSIONS_OVERFLOW":
      return {
        status: 413,
        body: { trouble: "body-too-large", reason: "the chunk extensions are larger than allowed" },
      };
    default:
      return { status: 400, body: { trouble: "bad-inquiry", reason: "this is not HTTP/1.1" } };
  }
}

/** Replies with a definite status to input that is not HTTP or arrives too slowly, but never in place of an earlier request's response. */
export function refuseUnreadable(
  connections: CallerConnections,
  error: ReadError,
  socket: Duplex,
): void {
  if (!socket.writable) {
    socket.destroy();
    return;
  }
  const result = connections.endAfterUnreadRequest(socket);
  if (result.kind === "silent") return;
  const { status, body } = refusalOf(error);
  if (result.kind === "own-response") return reply(result.response, status, body);
  const text = JSON.stringify(body);
  socket.end(
    `HTTP/1.1 ${status} ${statusTexts[status]}\r\ncontent-type: application/json; charset=utf-8\r\ncontent-length: ${Buffer.byteLength(text)}\r\nconnection: close\r\n\r\n${text}`,
  );
}
