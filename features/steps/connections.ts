import { ok } from "node:assert/strict";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { Relay } from "@chutewick/fleet";
import { Wire, log, settled } from "@chutewick/shell";

/** ms. */
const SEND_EVERY = 50;

interface Numbered {
  readonly number: number;
}

interface End {
  readonly wire: Wire;
  readonly to: string;
  sent: number;
  received: number;
}

interface World {
  ends: End[];
  relay: Relay | undefined;
  timers: NodeJS.Timeout[];
}

const quiet = log.open("test", "connections", "fatal");
const addresses = ["127.11.0.1:7100", "127.11.0.2:7100"] as const;
const listens = ["127.11.0.1:7101", "127.11.0.2:7101"] as const;

function every(world: World, milliseconds: number, action: () => void): void {
  world.timers.push(setInterval(action, milliseconds));
}

async function openEnd(own: 0 | 1): Promise<End> {
  function receive(message: unknown): void {
    end.received = Math.max(end.received, (message as Numbered).number);
  }
  const wire = new Wire({
    address: addresses[own],
    listen: listens[own],
    log: quiet,
    receive,
  });
  const end: End = { wire, to: addresses[own === 0 ? 1 : 0], sent: 0, received: 0 };
  await wire.open();
  return end;
}

function startSending(world: World, end: End): void {
  function send(): void {
    end.sent += 1;
    end.wire.send(end.to, { number: end.sent });
  }
  every(world, SEND_EVERY, send);
}

async function twoProcesses(this: World): Promise<void> {
  this.timers = [];
  this.relay = new Relay();
  for (const own of [0, 1] as const) await this.relay.open(addresses[own], listens[own]);
  this.ends = [await openEnd(0), await openEnd(1)];
  for (const end of this.ends) startSending(this, end);
  const { ends } = this;
  function bothReceive(): boolean {
    return ends.every(hasReceived);
  }
  await settled(bothReceive);
}
Given(
  "two processes with a link between them, that send each other a message each 50 ms",
  twoProcesses,
);

function hasReceived(end: End): boolean {
  return end.received > 0;
}

async function cutFor(this: World, seconds: number): Promise<void> {
  this.relay!.cut("127.11.0.1", "127.11.0.2");
  await passed(seconds * 1_000);
  this.relay!.mend();
}
When("the link is cut for {float} s", { timeout: 20_000 }, cutFor);

async function passed(milliseconds: number): Promise<void> {
  const end = performance.now() + milliseconds;
  function isOver(): boolean {
    return performance.now() >= end;
  }
  await settled(isOver);
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
  await settled(isOver);
  ok(bothArrived(), `nothing sent after the cut arrived both ways within ${seconds} s`);
}
Then(
  "a message sent after the cut arrives both ways within {float} s",
  { timeout: 10_000 },
  arrivesWithin,
);

function sentOf(end: End): number {
  return end.sent;
}

function closeAll(this: World): void {
  for (const timer of this.timers ?? []) clearInterval(timer);
  for (const { wire } of this.ends ?? []) wire.close();
  this.relay?.close();
}
After(closeAll);
