/** Steps on connections between processes over a link that is cut. */
import { deepEqual, equal, ok } from "node:assert/strict";
import { createServer, type Server, type Socket } from "node:net";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { Relay } from "@chutewick/fleet";
import { constants } from "@chutewick/parts";
import { ConnectionProgress, Wire, invariants, log, waitUntil } from "@chutewick/shell";
import { Packr } from "msgpackr";

const SEND_INTERVAL_MS = 50;

interface Numbered {
  readonly number: number;
}

interface Endpoint {
  readonly wire: Wire;
  readonly to: string;
  sent: number;
  received: number;
  /** Messages that arrived after one that was sent later. */
  outOfOrder: number;
}

interface World {
  ends: Endpoint[];
  relay: Relay | undefined;
  timers: NodeJS.Timeout[];
  progress: ConnectionProgress;
  /** Bytes written so far. */
  written: number;
  oldRelease: OldRelease | undefined;
}

/** A listening process of a release without acknowledgements. */
interface OldRelease {
  readonly server: Server;
  readonly sockets: Socket[];
  readonly messages: unknown[];
}

const silentLog = log.open("test", "connections", "fatal");
const addresses = ["127.11.0.1:7100", "127.11.0.2:7100"] as const;
const listens = ["127.11.0.1:7101", "127.11.0.2:7101"] as const;

function every(world: World, milliseconds: number, action: () => void): void {
  world.timers.push(setInterval(action, milliseconds));
}

async function openEndpoint(own: 0 | 1): Promise<Endpoint> {
  function receive(message: unknown): void {
    const { number } = message as Numbered;
    if (number < end.received && number > 0) end.outOfOrder += 1;
    end.received = Math.max(end.received, number);
  }
  const wire = new Wire({
    address: addresses[own],
    listen: listens[own],
    log: silentLog,
    receive,
  });
  const end: Endpoint = {
    wire,
    to: addresses[own === 0 ? 1 : 0],
    sent: 0,
    received: 0,
    outOfOrder: 0,
  };
  await wire.open();
  return end;
}

function startSending(world: World, end: Endpoint): void {
  function send(): void {
    end.sent += 1;
    end.wire.send(end.to, { number: end.sent });
  }
  function tick(): void {
    end.wire.tick(performance.now());
  }
  every(world, SEND_INTERVAL_MS, send);
  every(world, constants.tickIntervalMs, tick);
}

async function twoProcesses(this: World): Promise<void> {
  invariants.reset();
  this.timers = [];
  this.relay = new Relay();
  for (const own of [0, 1] as const) await this.relay.open(addresses[own], listens[own]);
  this.ends = [await openEndpoint(0), await openEndpoint(1)];
  for (const end of this.ends) startSending(this, end);
  const { ends } = this;
  function bothReceive(): boolean {
    return ends.every(hasReceived);
  }
  await waitUntil(bothReceive);
}
Given(
  "two processes with a link between them, that send each other a message each 50 ms",
  twoProcesses,
);

function hasReceived(end: Endpoint): boolean {
  return end.received > 0;
}

async function cutFor(this: World, seconds: number): Promise<void> {
  this.relay!.cut("127.11.0.1", "127.11.0.2");
  await waitFor(seconds * 1_000);
  this.relay!.mend();
}
When("the link is cut for {float} s", { timeout: 20_000 }, cutFor);

async function waitFor(milliseconds: number): Promise<void> {
  const end = performance.now() + milliseconds;
  function isOver(): boolean {
    return performance.now() >= end;
  }
  await waitUntil(isOver);
}

async function arrivesWithin(this: World, seconds: number): Promise<void> {
  const { ends } = this;
  const sentBefore = ends.map(sentOf);
  const begin = performance.now();
  function bothArrived(): boolean {
    return ends[0]!.received > sentBefore[1]! + 1 && ends[1]!.received > sentBefore[0]! + 1;
  }
  function isOver(): boolean {
    return bothArrived() || performance.now() - begin > seconds * 1_000;
  }
  await waitUntil(isOver);
  ok(bothArrived(), `nothing sent after the cut arrived both ways within ${seconds} s`);
}
Then(
  "a message sent after the cut arrives both ways within {float} s",
  { timeout: 10_000 },
  arrivesWithin,
);

function sentOf(end: Endpoint): number {
  return end.sent;
}

function noneStalled(this: World): void {
  deepEqual(invariants.counts(), {});
  for (const { outOfOrder } of this.ends) equal(outOfOrder, 0);
}
Then("no connection stalled longer than it may, and no message came out of order", noneStalled);

function acknowledged(this: World, bytes: number): void {
  this.progress = new ConnectionProgress(false);
  this.written = bytes;
  this.progress.acknowledged(bytes);
}
Given("a connection of which all {int} bytes are acknowledged", acknowledged);

function written(this: World, bytes: number): void {
  this.written += bytes;
}
When("{int} bytes more are written", written);

/** Lets the time pass for a connection of a running process, in steps of one tick. */
function elapse({ progress, written: bytes }: World, milliseconds: number): void {
  for (let at = 0; at < milliseconds; at += constants.tickIntervalMs)
    progress.elapse(constants.tickIntervalMs, bytes);
}

function slowLink(this: World, seconds: number): void {
  let received = 100;
  for (let second = 1; second <= seconds; second += 1) {
    elapse(this, 1_000);
    this.progress.acknowledged((received += 1));
    equal(this.progress.hasStalled, false);
  }
}
When("one byte of them is acknowledged each second for {int} s", slowLink);

function hasNotExpired(this: World, seconds: number): void {
  elapse(this, seconds * 1_000);
  equal(this.progress.hasStalled, false);
}
Then("it has not expired {float} s later", hasNotExpired);

function hasExpired(this: World, seconds: number): void {
  elapse(this, seconds * 1_000);
  equal(this.progress.hasStalled, true);
}
Then("it has expired {float} s after that", hasExpired);

async function isPaused(this: World, seconds: number): Promise<void> {
  const [end] = this.ends as [Endpoint, Endpoint];
  let now = performance.now();
  const before = end.wire.connections.stalled;
  // As after a pause of the process: the clock has advanced, and nothing was read meanwhile.
  for (let tick = 0; tick < 5; tick += 1) end.wire.tick((now += seconds * 1_000));
  await waitFor(SEND_INTERVAL_MS);
  equal(end.wire.connections.stalled, before);
}
Then(
  "a process whose clock jumps by {int} s five times keeps its connections",
  { timeout: 10_000 },
  isPaused,
);

function sendMuch(this: World, mebibytes: number): void {
  const [end] = this.ends as [Endpoint, Endpoint];
  const message = { number: 0, filling: Buffer.alloc(1_048_576) };
  this.relay!.cut("127.11.0.1", "127.11.0.2");
  for (let count = 0; count < mebibytes; count += 1) end.wire.send(end.to, message);
}
When("the link is cut, and the first sends {int} MiB at once", sendMuch);

async function endsAfter(this: World, seconds: number): Promise<void> {
  await waitFor(seconds * 1_000);
  this.relay!.mend();
}
When("the cut ends after {float} s", { timeout: 20_000 }, endsAfter);

async function anOldRelease(this: World): Promise<void> {
  const packer = new Packr({ useRecords: false });
  const release: OldRelease = { server: createServer(accepted), sockets: [], messages: [] };
  function accepted(socket: Socket): void {
    release.sockets.push(socket);
    let buffered = Buffer.alloc(0);
    function receive(chunk: Buffer): void {
      buffered = Buffer.concat([buffered, chunk]);
      while (buffered.length >= 4 && buffered.length >= buffered.readUInt32BE(0) + 4) {
        const length = buffered.readUInt32BE(0);
        release.messages.push(packer.unpack(buffered.subarray(4, length + 4)));
        buffered = buffered.subarray(length + 4);
      }
    }
    socket.on("data", receive);
    socket.on("error", ignored);
  }
  function listening(resolve: () => void): void {
    release.server.listen(7_101, "127.11.0.2", resolve);
  }
  await new Promise<void>(listening);
  this.oldRelease = release;
  this.timers = [];
  this.relay = undefined;
}
Given("a process that sends nothing on connections that it accepts", anOldRelease);

function ignored(): void {
  // The steps count messages and connections, so errors need no handling.
}

async function sendsFor(this: World, seconds: number): Promise<void> {
  const end = await openEndpoint(0);
  this.ends = [{ ...end, to: listens[1] }];
  startSending(this, this.ends[0]!);
  await waitFor(seconds * 1_000);
}
When("another process sends it messages for {int} s", { timeout: 10_000 }, sendsFor);

function onlyMessages(this: World): void {
  const { sockets, messages } = this.oldRelease!;
  equal(sockets.length, 1);
  const [hello, ...rest] = messages as Record<string, unknown>[];
  equal(hello!["product"], "chutewick");
  ok(rest.length > 30, `${rest.length} messages came`);
  for (const message of rest) equal(typeof message["number"], "number");
}
Then("all of them came on one connection, with nothing but messages on it", onlyMessages);

function closeEverything(this: World): void {
  for (const timer of this.timers ?? []) clearInterval(timer);
  for (const { wire } of this.ends ?? []) wire.close();
  this.relay?.close();
  this.oldRelease?.server.close();
  for (const socket of this.oldRelease?.sockets ?? []) socket.destroy();
}
After(closeEverything);
