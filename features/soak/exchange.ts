import { request, type Agent, type IncomingMessage } from "node:http";
import { host } from "../system/document.js";
import { ports, type Machine } from "../system/machine.js";
import { now } from "./time.js";

/** One request of a client. */
export interface Call {
  readonly machine: Machine;
  readonly method: "GET" | "POST" | "DELETE";
  readonly path: string;
  readonly id: string;
  /** Keeps the connection; undefined for a connection of its own. */
  readonly agent?: Agent;
  readonly body?: string;
  /** ms. The client gives up after this long. */
  readonly patience: number;
}

/** What the client saw of it. */
export interface Exchange {
  readonly call: Call;
  readonly isOnOpenConnection: boolean;
  /** When the last byte was handed to the kernel; undefined where that did not come to be. */
  readonly writtenAt: number | undefined;
  readonly endedAt: number;
  /** Undefined where no head of an answer came. */
  readonly status: number | undefined;
  readonly seal: string | undefined;
  readonly text: string;
  /** Whether the answer came to its end. */
  readonly isComplete: boolean;
  /** Whether the client itself gave up. */
  readonly isAbandoned: boolean;
  readonly error: string | undefined;
}

let lastId = 0;

/** An id that no other request has. */
export function nextId(): string {
  lastId += 1;
  return `r${lastId}`;
}

/** Sends a request, and tells what became of it; never fails. */
export function send(call: Call): Promise<Exchange> {
  return new Promise((resolve) => begin(call, resolve));
}

/** What is known of an exchange so far. */
interface Progress {
  writtenAt: number | undefined;
  response: IncomingMessage | undefined;
  text: string;
  isAbandoned: boolean;
  isOver: boolean;
}

function headersOf(call: Call): Record<string, string> {
  return {
    host,
    "chutewick-attempt-id": call.id,
    "chutewick-remaining-ms": String(call.patience),
    "chutewick-model": "m",
    "chutewick-token-count": "20,5",
    "chutewick-prompt-prefix": "aa:10,bb:10",
    ...(call.body === undefined ? {} : { "content-length": String(Buffer.byteLength(call.body)) }),
  };
}

function begin(call: Call, resolve: (exchange: Exchange) => void): void {
  const progress: Progress = {
    writtenAt: undefined,
    response: undefined,
    text: "",
    isAbandoned: false,
    isOver: false,
  };
  const outgoing = request({
    host: call.machine.ip,
    port: ports.access,
    method: call.method,
    path: call.path,
    headers: headersOf(call),
    agent: call.agent ?? false,
  });
  function over(isComplete: boolean, error: string | undefined): void {
    if (progress.isOver) return;
    progress.isOver = true;
    clearTimeout(patience);
    resolve(told(call, progress, { isComplete, error, isReused: outgoing.reusedSocket }));
  }
  function abandon(): void {
    progress.isAbandoned = true;
    outgoing.destroy();
    over(false, "given up by the client");
  }
  const patience = setTimeout(abandon, call.patience);
  outgoing.once("finish", () => {
    progress.writtenAt = now();
  });
  outgoing.on("error", (error) => over(false, error.message));
  outgoing.once("response", (response) => read(response, progress, over));
  outgoing.end(call.body);
}

function read(
  response: IncomingMessage,
  progress: Progress,
  over: (isComplete: boolean, error: string | undefined) => void,
): void {
  progress.response = response;
  response.setEncoding("utf8");
  response.on("data", (chunk: string) => {
    progress.text += chunk;
  });
  response.once("end", () => over(true, undefined));
  response.once("error", (error) => over(false, error.message));
  response.once("close", () => over(response.complete, "the answer was cut"));
}

function told(
  call: Call,
  { writtenAt, response, text, isAbandoned }: Progress,
  end: { isComplete: boolean; error: string | undefined; isReused: boolean },
): Exchange {
  return {
    call,
    isOnOpenConnection: end.isReused,
    writtenAt,
    endedAt: now(),
    status: response?.statusCode,
    seal: response?.headers["chutewick-answer-seal"] as string | undefined,
    text,
    isComplete: end.isComplete,
    isAbandoned,
    error: end.isComplete ? undefined : end.error,
  };
}
