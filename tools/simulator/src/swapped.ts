import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { Links, type GoEvent } from "@chutewick/data";
import type { Violation } from "./checker.js";

/** The product's real links against a runner that answers one request with another's result, over loopback sockets (docs/testing.md §2). */
export async function playSwapped(
  count: number,
): Promise<{ violations: Violation[]; strikes: number }> {
  const violations: Violation[] = [];
  let strikes = 0;
  let before = "nobody";
  async function serve(incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
    const request = String(incoming.headers["chutewick-inquiry"]);
    for await (const _chunk of incoming);
    const named = before;
    before = request;
    if (named !== "nobody") strikes += 1;
    const text = JSON.stringify({ inquiry: named, result: { read: named } });
    outgoing.writeHead(200, {
      "content-type": "application/json",
      "chutewick-inquiry": named,
      "content-length": String(text.length),
    });
    outgoing.end(text);
  }
  function served(incoming: IncomingMessage, outgoing: ServerResponse): void {
    void serve(incoming, outgoing);
  }
  const server = createServer(served);
  function listening(resolve: () => void): void {
    server.listen(0, "127.0.0.1", resolve);
  }
  await new Promise<void>(listening);
  const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  const waiting = new Map<number, () => void>();
  function told(go: number, event: GoEvent): void {
    if (event.kind === "whole")
      violations.push({
        rule: "someone-elses",
        facts: `inquiry ${go} got ${JSON.stringify(event.value)}`,
      });
    waiting.get(go)?.();
  }
  function mayStart(): undefined {
    return undefined;
  }
  const links = new Links(mayStart, told);
  for (let go = 1; go <= count; go += 1) {
    function begin(resolve: () => void): void {
      waiting.set(go, resolve);
      links.run(
        go,
        url,
        {
          kind: "one-shot",
          request: `inquiry-${go}`,
          body: { inquiry: `inquiry-${go}`, prompt: go },
        },
        2_000,
      );
    }
    await new Promise<void>(begin);
  }
  function closed(resolve: () => void): void {
    function done(): void {
      resolve();
    }
    server.close(done);
    server.closeAllConnections();
  }
  await new Promise<void>(closed);
  return { violations, strikes };
}
