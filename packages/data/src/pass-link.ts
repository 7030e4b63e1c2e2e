/** HTTP connections to the runners of passages (docs/design.md §13.6). */
import { connect as connectSocket, type Socket } from "node:net";
import { constants } from "@chutewick/parts";
import { Client, type Dispatcher } from "undici";
import type { PassageEvent, PassageConnections, PassageWork, RunnerProtocol } from "./dialect.js";
import { EventTooLargeError, type EventBudget } from "./event-budget.js";
import { EventStreamParser, type ServerSentEvent } from "./events.js";

/** Hop-by-hop headers, which are not forwarded. */
const hopByHopHeaders = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

/** Options of the connections to runners. */
export interface PassageRunnerConnectionsOptions {
  readonly dialect: RunnerProtocol;
  /** Checks an attempt right before its first byte is sent. @returns why it must not be sent; undefined where it may be */
  readonly mayStart: (attempt: number) => string | undefined;
  /** Called with each event of an attempt. */
  readonly told: (attempt: number, event: PassageEvent) => void;
  /** Maximum number of connections of this node to the runner at an address. */
  readonly share: (address: string) => number;
  /** Monotonic clock, in ms. */
  readonly now: () => number;
  readonly eventBudget: EventBudget;
}

/** One connection to a runner, with its HTTP client; it carries one request at a time. */
interface Connection {
  readonly address: string;
  readonly socket: Socket;
  client: Client | undefined;
  run: Run | undefined;
  /** Ids of the requests sent on it, the newest last. Only the first one cannot receive a delayed result of another request. */
  readonly requestIds: string[];
  /** Monotonic time (ms) at which it last became idle. */
  usedAt: number;
  /** Time (ms) that it may stay idle; undefined where the runner did not announce one. */
  maxIdleMs: number | undefined;
  isClosed: boolean;
}

/** The connections to one address, and the runs that wait for one. */
interface Host {
  readonly idle: Connection[];
  readonly waiting: Run[];
  open: number;
}

/** Connections to runners. They are kept alive, and each result is checked to belong to the request that it answers (docs/design.md §13.6). */
export class PassageRunnerConnections implements PassageConnections {
  #options: PassageRunnerConnectionsOptions;
  #hosts = new Map<string, Host>();
  #runs = new Map<number, Run>();
  readonly counts = { connected: 0, reused: 0, unreached: 0, poisoned: 0, oversizedEvents: 0 };

  constructor(options: PassageRunnerConnectionsOptions) {
    this.#options = options;
  }

  run(attempt: number, address: string, work: PassageWork): void {
    const run = new Run(this, attempt, address, work);
    this.#runs.set(attempt, run);
    this.#assignConnection(run);
  }

  abandon(attempt: number): void {
    const run = this.#runs.get(attempt);
    if (run === undefined) return;
    this.#runs.delete(attempt);
    run.isFinished = true;
    run.reader?.discard();
    if (run.connection !== undefined) this.#reset(run.connection);
  }

  pause(attempt: number): void {
    const run = this.#runs.get(attempt);
    if (run !== undefined) run.isPaused = true;
  }

  resume(attempt: number): void {
    this.#runs.get(attempt)?.resume();
  }

  /** Number of connections to an address, including those in use and those being opened. */
  connectionCount(address: string): number {
    return this.#hosts.get(address)?.open ?? 0;
  }

  /** Closes connections that were idle for too long, and ends runs that are overdue. */
  tick(now: number): void {
    for (const [address, host] of this.#hosts) {
      while (host.idle.length > 0 && !isFresh(host.idle[0]!, true, now))
        this.#closeConnection(host.idle[0]!);
      if (host.open === 0 && host.waiting.length === 0) this.#hosts.delete(address);
    }
    for (const [attempt, run] of this.#runs) {
      if (now <= run.work.until + constants.overdueGraceMs) continue;
      if (run.connection !== undefined) this.#reset(run.connection);
      else this.finish(run, { kind: "unsent", reason: "no connection was free in time" });
      this.#runs.delete(attempt);
    }
  }

  /** Closes all idle connections. */
  close(): void {
    for (const host of this.#hosts.values())
      for (const connection of [...host.idle]) this.#closeConnection(connection);
  }

  #host(address: string): Host {
    let host = this.#hosts.get(address);
    if (host === undefined) this.#hosts.set(address, (host = { idle: [], waiting: [], open: 0 }));
    return host;
  }

  /** Assigns the most recently used idle connection, else a new one, else the next one that becomes free. */
  #assignConnection(run: Run): void {
    const host = this.#host(run.address);
    const now = this.#options.now();
    const last = host.idle.at(-1);
    if (last !== undefined && isUsableFor(last, run.work, now)) {
      host.idle.pop();
      this.counts.reused += 1;
      this.#start(last, run);
      return;
    }
    if (host.open >= Math.max(1, this.#options.share(run.address))) {
      if (host.idle.length === 0) {
        host.waiting.push(run);
        return;
      }
      this.#closeConnection(host.idle[0]!);
    }
    this.#connect(run, host);
  }

  #connect(run: Run, host: Host): void {
    const self = this;
    const separator = run.address.lastIndexOf(":");
    const socket = connectSocket({
      host: run.address.slice(0, separator),
      port: Number(run.address.slice(separator + 1)),
      noDelay: true,
      keepAlive: true,
      keepAliveInitialDelay: 1_000,
    });
    const connection: Connection = {
      address: run.address,
      socket,
      client: undefined,
      run: undefined,
      requestIds: [],
      usedAt: 0,
      maxIdleMs: undefined,
      isClosed: false,
    };
    host.open += 1;
    this.counts.connected += 1;
    let reason = "the runner cannot be reached in time";
    function onTimeout(): void {
      socket.destroy();
    }
    function onError(error: Error): void {
      reason = error.message;
    }
    function onClose(): void {
      clearTimeout(connectTimer);
      self.#closeConnection(connection);
      if (connection.client !== undefined) return;
      self.counts.unreached += 1;
      self.finish(run, { kind: "unsent", reason });
      self.#serveWaiting(host);
    }
    function onConnect(): void {
      clearTimeout(connectTimer);
      connection.client = self.#createClient(connection);
      connection.usedAt = self.#options.now();
      self.#start(connection, run);
    }
    const connectTimer = setTimeout(onTimeout, constants.passConnectTimeoutMs);
    socket.on("error", onError);
    socket.once("close", onClose);
    socket.once("connect", onConnect);
  }

  /** Creates an HTTP client that uses the given socket only and never reconnects. */
  #createClient(connection: Connection): Client {
    let used = false;
    function connector(
      _options: unknown,
      callback: (error: Error | null, socket: Socket | null) => void,
    ): void {
      if (used || connection.socket.destroyed)
        return callback(new Error("the connection is gone"), null);
      used = true;
      function provideSocket(): void {
        callback(null, connection.socket);
      }
      queueMicrotask(provideSocket);
    }
    return new Client(`http://${connection.address}`, {
      connect: connector as never,
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: 600_000,
      keepAliveMaxTimeout: 600_000,
      keepAliveTimeoutThreshold: 0,
    });
  }

  #start(connection: Connection, run: Run): void {
    if (run.isFinished) return this.#release(connection);
    const reason = this.#options.mayStart(run.go);
    // `mayStart` itself may have ended the attempt.
    if (run.isFinished || reason !== undefined) {
      this.#release(connection);
      return this.finish(run, { kind: "unsent", reason: reason ?? "it is not wanted any more" });
    }
    connection.run = run;
    run.connection = connection;
    run.startedAt = this.#options.now();
    const { request } = run.work;
    connection.requestIds.push(request.id);
    if (connection.requestIds.length > constants.maxConnectionRequestIds)
      connection.requestIds.shift();
    const method = request.method;
    try {
      connection.client!.dispatch(
        {
          method,
          path: request.path,
          headers: this.#options.dialect.headers(run.work, run.startedAt),
          body: request.body.length === 0 ? null : request.body,
        },
        run,
      );
    } catch (error) {
      run.onError(error as Error);
    }
  }

  /**
   * Checks a run once more in the same step as the write: undici yields to the event loop before it writes on a kept connection.
   * @returns why it must not be written; undefined where it may be
   */
  mayWrite(run: Run): string | undefined {
    if (run.isFinished) return "it is not wanted any more";
    if (this.#options.now() - run.startedAt > constants.maxSendDelayMs)
      return "this process stood still before the first byte";
    return this.#options.mayStart(run.go);
  }

  /** Returns a connection to the idle ones. Bytes that arrive while it is idle belong to no request, so they make it unusable. */
  #release(connection: Connection): void {
    const host = this.#host(connection.address);
    connection.run = undefined;
    if (connection.isClosed || connection.socket.destroyed || connection.maxIdleMs === 0)
      return this.#closeConnection(connection);
    connection.usedAt = this.#options.now();
    host.idle.push(connection);
    this.#serveWaiting(host);
  }

  /** Assigns connections to waiting runs, in order of arrival. */
  #serveWaiting(host: Host): void {
    for (;;) {
      const next = host.waiting[0];
      if (next === undefined) return;
      if (
        !next.isFinished &&
        host.idle.length === 0 &&
        host.open >= Math.max(1, this.#options.share(next.address))
      )
        return;
      host.waiting.shift();
      if (!next.isFinished) this.#assignConnection(next);
    }
  }

  /**
   * Resets a connection whose request is no longer wanted. A TCP reset discards what the kernel has not yet delivered; after an
   * orderly close, a request that is held up by a network partition or a full window would reach the runner later.
   */
  #reset(connection: Connection): void {
    if (!connection.isClosed && !connection.socket.destroyed) connection.socket.resetAndDestroy();
    this.#closeConnection(connection);
  }

  #closeConnection(connection: Connection): void {
    if (connection.isClosed) return;
    connection.isClosed = true;
    const host = this.#host(connection.address);
    host.open -= 1;
    const index = host.idle.indexOf(connection);
    if (index >= 0) host.idle.splice(index, 1);
    // Destroying the client notifies the run on the connection of its end.
    if (connection.client !== undefined) void connection.client.destroy().catch(ignored);
    connection.socket.destroy();
    if (host.waiting.length > 0) {
      const self = this;
      function serve(): void {
        self.#serveWaiting(host);
      }
      queueMicrotask(serve);
    }
  }

  /** Validates the head of a runner's response, and reports it or fails the run. */
  handleHead(
    run: Run,
    status: number,
    found: Record<string, string | string[] | undefined>,
    headers: string[],
  ): void {
    const connection = run.connection!;
    if (
      found["connection"] !== undefined &&
      String(found["connection"]).toLowerCase().includes("close")
    )
      connection.maxIdleMs = 0;
    else connection.maxIdleMs = keepAliveTimeoutOf(found["keep-alive"]);
    const head = this.#options.dialect.read(status, found);
    const isForeign =
      head.id === undefined
        ? !(head.notRun && connection.requestIds.length === 1)
        : head.id !== run.work.request.id;
    if (isForeign) {
      this.counts.poisoned += 1;
      return this.fail(run, "the runner's result is that of another inquiry");
    }
    if (head.notRun || head.otherRunner) {
      run.ignoresRest = true;
      return this.#options.told(run.go, {
        kind: "refused",
        status,
        retryAfter: head.retryAfter,
        otherRunner: head.otherRunner,
      });
    }
    const encoding = found["content-encoding"];
    if (encoding !== undefined && encoding !== "identity")
      return this.fail(run, "the body is encoded, which the runner's own never is");
    const hasNoBody = status === 204 || status === 304 || run.work.request.method === "HEAD";
    if (
      !hasNoBody &&
      found["content-length"] === undefined &&
      String(found["transfer-encoding"] ?? "").toLowerCase() !== "chunked"
    )
      return this.fail(run, "the end of the result could not be known");
    run.reader =
      run.work.events && status >= 200 && status < 300
        ? new EventStreamParser(this.#options.eventBudget)
        : undefined;
    this.#options.told(run.go, { kind: "head", status, headers, stamped: head.stamped });
  }

  /** Reports the events that a chunk completes. A run whose event takes more memory than it may is failed. */
  handleEvents(run: Run, reader: EventStreamParser, chunk: Buffer): void {
    let events: ServerSentEvent[];
    try {
      events = reader.push(chunk);
    } catch (error) {
      if (!(error instanceof EventTooLargeError)) throw error;
      this.counts.oversizedEvents += 1;
      return this.fail(run, error.message);
    }
    for (const event of events) this.emit(run, event);
  }

  /** Reports an event of a run, unless the run is finished or its rest is ignored. */
  emit(run: Run, event: PassageEvent): void {
    if (!run.isFinished && !run.ignoresRest) this.#options.told(run.go, event);
  }

  /** Handles the end of a complete response. */
  handleComplete(run: Run): void {
    const self = this;
    const connection = run.connection!;
    run.connection = undefined;
    // Deferred until the parser has seen all received bytes: surplus bytes close the connection first.
    function release(): void {
      self.#release(connection);
    }
    setImmediate(release);
    if (run.reader?.hasIncompleteEvent !== true) return this.finish(run, { kind: "end" });
    connection.maxIdleMs = 0;
    this.finish(run, { kind: "broken", reason: "the stream ended within an event" });
  }

  /** Fails a run and resets its connection. */
  fail(run: Run, reason: string): void {
    const connection = run.connection;
    this.finish(run, { kind: "broken", reason });
    if (connection !== undefined) this.#reset(connection);
  }

  /** Ends a run with its last event. */
  finish(run: Run, event: PassageEvent): void {
    if (this.#runs.get(run.go) === run) this.#runs.delete(run.go);
    if (run.isFinished) return;
    run.isFinished = true;
    run.reader?.discard();
    if (!run.ignoresRest) this.#options.told(run.go, event);
  }
}

/** One attempt on one connection, as the handler of undici's callbacks. */
class Run implements Dispatcher.DispatchHandler {
  /** Number of the attempt. */
  readonly go: number;
  readonly address: string;
  readonly work: PassageWork;
  connection: Connection | undefined;
  reader: EventStreamParser | undefined;
  /** Whether it was abandoned or its last event was reported. */
  isFinished = false;
  /** Whether the runner refused it, so that the rest of the response is read and discarded. */
  ignoresRest = false;
  isPaused = false;
  /** Monotonic time (ms) at which its headers were created. */
  startedAt = 0;
  #connections: PassageRunnerConnections;
  #isSent = false;
  #resumeReading: (() => void) | undefined;
  #isHeld = false;

  constructor(
    connections: PassageRunnerConnections,
    attempt: number,
    address: string,
    work: PassageWork,
  ) {
    this.#connections = connections;
    this.go = attempt;
    this.address = address;
    this.work = work;
  }

  /** Resumes reading after a pause. */
  resume(): void {
    this.isPaused = false;
    if (!this.#isHeld) return;
    this.#isHeld = false;
    this.#resumeReading?.();
  }

  /** Called by undici right before the first byte is written; after an abort here nothing is sent. */
  onConnect(abort: (error: Error) => void): void {
    const reason = this.#connections.mayWrite(this);
    if (reason !== undefined) return abort(new Error(reason));
    this.#isSent = true;
  }

  /** @returns whether undici shall continue to read */
  onHeaders(status: number, raw: Buffer[], resumeReading: () => void): boolean {
    if (status < 200) return true;
    this.#resumeReading = resumeReading;
    const found: Record<string, string | string[] | undefined> = {};
    const forwarded: string[] = [];
    const connectionHeaders = new Set<string>();
    for (let index = 0; index + 1 < raw.length; index += 2) {
      const name = raw[index]!.toString("latin1");
      const value = raw[index + 1]!.toString("latin1");
      const key = name.toLowerCase();
      const previous = found[key];
      found[key] =
        previous === undefined
          ? value
          : Array.isArray(previous)
            ? [...previous, value]
            : [previous, value];
      if (key === "connection")
        for (const part of value.split(",")) connectionHeaders.add(part.trim().toLowerCase());
      else if (!hopByHopHeaders.has(key)) forwarded.push(name, value);
    }
    if (!this.isFinished)
      this.#connections.handleHead(
        this,
        status,
        found,
        connectionHeaders.size === 0 ? forwarded : removeHeaders(forwarded, connectionHeaders),
      );
    return this.#mayContinue();
  }

  /** @returns whether undici shall continue to read */
  onData(chunk: Buffer): boolean {
    if (this.isFinished || this.ignoresRest) return true;
    if (this.reader === undefined) this.#connections.emit(this, { kind: "data", bytes: chunk });
    else this.#connections.handleEvents(this, this.reader, chunk);
    return this.#mayContinue();
  }

  onComplete(): void {
    this.#connections.handleComplete(this);
  }

  onError(error: Error): void {
    const connection = this.connection;
    this.connection = undefined;
    this.#connections.finish(
      this,
      this.#isSent
        ? { kind: "broken", reason: `the link to the runner broke: ${error.message}` }
        : { kind: "unsent", reason: error.message },
    );
    if (connection !== undefined) connection.socket.destroy();
  }

  #mayContinue(): boolean {
    this.#isHeld = this.isPaused && !this.isFinished;
    return !this.#isHeld;
  }
}

/** Whether an idle connection may be reused: it is well within its idle time, and no unsolicited bytes arrived on it. */
function isFresh(connection: Connection, repeatable: boolean, now: number): boolean {
  if (connection.isClosed || connection.socket.destroyed || connection.socket.readableLength > 0)
    return false;
  const announced = connection.maxIdleMs;
  const maxIdle =
    announced === undefined
      ? constants.defaultIdleMs * (repeatable ? 3 : 1)
      : announced - constants.runnerIdleMarginMs;
  return now - connection.usedAt <= maxIdle;
}

/**
 * Whether an idle connection may carry a request. A connection that carried the same request id before may not: a delayed second
 * response to the earlier request could not be distinguished from the expected one.
 */
function isUsableFor(connection: Connection, work: PassageWork, now: number): boolean {
  return (
    isFresh(connection, work.repeatable, now) && !connection.requestIds.includes(work.request.id)
  );
}

/** Parses the timeout of a Keep-Alive header into ms. */
function keepAliveTimeoutOf(value: string | string[] | undefined): number | undefined {
  const found = /timeout\s*=\s*(\d+)/i.exec(String(value ?? ""));
  return found === null ? undefined : Number(found[1]) * 1_000;
}

/** Removes headers that the Connection header names; names and values alternate. */
function removeHeaders(
  headers: readonly string[],
  connectionHeaders: ReadonlySet<string>,
): string[] {
  const found: string[] = [];
  for (let index = 0; index + 1 < headers.length; index += 2)
    if (!connectionHeaders.has(headers[index]!.toLowerCase()))
      found.push(headers[index]!, headers[index + 1]!);
  return found;
}

function ignored(): void {}
