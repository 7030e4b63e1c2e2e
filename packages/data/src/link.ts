/** Connections to runners for attempts of routes. */
import { connect as connectSocket, type Socket } from "node:net";
import { constants } from "@chutewick/parts";
import { Client, type Dispatcher } from "undici";
import type { RunnerEvent, RunnerWork } from "./access-output.js";
import type { EventBudget } from "./event-budget.js";
import { EventStreamParser, type ServerSentEvent } from "./events.js";

/** Opens a new connection for each attempt and never reuses it, so that no caller can get the bytes of another (docs/design.md §6.2). */
export class RunnerConnections {
  #clients = new Map<number, Client>();
  /** The reason why an attempt must not start any more; undefined if it may. */
  #mayStart: (attempt: number) => string | undefined;
  #onEvent: (attempt: number, event: RunnerEvent) => void;
  readonly #eventBudget: EventBudget;

  constructor(
    mayStart: (attempt: number) => string | undefined,
    onEvent: (attempt: number, event: RunnerEvent) => void,
    eventBudget: EventBudget,
  ) {
    this.#mayStart = mayStart;
    this.#onEvent = onEvent;
    this.#eventBudget = eventBudget;
  }

  /** Closes the connection of an attempt; it reports no more events. */
  abandon(attempt: number): void {
    const client = this.#clients.get(attempt);
    this.#clients.delete(attempt);
    if (client !== undefined) void client.destroy();
  }

  /** Starts an attempt; the runner may be silent for at most `silenceMs` at a time. */
  run(attempt: number, url: string, work: RunnerWork, silenceMs: number): void {
    void this.#run(attempt, url, work, silenceMs);
  }

  async #run(attempt: number, url: string, work: RunnerWork, silenceMs: number): Promise<void> {
    const self = this;
    let sent = false;
    let connectError = "";
    // Checks again before the first byte is sent: connecting may have taken long, or this process may have been suspended.
    function connector(
      options: { hostname: string; port: string },
      callback: (error: Error | null, socket: Socket | null) => void,
    ): void {
      let settled = false;
      const socket = connectSocket({
        host: options.hostname,
        port: Number(options.port),
        noDelay: true,
      });
      function settle(error: Error | null): void {
        if (settled) return;
        settled = true;
        clearTimeout(connectTimeout);
        if (error !== null) {
          connectError = error.message;
          socket.destroy();
          callback(error, null);
          return;
        }
        sent = true;
        callback(null, socket);
      }
      function onTimeout(): void {
        settle(new Error("the runner cannot be reached in time"));
      }
      function onError(error: Error): void {
        settle(error);
      }
      function onConnect(): void {
        const reason = self.#mayStart(attempt);
        settle(
          sent
            ? new Error("a connection is used once")
            : reason === undefined
              ? null
              : new Error(reason),
        );
      }
      const connectTimeout = setTimeout(onTimeout, constants.connectTimeoutMs);
      socket.once("error", onError);
      socket.once("connect", onConnect);
    }
    const client = new Client(url, {
      connect: connector as never,
      pipelining: 1,
      headersTimeout: silenceMs,
      bodyTimeout: silenceMs,
      maxResponseSize: work.kind === "stream" ? -1 : constants.maxResultBytes,
    });
    this.#clients.set(attempt, client);
    function emit(event: RunnerEvent): void {
      if (self.#clients.get(attempt) === client) self.#onEvent(attempt, event);
    }
    try {
      await this.#exchange(client, work, emit);
    } catch (error) {
      const reason = (error as Error).message;
      emit(
        sent
          ? { kind: "broken", reason: `the link to the runner broke: ${reason}` }
          : { kind: "unsent", reason: connectError === "" ? reason : connectError },
      );
    }
    if (this.#clients.get(attempt) === client) this.#clients.delete(attempt);
    void client.destroy();
  }

  /** Sends the request of an attempt and emits what the runner answers. */
  async #exchange(
    client: Client,
    work: RunnerWork,
    emit: (event: RunnerEvent) => void,
  ): Promise<void> {
    const options: Dispatcher.RequestOptions =
      work.kind === "fetch"
        ? {
            method: "GET",
            path: work.path,
            headers: { "chutewick-inquiry": work.request },
            reset: true,
          }
        : {
            method: "POST",
            path: work.kind === "stream" ? "/stream" : "/run",
            headers: { "content-type": "application/json", "chutewick-inquiry": work.request },
            body: JSON.stringify(work.body),
            reset: true,
          };
    const response = await client.request(options);
    const status = response.statusCode;
    if ((status === 429 || status === 503) && response.headers["chutewick-taken"] === "no") {
      await response.body.dump();
      const wait = Number(response.headers["retry-after"]);
      return emit({
        kind: "refused",
        retryAfter: wait > 0 && Number.isFinite(wait) ? wait : constants.retryAfter,
      });
    }
    if (work.kind === "fetch") {
      const bytes = await response.body.bytes();
      if (status >= 500) return emit({ kind: "troubled", reason: `the runner answered ${status}` });
      return emit({
        kind: "bytes",
        status,
        type: String(response.headers["content-type"] ?? "application/octet-stream"),
        bytes,
      });
    }
    if (status !== 200) {
      const text = (await response.body.text()).slice(0, 200);
      return emit({ kind: "troubled", reason: `the runner answered ${status}: ${text}` });
    }
    if (response.headers["chutewick-inquiry"] !== work.request) {
      void client.destroy();
      return emit({ kind: "broken", reason: "the runner answered for another inquiry" });
    }
    if (work.kind === "one-shot") {
      const value = JSON.parse(await response.body.text()) as {
        inquiry?: unknown;
        result?: unknown;
      };
      if (value.inquiry !== work.request || value.result === undefined)
        return emit({
          kind: "broken",
          reason: "the runner answered for another inquiry, or without a result",
        });
      return emit({ kind: "whole", value: value.result });
    }
    emit({ kind: "opened" });
    const parser = new EventStreamParser(this.#eventBudget);
    try {
      await emitStream(response.body, parser, emit);
    } finally {
      parser.discard();
    }
  }
}

/** Emits the events of a runner's stream up to its close. */
async function emitStream(
  body: AsyncIterable<Buffer>,
  parser: EventStreamParser,
  emit: (event: RunnerEvent) => void,
): Promise<void> {
  for await (const chunk of body)
    for (const event of parser.push(chunk)) {
      if (event.data === "") continue;
      const attemptEvent = parseEvent(event);
      emit(attemptEvent);
      if (attemptEvent.kind !== "piece") return;
    }
  emit({ kind: "broken", reason: "the runner's stream ended without its close" });
}

/** The event of an attempt that a server-sent event of a runner stands for. */
function parseEvent(event: ServerSentEvent): RunnerEvent {
  try {
    const data = JSON.parse(event.data) as { pieces?: number; reason?: string };
    if (event.name === "close") return { kind: "closed", pieces: Number(data.pieces) };
    if (event.name === "trouble")
      return { kind: "troubled", reason: String(data.reason ?? "the runner told no reason") };
    if ((event.name ?? "message") === "message" && event.number !== undefined)
      return { kind: "piece", number: event.number, data };
  } catch {
    return { kind: "broken", reason: "the runner's stream holds what is not JSON" };
  }
  return { kind: "broken", reason: "the runner's stream holds an event that is not known" };
}
