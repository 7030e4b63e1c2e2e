import { deepEqual, equal, ok } from "node:assert/strict";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { After, Given, Then, When, type DataTable } from "@cucumber/cucumber";
import type { ActBody, DutyCall, DutyKind, DutyOutcome } from "@chutewick/control";
import { PlatformDuties, platformSettings } from "@chutewick/platform";
import { monotonic } from "@chutewick/shell";
import { listening } from "./calls-runner.js";

/** A request as the stand-in read it. */
interface ReadCall {
  readonly path: string;
  readonly holder: string;
  readonly fence: string;
  readonly body: string;
}

/** The adapter's client and a stand-in of the platform's interface. */
interface World {
  behaviour: string;
  dutyServer: Server | undefined;
  dutyClient: PlatformDuties;
  platformConnections: Socket[];
  resets: number;
  read: ReadCall[];
  outcomes: DutyOutcome[];
}

/** ms. A short patience, so that the test waits little. */
const patience = 100;
const report = { window: 353_445_120, counts: { huka: 412, puhu: 3 } };
const order = { pool: "reader", zone: "hobart-a", desired: 6 };

async function aPlatform(this: World, behaviour: string): Promise<void> {
  const self = this;
  this.behaviour = behaviour;
  this.platformConnections = [];
  this.resets = 0;
  this.read = [];
  this.outcomes = [];
  function requested(incoming: IncomingMessage, response: ServerResponse): void {
    void take(self, incoming, response);
  }
  const server = createServer(requested);
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

async function take(
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
    case "answers 200 and breaks off":
      response.writeHead(200, { "content-length": 1_000 });
      response.write("some", () => incoming.socket.destroy());
      return;
    default:
      response.writeHead(Number(behaviour.replace("answers ", "")));
      response.end("{}");
  }
}

async function isMade(
  world: World,
  { duty, body, fence, sendBy }: { duty: DutyKind; body: ActBody; fence: number; sendBy: number },
): Promise<void> {
  const act = { duty, subject: "all", number: 1 };
  const call: DutyCall = { act, body, holder: "control-a", fence, sendBy, patience };
  world.outcomes.push(await world.dutyClient.call(call));
}

async function aReport(this: World, fence: number): Promise<void> {
  await isMade(this, { duty: "usage", body: report, fence, sendBy: monotonic() + 1_000 });
}
When("a usage report with fence {int} is made", aReport);

async function anOrder(this: World, _desired: number, fence: number): Promise<void> {
  await isMade(this, { duty: "scaling", body: order, fence, sendBy: monotonic() + 1_000 });
}
When("an order of {int} runners with fence {int} is made", anOrder);

async function anOldReport(this: World): Promise<void> {
  await isMade(this, { duty: "usage", body: report, fence: 1, sendBy: monotonic() - 1 });
}
When("a usage report whose round is over is made", anOldReport);

function changes(this: World, behaviour: string): void {
  this.behaviour = behaviour;
}
When(/^the platform (answers \d+) from now on$/, changes);

function outcomesAre(this: World, text: string): void {
  equal(this.outcomes.join(", "), text);
}
Then("the outcomes are {string}", outcomesAre);

function readThese(this: World, connections: number, table: DataTable): void {
  deepEqual(this.read, table.hashes());
  equal(this.platformConnections.length, connections);
}
Then("the platform read these on {int} connection(s):", readThese);

function readNothing(this: World): void {
  deepEqual(this.read, []);
}
Then("the platform read nothing", readNothing);

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
Then("the platform's settings are understood:", settingsAre);

/** The kinds of duties that a settings file leads to. */
function kindsOf(duties: string, window: string): string {
  const folder = mkdtempSync(join(tmpdir(), "duties-"));
  const path = join(folder, "settings.json");
  const named = duties === "" ? [] : duties.split(",");
  const platformApi = { address: "10.200.0.151:8141", dutyPerS: 50, duties: named };
  const told = {
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
  writeFileSync(path, JSON.stringify(told));
  const before = process.env["CHUTEWICK_CONFIG"];
  process.env["CHUTEWICK_CONFIG"] = path;
  try {
    return platformSettings.read().own.duties?.kinds.join(",") ?? "none";
  } finally {
    if (before === undefined) delete process.env["CHUTEWICK_CONFIG"];
    else process.env["CHUTEWICK_CONFIG"] = before;
    rmSync(folder, { recursive: true });
  }
}

function closed(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
}

async function isOver(this: World): Promise<void> {
  this.dutyClient?.close();
  if (this.dutyServer?.listening === true) await closed(this.dutyServer);
}
After({ tags: "@sockets" }, isOver);
