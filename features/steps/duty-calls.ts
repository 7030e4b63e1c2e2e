/** Steps of duty-calls.feature: the platform's duty client against a fake platform API. */
import { deepEqual, equal, ok } from "node:assert/strict";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { After, Given, Then, When, type DataTable } from "@cucumber/cucumber";
import type { ActBody, DutyCall, DutyKind, DutyOutcome } from "@chutewick/control";
import { PlatformDuties, platformSettings } from "@chutewick/platform";
import { monotonicNow } from "@chutewick/shell";
import { listening } from "./calls-runner.js";

/** A request as received by the fake platform. */
interface ReadCall {
  readonly path: string;
  readonly holder: string;
  readonly fence: string;
  readonly body: string;
}

/** The duty client and a fake of the platform's API. */
interface World {
  behaviour: string;
  dutyServer: Server | undefined;
  dutyClient: PlatformDuties;
  platformConnections: Socket[];
  resets: number;
  read: ReadCall[];
  outcomes: DutyOutcome[];
}

/** Short timeout of a call, to keep the test fast. */
const TIMEOUT_MS = 100;
const report = { window: 353_445_120, counts: { huka: 412, puhu: 3 } };
const order = { pool: "reader", zone: "hobart-a", desired: 6 };

async function aPlatform(this: World, behaviour: string): Promise<void> {
  const self = this;
  this.behaviour = behaviour;
  this.platformConnections = [];
  this.resets = 0;
  this.read = [];
  this.outcomes = [];
  function onRequest(incoming: IncomingMessage, response: ServerResponse): void {
    void handleRequest(self, incoming, response);
  }
  const server = createServer(onRequest);
  this.dutyServer = server;
  server.on("connection", (socket) => connected(self, socket));
  const address = `127.0.0.1:${await listening(server)}`;
  if (behaviour === "is not there") await closed(server);
  this.dutyClient = new PlatformDuties({
    address,
    nodeName: "Control-A",
    localAddress: "127.0.0.1",
  });
}
Given(/^a platform that (.+)$/, aPlatform);

function connected(world: World, socket: Socket): void {
  world.platformConnections.push(socket);
  socket.on("error", (error: NodeJS.ErrnoException) => {
    if (error.code === "ECONNRESET") world.resets += 1;
  });
}

async function handleRequest(
  world: World,
  incoming: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const body = Buffer.concat((await incoming.toArray()) as Buffer[]).toString();
  const { headers, url } = incoming;
  world.read.push({
    path: url!,
    holder: String(headers["chutewick-duty-holder"]),
    fence: String(headers["chutewick-fence-number"]),
    body,
  });
  answer(world.behaviour, incoming, response);
}

function answer(behaviour: string, incoming: IncomingMessage, response: ServerResponse): void {
  switch (behaviour) {
    case "answers nothing":
      return;
    case "resets the connection":
      incoming.socket.resetAndDestroy();
      return;
    case "answers 200 and disconnects":
      response.writeHead(200, { "content-length": 1_000 });
      response.write("some", () => incoming.socket.destroy());
      return;
    default:
      response.writeHead(Number(behaviour.replace("answers ", "")));
      response.end("{}");
  }
}

async function makeCall(
  world: World,
  { duty, body, fence, sendBy }: { duty: DutyKind; body: ActBody; fence: number; sendBy: number },
): Promise<void> {
  const act = { duty, subject: "all", number: 1 };
  const call: DutyCall = { act, body, holder: "control-a", fence, sendBy, patience: TIMEOUT_MS };
  world.outcomes.push(await world.dutyClient.call(call));
}

async function aReport(this: World, fence: number): Promise<void> {
  await makeCall(this, { duty: "usage", body: report, fence, sendBy: monotonicNow() + 1_000 });
}
When("a usage report with fence {int} is made", aReport);

async function anOrder(this: World, _desired: number, fence: number): Promise<void> {
  await makeCall(this, { duty: "scaling", body: order, fence, sendBy: monotonicNow() + 1_000 });
}
When("an order of {int} runners with fence {int} is made", anOrder);

async function anExpiredReport(this: World): Promise<void> {
  await makeCall(this, { duty: "usage", body: report, fence: 1, sendBy: monotonicNow() - 1 });
}
When("a usage report whose round has expired is made", anExpiredReport);

function changes(this: World, behaviour: string): void {
  this.behaviour = behaviour;
}
When(/^the platform (answers \d+) from now on$/, changes);

function outcomesAre(this: World, text: string): void {
  equal(this.outcomes.join(", "), text);
}
Then("the outcomes are {string}", outcomesAre);

function receivedCalls(this: World, connections: number, table: DataTable): void {
  deepEqual(this.read, table.hashes());
  equal(this.platformConnections.length, connections);
}
Then("the platform read these on {int} connection(s):", receivedCalls);

function receivedNothing(this: World): void {
  deepEqual(this.read, []);
}
Then("the platform read nothing", receivedNothing);

function firstWasReset(this: World, opened: number): void {
  equal(this.platformConnections.length, opened);
  ok(this.platformConnections[0]!.destroyed);
  equal(this.resets, 1);
}
Then("the first connection was reset and {int} were opened", firstWasReset);

function settingsAre(table: DataTable): void {
  for (const { duties, window, kinds } of table.hashes())
    equal(kindsOf(duties!, window!), kinds, `duties ${duties}, window ${window}`);
}
Then("the platform's settings select these duties:", settingsAre);

/** Returns the kinds of duties that a settings file selects. */
function kindsOf(duties: string, window: string): string {
  const folder = mkdtempSync(join(tmpdir(), "duties-"));
  const path = join(folder, "settings.json");
  const named = duties === "" ? [] : duties.split(",");
  const platformApi = { address: "10.200.0.151:8141", dutyPerS: 50, duties: named };
  const settings = {
    nodeName: "control-a",
    role: "core",
    ip: "127.0.0.1",
    zone: "north",
    internalPorts: [7_000, 7_010],
    seedNodes: ["127.0.0.1:7000"],
    limits: {},
    bounds: window === "" ? {} : { reportWindowS: Number(window) },
    ...(duties === "no interface" ? {} : { platformApi }),
  };
  writeFileSync(path, JSON.stringify(settings));
  const previous = process.env["CHUTEWICK_CONFIG"];
  process.env["CHUTEWICK_CONFIG"] = path;
  try {
    return platformSettings.read().own.duties?.kinds.join(",") ?? "none";
  } finally {
    if (previous === undefined) delete process.env["CHUTEWICK_CONFIG"];
    else process.env["CHUTEWICK_CONFIG"] = previous;
    rmSync(folder, { recursive: true });
  }
}

function closed(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
}

async function cleanUp(this: World): Promise<void> {
  this.dutyClient?.close();
  if (this.dutyServer?.listening === true) await closed(this.dutyServer);
}
After({ tags: "@sockets" }, cleanUp);
