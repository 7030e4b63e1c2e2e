/** Steps on batched frames and on acknowledgements sent among messages (docs/design.md §10.3). */
import { deepEqual, equal, ok } from "node:assert/strict";
import { connect, createServer, type Server, type Socket } from "node:net";
import { Writable } from "node:stream";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { constants } from "@chutewick/parts";
import { encodeFrame, FrameBatch, FrameReader, log, waitUntil, Wire } from "@chutewick/shell";

const SEND_INTERVAL_MS = 50;
const INCARNATION = "incarnation-of-the-peer";
const CONNECTION = 7;
const WIRE_ADDRESS = "127.12.0.1:7100";
const PEER_ADDRESS = "127.12.0.2:7100";

interface Acknowledged {
  readonly received: number;
  readonly life?: string;
  readonly connection?: number;
}

interface World {
  writes: Buffer[];
  wire: Wire | undefined;
  server: Server | undefined;
  sockets: Socket[];
  timers: NodeJS.Timeout[];
  /** The peer's own connection to the wire. */
  outgoing: Socket;
  /** Frames received on that connection. */
  answers: unknown[];
  /** Frames received on the connection that the wire opened. */
  messages: unknown[];
}

async function sendInTwoTurns(this: World): Promise<void> {
  const writes: Buffer[] = [];
  function write(chunk: Buffer, _encoding: unknown, done: () => void): void {
    writes.push(chunk);
    done();
  }
  const batch = new FrameBatch(new Writable({ write }) as Socket);
  for (let number = 1; number <= 5; number += 1) batch.add(encodeFrame({ number }));
  await new Promise(setImmediate);
  for (let number = 6; number <= 7; number += 1) batch.add(encodeFrame({ number }));
  await new Promise(setImmediate);
  this.writes = writes;
}
When("five messages are sent on one connection in one turn, and two in the next", sendInTwoTurns);

function writtenTwice(this: World): void {
  equal(this.writes.length, 2);
  const reader = new FrameReader();
  const numbers = this.writes.flatMap((chunk) => [...reader.read(chunk)]);
  deepEqual(
    numbers,
    [1, 2, 3, 4, 5, 6, 7].map((number) => ({ number })),
  );
}
Then("the connection was written to two times, with all seven messages in order", writtenTwice);

async function exchanging(this: World, says: string): Promise<void> {
  const world = this;
  Object.assign(world, { sockets: [], timers: [], answers: [], messages: [] });
  const silentLog = log.open("test", "acknowledgements", "fatal");
  const wire = new Wire({
    address: WIRE_ADDRESS,
    listen: WIRE_ADDRESS,
    log: silentLog,
    receive: () => undefined,
  });
  world.wire = wire;
  await wire.open();
  world.server = createServer((socket) => collect(world, socket, world.messages));
  await new Promise<void>((resolve) => world.server!.listen(7_100, "127.12.0.2", resolve));
  const outgoing = connect({ host: "127.12.0.1", port: 7_100, localAddress: "127.12.0.2" });
  world.outgoing = outgoing;
  collect(world, outgoing, world.answers);
  const hello = { product: "chutewick", mark: wire.mark, from: PEER_ADDRESS, life: INCARNATION };
  const flag = says === "says" ? { takesCrossAcknowledgements: true } : {};
  outgoing.write(encodeFrame({ ...hello, connection: CONNECTION, ...flag }));
  const send = (): void => {
    outgoing.write(encodeFrame({ text: "from the peer" }));
    wire.send(PEER_ADDRESS, { text: "from the wire" });
  };
  world.timers.push(setInterval(send, SEND_INTERVAL_MS));
  const tick = (): void => wire.tick(performance.now());
  world.timers.push(setInterval(tick, constants.tickIntervalMs));
}
Given(
  /^a process that exchanges messages both ways with one whose hello (says|does not say) that it reads acknowledgements there$/,
  exchanging,
);

function collect(world: World, socket: Socket, into: unknown[]): void {
  const reader = new FrameReader();
  world.sockets.push(socket);
  socket.on("data", (chunk: Buffer) => into.push(...reader.read(chunk)));
}

async function forSeconds(seconds: number): Promise<void> {
  const end = performance.now() + seconds * 1_000;
  await waitUntil(() => performance.now() >= end);
}
When("they have done so for {int} s", { timeout: 10_000 }, forSeconds);

function acknowledgementsIn(frames: readonly unknown[]): Acknowledged[] {
  return frames.filter((frame) => "received" in (frame as object)) as Acknowledged[];
}

function cameAmongMessages(this: World): void {
  const crossAcknowledgements = acknowledgementsIn(this.messages);
  const maximum = 2_000 / constants.piggybackedAcknowledgementIntervalMs;
  ok(
    crossAcknowledgements.length >= 4 && crossAcknowledgements.length <= maximum,
    `${crossAcknowledgements.length} came among the messages`,
  );
  for (const { life, connection } of crossAcknowledgements)
    deepEqual([life, connection], [INCARNATION, CONNECTION]);
  // The hello is acknowledged on its own connection; one more may be sent there before messages flow both ways.
  ok(acknowledgementsIn(this.answers).length <= 2);
  checkBytes(this, crossAcknowledgements.at(-1)!.received);
}
Then(
  "the acknowledgements came among the messages, with the bytes that it had written",
  cameAmongMessages,
);

function cameOnItsOwn(this: World): void {
  const direct = acknowledgementsIn(this.answers);
  deepEqual(acknowledgementsIn(this.messages), []);
  ok(direct.length >= 3, `${direct.length} came on its own connection`);
  checkBytes(this, direct.at(-1)!.received);
}
Then(
  "the acknowledgements came on its own connection, with the bytes that it had written",
  cameOnItsOwn,
);

function checkBytes({ outgoing }: World, received: number): void {
  const { bytesWritten } = outgoing;
  ok(received > bytesWritten / 2 && received <= bytesWritten, `${received} of ${bytesWritten}`);
}

After(function ended(this: World): void {
  for (const timer of this.timers ?? []) clearInterval(timer);
  if (this.outgoing === undefined) return;
  for (const socket of this.sockets) socket.destroy();
  this.server?.close();
  this.wire?.close();
});
