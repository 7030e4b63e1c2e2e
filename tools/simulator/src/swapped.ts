import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { EventBudget, RunnerConnections, type RunnerEvent } from "@chutewick/data";
import { policy } from "@chutewick/parts";
import type { Violation } from "./checker.js";

/** The product's real links against a runner that answers one request with another's result, over loopback sockets (docs/testing.md §2). */

/** The header in which runners name the request that they answer. */
const REQUEST_HEADER = "chutewick-inquiry";
/** ms without a word after which a link gives up. */
const SILENCE = 2_000;
/** What the first answer names, since no request came before. */
const NO_REQUEST = "nobody";

/** What the links made of the answers, and how many answers were another's. */
export interface SwappedResult {
  readonly violations: Violation[];
  readonly strikes: number;
}

/** Sends so many requests, one after another. */
export async function playSwapped(count: number): Promise<SwappedResult> {
  const runner = new SwappingRunner();
  const url = await runner.listen();
  const violations: Violation[] = [];
  const waiting = new Map<number, () => void>();
  const told = (go: number, event: RunnerEvent): void => {
    if (event.kind === "whole")
      violations.push({
        rule: "someone-elses",
        facts: `inquiry ${go} got ${JSON.stringify(event.value)}`,
      });
    waiting.get(go)?.();
  };
  const budget = new EventBudget(policy.defaults.memory);
  const links = new RunnerConnections(() => undefined, told, budget);
  for (let go = 1; go <= count; go += 1) {
    const request = `inquiry-${go}`;
    await new Promise<void>((resolve) => {
      waiting.set(go, resolve);
      const body = { inquiry: request, prompt: go };
      links.run(go, url, { kind: "one-shot", request, body }, SILENCE);
    });
  }
  await runner.close();
  return { violations, strikes: runner.strikes };
}

/** A runner that answers each request with the result of the one before. */
class SwappingRunner {
  /** Answers that were another's. */
  strikes = 0;
  #before = NO_REQUEST;
  readonly #server = createServer((incoming, outgoing) => void this.#serve(incoming, outgoing));

  /** Listens on a free port of the loopback address; returns its URL. */
  async listen(): Promise<string> {
    await new Promise<void>((resolve) => this.#server.listen(0, "127.0.0.1", resolve));
    return `http://127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  async close(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#server.close(() => resolve());
      this.#server.closeAllConnections();
    });
  }

  async #serve(incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
    const request = String(incoming.headers[REQUEST_HEADER]);
    for await (const _chunk of incoming);
    const named = this.#before;
    this.#before = request;
    if (named !== NO_REQUEST) this.strikes += 1;
    const text = JSON.stringify({ inquiry: named, result: { read: named } });
    outgoing.writeHead(200, {
      "content-type": "application/json",
      [REQUEST_HEADER]: named,
      "content-length": String(text.length),
    });
    outgoing.end(text);
  }
}
