import { equal, ok } from "node:assert/strict";
import { once } from "node:events";
import { connect, createServer, type Server, type Socket } from "node:net";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { LinkProxy } from "../soak/link-proxy.js";
import { runSeed, type SoakResult } from "../soak/run.js";
import { now, pause } from "../soak/time.js";

/** An echo server behind a proxy. */
interface Link {
  readonly proxy: LinkProxy;
  readonly server: Server;
  readonly open: Socket;
  healedAt: number;
  answered: Promise<number>;
}

interface World {
  results: SoakResult[];
  stalledLink?: Link;
}

const serverHost = "127.39.1.1";
const clientHost = "127.39.1.2";
const advertisedPort = 7_660;
const boundPort = 7_670;
/** ms. For all seeds together; a seed ends by itself long before. */
const soakTimeout = 300_000;
const fewestChanges = 5;
const fewestProbes = 20;

async function connected(): Promise<Socket> {
  const socket = connect({ host: serverHost, port: advertisedPort, localAddress: clientHost });
  await once(socket, "connect");
  return socket;
}

async function echoed(socket: Socket): Promise<number> {
  socket.write("hello");
  await once(socket, "data");
  return now();
}

async function echoBehindProxy(this: World): Promise<void> {
  const server = createServer((socket) => socket.pipe(socket));
  server.listen(boundPort, serverHost);
  await once(server, "listening");
  const proxy = new LinkProxy();
  await proxy.open(serverHost, advertisedPort, boundPort);
  const open = await connected();
  await echoed(open);
  this.stalledLink = { proxy, server, open, healedAt: 0, answered: Promise.resolve(0) };
}
Given("an echo server behind a link proxy, and an open connection to it", echoBehindProxy);

async function cutFor(this: World, span: number, sentAfter: number): Promise<void> {
  const { proxy, open } = this.stalledLink!;
  proxy.cut(clientHost, serverHost);
  proxy.cut(serverHost, clientHost);
  await pause(sentAfter);
  this.stalledLink!.answered = echoed(open);
  await pause(span - sentAfter);
  proxy.heal(clientHost, serverHost);
  proxy.heal(serverHost, clientHost);
  this.stalledLink!.healedAt = now();
}
When(
  "the link is cut for {int} ms in both directions, and bytes are sent {int} ms into the cut",
  cutFor,
);

async function newAnswered(this: World, bound: number): Promise<void> {
  const socket = await connected();
  const took = (await echoed(socket)) - this.stalledLink!.healedAt;
  socket.destroy();
  equal(took <= bound, true, `answered after ${took} ms`);
}
Then("a new connection is answered within {int} ms after the cut", newAnswered);

async function heldAnswered(this: World, least: number, most: number): Promise<void> {
  const took = (await this.stalledLink!.answered) - this.stalledLink!.healedAt;
  equal(took >= least && took <= most, true, `answered after ${took} ms`);
}
Then(
  "the bytes are answered no sooner than {int} ms and no later than {int} ms after the cut",
  heldAnswered,
);

function linkEnded(this: World): void {
  this.stalledLink?.open.destroy();
  this.stalledLink?.proxy.close();
  this.stalledLink?.server.close();
}
After(linkEnded);

async function plays(this: World, first: number, second: number, seconds: number): Promise<void> {
  this.results = [];
  for (const seed of [first, second])
    this.results.push(await runSeed({ seed, processes: "small", seconds }));
}

async function playsOne(this: World, seed: number, seconds: number): Promise<void> {
  this.results = [await runSeed({ seed, processes: "small", seconds })];
}
When("the soak plays seed {int} with {int} s of troubles", { timeout: soakTimeout }, playsOne);

function killedStarts(this: World): void {
  for (const { figures } of this.results)
    ok((figures.troubles["disk loss, starts killed"] ?? 0) > 0, JSON.stringify(figures.troubles));
}
Then("machines lost their disks and were killed in their next starts", killedStarts);
When(
  "the soak plays seeds {int} and {int} with {int} s of troubles each",
  { timeout: soakTimeout },
  plays,
);

function lookedAtMuch(this: World): void {
  for (const { figures } of this.results) {
    const { changes, probes, lateRequests } = figures;
    const isEnough = changes >= fewestChanges && probes >= fewestProbes && lateRequests > 0;
    equal(isEnough, true, JSON.stringify(figures));
  }
}
Then(
  "it acknowledged changes, judged probes and saw requests sent after planned stops",
  lookedAtMuch,
);

function nothingBroken(this: World): void {
  const lines: string[] = [];
  for (const { violations, folder } of this.results) {
    for (const { rule, at, facts } of violations) lines.push(`${at} ms ${rule}: ${facts}`);
    if (folder !== undefined) lines.push(`logs: ${folder}`);
  }
  equal(lines.length, 0, lines.join("\n"));
}
Then("no invariant was broken", nothingBroken);
