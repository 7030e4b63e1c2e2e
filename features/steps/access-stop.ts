/** Callers of an access machine that stops as planned, with raw connections that stay open. */
import { deepEqual, equal, ok } from "node:assert/strict";
import type { ChildProcess } from "node:child_process";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { After, Then, When, type DataTable } from "@cucumber/cucumber";

/** One request and what came of it; all moments in ms after the stop began. */
interface Sent {
  readonly id: string;
  readonly takes: number;
  readonly isWhole: boolean;
  readonly sentAt: number;
  readonly connection: CallerConnection;
  answer: Answer | undefined;
  closedAt: number | undefined;
}

interface Answer {
  readonly status: number;
  readonly headers: ReadonlyMap<string, string>;
}

interface StopWorld {
  readonly system: {
    readonly machines: readonly { name: string; child: ChildProcess; ended?: number | null }[];
    readonly runners: readonly { ran: readonly string[] }[];
  };
  stop: StoppingMachine;
}

/** ms. A connection may be closed before a request is passed on, if it is closed this soon (`lossSlackMs`). */
const LOSS_SLACK = 200;
/** ms. Work that was sent until then and still runs in the last sixth of the grace may be given up. */
const SENT_EARLY = 3_000;
const LAST_SIXTH = 5 / 6;
const ADDRESS = { host: "127.9.3.2", port: 8_144 };
const MACHINE = "access-a-2";

/** A connection that stays open between requests; it reads whole answers with a length. */
class CallerConnection {
  readonly #socket: Socket;
  #unread = "";
  #wanted: ((answer: Answer | undefined) => void) | undefined;

  constructor(socket: Socket) {
    this.#socket = socket;
    const read = (bytes: Buffer): void => {
      this.#unread += bytes.toString("latin1");
      this.#deliver();
    };
    const closed = (): void => this.#wanted?.(undefined);
    socket.on("data", read);
    socket.once("close", closed);
    socket.on("error", ignored);
  }

  static async open(): Promise<CallerConnection> {
    const socket = connect(ADDRESS);
    await once(socket, "connect");
    return new CallerConnection(socket);
  }

  get isOpen(): boolean {
    return !this.#socket.destroyed && this.#socket.writable;
  }

  /** @returns the whole answer, or nothing where the connection ended before */
  send(text: string): Promise<Answer | undefined> {
    const wait = (resolve: (answer: Answer | undefined) => void): void => {
      this.#wanted = resolve;
      this.#socket.write(text);
    };
    return new Promise(wait);
  }

  end(): void {
    this.#socket.destroy();
  }

  #deliver(): void {
    const end = this.#unread.indexOf("\r\n\r\n");
    if (end < 0) return;
    const [first, ...lines] = this.#unread.slice(0, end).split("\r\n");
    const headers = new Map<string, string>();
    for (const line of lines) {
      const cut = line.indexOf(":");
      headers.set(line.slice(0, cut).toLowerCase(), line.slice(cut + 1).trim());
    }
    const isChunked = headers.has("transfer-encoding");
    const body = this.#unread.slice(end + 4);
    const isWhole = isChunked
      ? body.endsWith("0\r\n\r\n")
      : body.length >= Number(headers.get("content-length"));
    if (!isWhole) return;
    this.#unread = "";
    this.#wanted?.({ status: Number(first!.split(" ")[1]), headers });
  }
}

/** The machine from its SIGTERM on, and all requests that are sent to it. */
class StoppingMachine {
  readonly sent: Sent[] = [];
  readonly #underWay: Promise<void>[] = [];
  readonly #connections: CallerConnection[] = [];
  readonly #child: ChildProcess;
  #begunAt = 0;
  endedAt: number | undefined;
  wasKilled = false;

  constructor(child: ChildProcess) {
    this.#child = child;
  }

  get now(): number {
    return performance.now() - this.#begunAt;
  }

  /** Connections are opened and used once before the stop begins. */
  async begin(count: number): Promise<void> {
    for (let index = 0; index < count; index += 1) {
      const connection = await CallerConnection.open();
      const answer = await connection.send(requestOf("GET", "/labels/1", nextId(), ""));
      equal(answer?.status, 200, "a connection is used before the stop");
      this.#connections.push(connection);
    }
    const ended = (): void => {
      this.endedAt = this.now;
    };
    this.#child.once("exit", ended);
    this.#begunAt = performance.now();
    this.#child.kill("SIGTERM");
  }

  sendAt(moment: number, takes: number, isWhole = true): void {
    this.#underWay.push(this.#send(this.#connections.pop()!, moment, takes, isWhole));
  }

  async killAt(moment: number): Promise<void> {
    await pauseUntil(this, moment);
    this.wasKilled = this.endedAt === undefined;
    this.#child.kill("SIGKILL");
    await Promise.all(this.#underWay);
  }

  close(): void {
    for (const connection of this.#connections) connection.end();
    for (const { connection } of this.sent) connection.end();
  }

  async #send(
    connection: CallerConnection,
    moment: number,
    takes: number,
    isWhole: boolean,
  ): Promise<void> {
    await pauseUntil(this, moment);
    if (!connection.isOpen) return;
    const id = nextId();
    const sent: Sent = {
      id,
      takes,
      isWhole,
      sentAt: this.now,
      connection,
      answer: undefined,
      closedAt: undefined,
    };
    this.sent.push(sent);
    const text = requestOf("POST", `/parcels/takes-${takes}`, id, "{}");
    sent.answer = await connection.send(isWhole ? text : text.slice(0, -1));
    if (sent.answer === undefined) sent.closedAt = this.now;
  }
}

let requests = 0;

function nextId(): string {
  requests += 1;
  return `stop-${requests}`;
}

function requestOf(method: string, path: string, id: string, body: string): string {
  const lines = [
    `${method} ${path} HTTP/1.1`,
    "Host: shop.example",
    `Chutewick-Attempt-Id: ${id}`,
    "Chutewick-Remaining-Ms: 20000",
    `Content-Length: ${body.length}`,
  ];
  return `${lines.join("\r\n")}\r\n\r\n${body}`;
}

async function pauseUntil(machine: StoppingMachine, moment: number): Promise<void> {
  const passed = (resolve: () => void): void => {
    setTimeout(resolve, Math.max(0, moment - machine.now));
  };
  await new Promise<void>(passed);
}

function ignored(): void {
  // The end of the connection is what counts.
}

/** Connections beyond the moments listed, for requests of later steps. */
const SPARE_CONNECTIONS = 2;

async function sendDuringStop(this: StopWorld, takes: number, moments: DataTable): Promise<void> {
  const { child } = this.system.machines.find(isStopped)!;
  this.stop = new StoppingMachine(child);
  const seconds = moments.raw()[0]!.map(Number);
  await this.stop.begin(seconds.length + SPARE_CONNECTIONS);
  for (const second of seconds) this.stop.sendAt(second * 1_000, takes);
}
When(
  "callers with open connections send work of {int} ms at these s after the stop of access machine 2 began",
  { timeout: 20_000 },
  sendDuringStop,
);

function isStopped({ name }: { name: string }): boolean {
  return name === MACHINE;
}

function sendOne(this: StopWorld, takes: number, second: number): void {
  this.stop.sendAt(second * 1_000, takes);
}
When("one sends work of {int} ms {int} s after it began", sendOne);

function sendHalf(this: StopWorld, second: number): void {
  this.stop.sendAt(second * 1_000, 0, false);
}
When("one sends half of a request {int} s after it began", sendHalf);

async function killed(this: StopWorld, second: number): Promise<void> {
  await this.stop.killAt(second * 1_000);
}
When("the machine is killed {int} s after it began", { timeout: 20_000 }, killed);

function ran(world: StopWorld, { id }: Sent): boolean {
  return world.system.runners.some(({ ran: ids }) => ids.includes(id));
}

function isLost(world: StopWorld, sent: Sent): boolean {
  if (sent.answer !== undefined) return false;
  if (!ran(world, sent)) return sent.closedAt! - sent.sentAt > LOSS_SLACK;
  const grace = 8_000;
  const mayBeGivenUp = sent.sentAt <= SENT_EARLY && sent.sentAt + sent.takes >= grace * LAST_SIXTH;
  return !mayBeGivenUp;
}

function tellSent(world: StopWorld, sent: Sent): string {
  const end = sent.answer?.status ?? `closed at ${Math.round(sent.closedAt!)} ms`;
  return `sent at ${Math.round(sent.sentAt)} ms, ${ran(world, sent) ? "passed on" : "not passed on"}: ${end}`;
}

function noneLost(this: StopWorld): void {
  const lost = this.stop.sent.filter((sent) => isLost(this, sent));
  deepEqual(
    lost.map((sent) => tellSent(this, sent)),
    [],
  );
}
Then("no request is read and ends without a whole answer", noneLost);

function servedEarlyOnly(this: StopWorld, served: number, refusedFrom: number): void {
  for (const sent of this.stop.sent) {
    if (sent.sentAt <= served * 1_000) equal(sent.answer?.status, 200, tellSent(this, sent));
    if (sent.sentAt > refusedFrom * 1_000) equal(ran(this, sent), false, tellSent(this, sent));
  }
}
Then(
  "those sent within {float} s are served, and none sent after {int} s is passed on",
  servedEarlyOnly,
);

function endsConnections(this: StopWorld): void {
  let refusals = 0;
  for (const sent of this.stop.sent) {
    if (sent.answer === undefined) continue;
    const { status, headers } = sent.answer;
    equal(headers.get("connection"), "close", tellSent(this, sent));
    if (status === 200) continue;
    refusals += 1;
    equal(status, 503, tellSent(this, sent));
    equal(ran(this, sent), false, tellSent(this, sent));
    ok(Number(headers.get("retry-after")) > 0, "a refusal tells when to try again");
  }
  ok(refusals >= 3, `${refusals} requests were refused`);
}
Then(
  "each answer ends its connection, and each refusal promises that it did not run and tells when to try again",
  endsConnections,
);

function lastWords(this: StopWorld, outlasting: number, half: number): void {
  for (const sent of this.stop.sent)
    equal(sent.answer?.status, sent.isWhole ? outlasting : half, tellSent(this, sent));
}
Then("each work that outlasts the stop is answered {int}, and half a request {int}", lastWords);

function endedByItself(this: StopWorld): void {
  equal(this.stop.wasKilled, false, "it was killed");
  equal(this.system.machines.find(isStopped)!.ended, 0);
}
Then("the machine ended by itself with 0 before it was killed", endedByItself);

function ended(this: StopWorld): void {
  this.stop?.close();
}
After(ended);
