/** Steps on requests whose handlers throw. */
import { deepEqual, equal } from "node:assert/strict";
import { After, Given, Then } from "@cucumber/cucumber";
import { Gateway, reply, type Log, type RawRequest } from "@chutewick/shell";
import { Client } from "undici";

interface World {
  failingGateway?: Gateway;
  logged: { readonly path: string }[];
}

type Failure = (request: RawRequest) => unknown;

const failures: Readonly<Record<string, Failure>> = {
  throws: () => {
    throw new Error("planted");
  },
  "throws after its first await": async () => {
    await Promise.resolve();
    throw new Error("planted");
  },
};

async function aServer(this: World, fails: string, badPath: string): Promise<void> {
  this.logged = [];
  const log = { error: (fields: { path: string }) => this.logged.push(fields) } as unknown as Log;
  function handle(request: RawRequest): void {
    if (request.path === badPath) return failures[fails]!(request) as void;
    return reply(request.reply, 200, {});
  }
  this.failingGateway = new Gateway({
    address: "127.0.0.1:0",
    log,
    routes: [],
    whole: "request.arrived",
    owners: [{ name: "failing", events: { "request.arrived": handle } }],
  });
  await this.failingGateway.open();
}
Given(/^a server whose handler (.+) for the path "(.+)"$/, aServer);

async function areAnswered(this: World, bad: string, good: string): Promise<void> {
  const client = new Client(`http://${this.failingGateway!.address}`, { headersTimeout: 2_000 });
  const statuses: number[] = [];
  for (const path of [bad, good]) {
    const { statusCode, body } = await client.request({ method: "GET", path });
    await body.dump();
    statuses.push(statusCode);
  }
  await client.close();
  deepEqual(statuses, [500, 200]);
}
Then("{string} is answered 500, and {string} 200 on the same connection", areAnswered);

function isLogged(this: World): void {
  equal(this.logged.length, 1);
  equal(this.logged[0]!.path, "/bad");
}
Then("the failure is logged with its path", isLogged);

async function closeGateway(this: World): Promise<void> {
  await this.failingGateway?.close();
}
After(closeGateway);
