import { connect as connectSocket, type Socket } from "node:net";
import { constants } from "@chutewick/parts";
import { Client, type Dispatcher } from "undici";
import type { GoEvent, Work } from "./access-output.js";

/** Links to runners: one fresh connection per go, never used twice, so no caller can get another's bytes (docs/design.md §6.2). */
export class Links {
  #open = new Map<number, Client>();
  #mayStart: (go: number) => string | undefined;
  #told: (go: number, event: GoEvent) => void;

  constructor(
    mayStart: (go: number) => string | undefined,
    told: (go: number, event: GoEvent) => void,
  ) {
    this.#mayStart = mayStart;
    this.#told = told;
  }

  abandon(go: number): void {
    const line = this.#open.get(go);
    this.#open.delete(go);
    if (line !== undefined) void line.destroy();
  }

  run(go: number, url: string, work: Work, silence: number): void {
    void this.#run(go, url, work, silence);
  }

  async #run(go: number, url: string, work: Work, silence: number): Promise<void> {
    const self = this;
    let sent = false;
    let unsent = "";
    /** The last look before the first byte: connecting may have taken long, and this process may have slept. */
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
        clearTimeout(patience);
        if (error !== null) {
          unsent = error.message;
          socket.destroy();
          callback(error, null);
          return;
        }
        sent = true;
        callback(null, socket);
      }
      function late(): void {
        settle(new Error("the runner cannot be reached in time"));
      }
      function failed(error: Error): void {
        settle(error);
      }
      function connected(): void {
        const reason = self.#mayStart(go);
        settle(
          sent
            ? new Error("a connection is used once")
            : reason === undefined
              ? null
              : new Error(reason),
        );
      }
      const patience = setTimeout(late, constants.connectPatience);
      socket.once("error", failed);
      socket.once("connect", connected);
    }
    const line = new Client(url, {
      connect: connector as never,
      pipelining: 1,
      headersTimeout: silence,
      bodyTimeout: silence,
      maxResponseSize: work.kind === "stream" ? -1 : constants.resultMost,
    });
    this.#open.set(go, line);
    function tell(event: GoEvent): void {
      if (self.#open.get(go) === line) self.#told(go, event);
    }
    try {
      await this.#exchange(line, work, tell);
    } catch (error) {
      const reason = (error as Error).message;
      tell(
        sent
          ? { kind: "broken", reason: `the link to the runner broke: ${reason}` }
          : { kind: "unsent", reason: unsent === "" ? reason : unsent },
      );
    }
    if (this.#open.get(go) === line) this.#open.delete(go);
    void line.destroy();
  }

  async #exchange(line: Client, work: Work, tell: (event: GoEvent) => void): Promise<void> {
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
    const response = await line.request(options);
    const status = response.statusCode;
    if ((status === 429 || status === 503) && response.headers["chutewick-taken"] === "no") {
      await response.body.dump();
      const wait = Number(response.headers["retry-after"]);
      return tell({
        kind: "refused",
        retryAfter: wait > 0 && Number.isFinite(wait) ? wait : constants.retryAfter,
      });
    }
    if (work.kind === "fetch") {
      const bytes = await response.body.bytes();
      if (status >= 500) return tell({ kind: "troubled", reason: `the runner answered ${status}` });
      return tell({
        kind: "bytes",
        status,
        type: String(response.headers["content-type"] ?? "application/octet-stream"),
        bytes,
      });
    }
    if (status !== 200) {
      const text = (await response.body.text()).slice(0, 200);
      return tell({ kind: "troubled", reason: `the runner answered ${status}: ${text}` });
    }
    if (response.headers["chutewick-inquiry"] !== work.request) {
      void line.destroy();
      return tell({ kind: "broken", reason: "the runner answered for another inquiry" });
    }
    if (work.kind === "one-shot") {
      const value = JSON.parse(await response.body.text()) as {
        inquiry?: unknown;
        result?: unknown;
      };
      if (value.inquiry !== work.request || value.result === undefined)
        return tell({
          kind: "broken",
          reason: "the runner answered for another inquiry, or without a result",
        });
      return tell({ kind: "whole", value: value.result });
    }
    tell({ kind: "opened" });
    const reader = new EventReader();
    for await (const chunk of response.body) {
      for (const event of reader.take(chunk as Buffer)) {
        const told = interpret(event);
        tell(told);
        if (told.kind !== "piece") return;
      }
    }
    tell({ kind: "broken", reason: "the runner's stream ended without its close" });
  }
}

interface StreamEvent {
  readonly name: string;
  readonly id: string;
  readonly data: string;
}

function interpret(event: StreamEvent): GoEvent {
  try {
    const data = JSON.parse(event.data) as { pieces?: number; reason?: string };
    if (event.name === "close") return { kind: "closed", pieces: Number(data.pieces) };
    if (event.name === "trouble")
      return { kind: "troubled", reason: String(data.reason ?? "the runner told no reason") };
    if (event.name === "message" && /^\d+$/.test(event.id))
      return { kind: "piece", number: Number(event.id), data };
  } catch {
    return { kind: "broken", reason: "the runner's stream holds what is not JSON" };
  }
  return { kind: "broken", reason: "the runner's stream holds an event that is not known" };
}

/** Server-sent events, as far as the published format for runners uses them (docs/interface.md). */
class EventReader {
  #held = "";
  #decoder = new TextDecoder();

  *take(chunk: Uint8Array): Generator<StreamEvent> {
    this.#held += this.#decoder.decode(chunk, { stream: true });
    for (;;) {
      const end = this.#held.indexOf("\n\n");
      if (end < 0) return;
      const block = this.#held.slice(0, end);
      this.#held = this.#held.slice(end + 2);
      let name = "message";
      let id = "";
      let data = "";
      for (const row of block.split("\n")) {
        if (row.startsWith("event: ")) name = row.slice(7);
        else if (row.startsWith("id: ")) id = row.slice(4);
        else if (row.startsWith("data: ")) data += row.slice(6);
      }
      if (data !== "") yield { name, id, data };
    }
  }
}
