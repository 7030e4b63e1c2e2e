/** Steps on HTTP servers that close their connections in order, with real sockets. */
import { deepEqual, equal } from "node:assert/strict";
import { once } from "node:events";
import type { ServerResponse } from "node:http";
import { connect, type Socket } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import { After, Given, Then, When } from "@cucumber/cucumber";
import { Gateway, invariants, log, waitUntil, type RawRequest } from "@chutewick/shell";

interface World {
  server: AnsweringServer;
  connections: RecordedConnection[];
  closing: Promise<void>;
  /** Connections on which nothing is sent. */
  others: Socket[];
}

const ADDRESS = { host: "127.9.7.1", port: 8_100 };

/** Responds to each request with its path, some time after its arrival. */
class AnsweringServer {
  readonly passedOn: string[] = [];
  readonly gateway: Gateway;
  readonly #answers = new Set<NodeJS.Timeout>();
  #closing: Promise<void> | undefined;

  constructor(delayMs: number) {
    const arrived = ({ path, reply }: RawRequest): void => {
      this.passedOn.push(path);
      this.#answers.add(setTimeout(() => answer(reply, path), delayMs));
    };
    this.gateway = new Gateway({
      address: `${ADDRESS.host}:${ADDRESS.port}`,
      log: log.open("test", "test", "fatal"),
      routes: [],
      whole: "request.arrived",
      owners: [{ name: "answers", events: { "request.arrived": arrived } }],
    });
  }

  /** Closes the server; a step may already have started that, so every caller waits for the same close. */
  close(): Promise<void> {
    for (const timer of this.#answers) clearTimeout(timer);
    this.#closing ??= this.gateway.close();
    return this.#closing;
  }
}

const MEBIBYTE = 1_048_576;
const LARGE = "/large-answer";

function answer(reply: ServerResponse, path: string): void {
  const body = path === LARGE ? Buffer.alloc(64 * MEBIBYTE) : path;
  reply.writeHead(200, { "content-length": String(body.length) }).end(body);
}

/** A connection that records everything the server sends on it. */
class RecordedConnection {
  readonly socket: Socket;
  text = "";

  private constructor(socket: Socket) {
    this.socket = socket;
    const read = (bytes: Buffer): void => {
      this.text += bytes.toString("latin1");
    };
    socket.on("data", read);
    socket.on("error", ignored);
  }

  static async open(): Promise<RecordedConnection> {
    const socket = connect(ADDRESS);
    await once(socket, "connect");
    return new RecordedConnection(socket);
  }

  async ended(): Promise<void> {
    if (!this.socket.closed) await once(this.socket, "close");
  }

  get statuses(): number[] {
    return [...this.text.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => Number(status));
  }
}

function ignored(): void {
  // The steps wait for the end of the connection, with or without an error.
}

async function aServer(this: World, delayMs: number): Promise<void> {
  this.server = new AnsweringServer(delayMs);
  await this.server.gateway.open();
  this.connections = [await RecordedConnection.open()];
}
Given("an HTTP server whose answers take {int} ms, and a connection", aServer);

const HEAD = "HTTP/1.1\r\nHost: shop.example\r\n";

async function twoAtOnce(this: World, after: number): Promise<void> {
  const [{ socket }] = this.connections as [RecordedConnection];
  socket.write(`GET /first ${HEAD}\r\nGET /second ${HEAD}\r\n`);
  await pause(after);
  this.server.gateway.beginStop();
}
When(
  "two requests come at once on it, and the server begins to end its connections {int} ms later",
  twoAtOnce,
);

async function bothAnswered(this: World): Promise<void> {
  const [connection] = this.connections as [RecordedConnection];
  await connection.ended();
  deepEqual(connection.statuses, [200, 200]);
  const { text } = connection;
  const bodies = [text.indexOf("/first"), text.indexOf("/second")];
  equal(bodies[0]! > 0 && bodies[0]! < bodies[1]!, true, text);
  equal(text.toLowerCase().match(/connection: close/g)?.length, 1, text);
}
Then("both are answered in order, and the second ends the connection", bothAnswered);

/** Time in ms within which bytes sent on loopback are read. */
const READ_WITHIN_MS = 100;

async function closeWhileReading(this: World): Promise<void> {
  invariants.reset();
  const [whole] = this.connections as [RecordedConnection];
  const half = await RecordedConnection.open();
  this.connections.push(half);
  whole.socket.write(`GET /whole ${HEAD}\r\n`);
  half.socket.write(`POST /half ${HEAD}Content-Length: 2\r\n\r\n{`);
  await pause(READ_WITHIN_MS);
  const closed = this.server.close();
  half.socket.write("}");
  await closed;
}
When(
  "a request comes on it, and half of one on another, and the server is closed",
  closeWhileReading,
);

async function answeredAtStop(this: World, whole: number, half: number): Promise<void> {
  for (const connection of this.connections) await connection.ended();
  deepEqual(
    this.connections.map(({ statuses }) => statuses),
    [[whole], [half]],
  );
  deepEqual(invariants.counts(), {});
}
Then(
  "the whole one is answered {int}, the half one {int}, and no request is counted as dropped",
  answeredAtStop,
);

function isNotPassedOn(this: World): void {
  deepEqual(this.server.passedOn, ["/whole"]);
}
Then("the second half of the other is not passed on", isNotPassedOn);

async function unreadAnswer(this: World): Promise<void> {
  invariants.reset();
  const [{ socket }] = this.connections as [RecordedConnection];
  socket.pause();
  socket.write(`GET ${LARGE} ${HEAD}\r\n`);
  await pause(READ_WITHIN_MS);
  await this.server.close();
}
When("its answer of 64 MiB is not read, and the server is closed", unreadAnswer);

function countedDropped(this: World, count: number): void {
  deepEqual(invariants.counts(), { requestsDroppedAtStop: count });
  invariants.reset();
}
Then("{int} request is counted as dropped", countedDropped);

async function closeWhileOthersConnect(this: World): Promise<void> {
  const sockets: Socket[] = [];
  function connectOther(): void {
    const socket = connect(ADDRESS);
    socket.on("error", ignored);
    sockets.push(socket);
  }
  const connectTimer = setInterval(connectOther, 10);
  await pause(READ_WITHIN_MS);
  this.closing = this.server.close();
  await pause(READ_WITHIN_MS * 3);
  clearInterval(connectTimer);
  this.others = sockets;
}
When(
  "others connect each 10 ms and send nothing, and the server is closed",
  closeWhileOthersConnect,
);

async function closesWithin(this: World, seconds: number): Promise<void> {
  const isClosed = this.closing.then(() => true);
  const isLate = pause(seconds * 1_000).then(() => false);
  const hasClosed = await Promise.race([isClosed, isLate]);
  for (const socket of this.others) socket.destroy();
  equal(hasClosed, true);
}
Then("it has closed within {int} s", closesWithin);

async function twoAndDisconnect(this: World): Promise<void> {
  const [{ socket }] = this.connections as [RecordedConnection];
  socket.write(`GET /first ${HEAD}\r\nGET /second ${HEAD}\r\n`);
  await pause(READ_WITHIN_MS);
  equal(this.server.gateway.unfinishedResponses, 2);
  socket.destroy();
}
When("two requests come at once on it, and the caller leaves", twoAndDisconnect);

async function noneInProgress(this: World, seconds: number): Promise<void> {
  const until = performance.now() + seconds * 1_000;
  const isOver = (): boolean =>
    this.server.gateway.unfinishedResponses === 0 || performance.now() >= until;
  await waitUntil(isOver);
  equal(this.server.gateway.unfinishedResponses, 0);
}
Then("the server has no request in progress within {int} s", noneInProgress);

async function ended(this: World): Promise<void> {
  for (const { socket } of this.connections ?? []) socket.destroy();
  await this.server?.close();
}
After(ended);
