import { connect as connectSocket, type Socket } from "node:net";
import { constants } from "@chutewick/parts";
import { Client, type Dispatcher } from "undici";
import type { PassEvent, PassLinks, PassWork, RunnerDialect } from "./dialect.js";
import { EventReader } from "./events.js";

/** Headers of one connection alone, which are not passed on. */
const ofConnection = new Set([
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

export interface PassOptions {
  readonly dialect: RunnerDialect;
  /** The last look before the first byte: a reason not to send. */
  readonly mayStart: (go: number) => string | undefined;
  readonly told: (go: number, event: PassEvent) => void;
  /** Connections that this node may have to the runner at an address. */
  readonly share: (address: string) => number;
  readonly now: () => number;
}

/** One connection to a runner, and what speaks on it; one work at a time. */
interface Line {
  readonly address: string;
  readonly socket: Socket;
  speaker: Client | undefined;
  run: Run | undefined;
  /** Ids of the works done on it, the newest last: only the first one cannot meet a result left over from another. */
  readonly ids: string[];
  usedAt: number;
  /** ms that it may stay idle; undefined where the runner told nothing. */
  idleMost: number | undefined;
  lost: boolean;
}

interface Host {
  readonly idle: Line[];
  readonly waiting: Run[];
  open: number;
}

/** Links to runners: connections are kept, and each result is checked to be that of its own request (docs/design.md §13.6). */
export class PassConnections implements PassLinks {
  #options: PassOptions;
  #hosts = new Map<string, Host>();
  #runs = new Map<number, Run>();
  readonly counts = { connected: 0, reused: 0, unreached: 0, poisoned: 0 };

  constructor(options: PassOptions) {
    this.#options = options;
  }

  run(go: number, address: string, work: PassWork): void {
    const run = new Run(this, go, address, work);
    this.#runs.set(go, run);
    this.#place(run);
  }

  abandon(go: number): void {
    const run = this.#runs.get(go);
    if (run === undefined) return;
    this.#runs.delete(go);
    run.gone = true;
    if (run.line !== undefined) this.#cutOff(run.line);
  }

  pause(go: number): void {
    const run = this.#runs.get(go);
    if (run !== undefined) run.paused = true;
  }

  resume(go: number): void {
    this.#runs.get(go)?.goOn();
  }

  /** How many connections to an address are open, those in use and those being made counted. */
  openTo(address: string): number {
    return this.#hosts.get(address)?.open ?? 0;
  }

  /** Idle connections that are past their time are closed, and works past theirs broken off. */
  beat(now: number): void {
    for (const [address, host] of this.#hosts) {
      while (host.idle.length > 0 && !isFresh(host.idle[0]!, true, now)) this.#drop(host.idle[0]!);
      if (host.open === 0 && host.waiting.length === 0) this.#hosts.delete(address);
    }
    for (const [go, run] of this.#runs) {
      if (now <= run.work.until + constants.overdueGrace) continue;
      if (run.line !== undefined) this.#cutOff(run.line);
      else this.finish(run, { kind: "unsent", reason: "no connection was free in time" });
      this.#runs.delete(go);
    }
  }

  close(): void {
    for (const host of this.#hosts.values()) for (const line of [...host.idle]) this.#drop(line);
  }

  #host(address: string): Host {
    let host = this.#hosts.get(address);
    if (host === undefined) this.#hosts.set(address, (host = { idle: [], waiting: [], open: 0 }));
    return host;
  }

  /** The connection used last, else a new one, else the next that comes free. */
  #place(run: Run): void {
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
      this.#drop(host.idle[0]!);
    }
    this.#connect(run, host);
  }

  #connect(run: Run, host: Host): void {
    const self = this;
    const cut = run.address.lastIndexOf(":");
    const socket = connectSocket({
      host: run.address.slice(0, cut),
      port: Number(run.address.slice(cut + 1)),
      noDelay: true,
      keepAlive: true,
      keepAliveInitialDelay: 1_000,
    });
    const line: Line = {
      address: run.address,
      socket,
      speaker: undefined,
      run: undefined,
      ids: [],
      usedAt: 0,
      idleMost: undefined,
      lost: false,
    };
    host.open += 1;
    this.counts.connected += 1;
    let reason = "the runner cannot be reached in time";
    function late(): void {
      socket.destroy();
    }
    function failed(error: Error): void {
      reason = error.message;
    }
    function closed(): void {
      clearTimeout(patience);
      self.#drop(line);
      if (line.speaker !== undefined) return;
      self.counts.unreached += 1;
      self.finish(run, { kind: "unsent", reason });
      self.#serve(host);
    }
    function connected(): void {
      clearTimeout(patience);
      line.speaker = self.#speaker(line);
      line.usedAt = self.#options.now();
      self.#start(line, run);
    }
    const patience = setTimeout(late, constants.passPatience);
    socket.on("error", failed);
    socket.once("close", closed);
    socket.once("connect", connected);
  }

  #speaker(line: Line): Client {
    let used = false;
    function connector(
      _options: unknown,
      callback: (error: Error | null, socket: Socket | null) => void,
    ): void {
      if (used || line.socket.destroyed) return callback(new Error("the connection is gone"), null);
      used = true;
      function hand(): void {
        callback(null, line.socket);
      }
      queueMicrotask(hand);
    }
    return new Client(`http://${line.address}`, {
      connect: connector as never,
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: 600_000,
      keepAliveMaxTimeout: 600_000,
      keepAliveTimeoutThreshold: 0,
    });
  }

  #start(line: Line, run: Run): void {
    if (run.gone) return this.#rest(line);
    const reason = this.#options.mayStart(run.go);
    /** Asking may itself have ended the go. */
    if (run.gone || reason !== undefined) {
      this.#rest(line);
      return this.finish(run, { kind: "unsent", reason: reason ?? "it is not wanted any more" });
    }
    line.run = run;
    run.line = line;
    run.startedAt = this.#options.now();
    const { request } = run.work;
    line.ids.push(request.id);
    if (line.ids.length > constants.idsOfConnection) line.ids.shift();
    const method = request.method;
    try {
      line.speaker!.dispatch(
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

  /** The last look, in the same step as the write: the library lets the event loop turn before it writes on a kept connection. */
  mayWrite(run: Run): string | undefined {
    if (run.gone) return "it is not wanted any more";
    if (this.#options.now() - run.startedAt > constants.sendWithin)
      return "this process stood still before the first byte";
    return this.#options.mayStart(run.go);
  }

  /** Free for the next work; bytes that come meanwhile belong to nobody and end it. */
  #rest(line: Line): void {
    const host = this.#host(line.address);
    line.run = undefined;
    if (line.lost || line.socket.destroyed || line.idleMost === 0) return this.#drop(line);
    line.usedAt = this.#options.now();
    host.idle.push(line);
    this.#serve(host);
  }

  /** Those that wait for a connection, in turn. */
  #serve(host: Host): void {
    for (;;) {
      const next = host.waiting[0];
      if (next === undefined) return;
      if (
        !next.gone &&
        host.idle.length === 0 &&
        host.open >= Math.max(1, this.#options.share(next.address))
      )
        return;
      host.waiting.shift();
      if (!next.gone) this.#place(next);
    }
  }

  /**
   * Ends a connection with a work on it that nobody waits for any more. The reset takes back what the kernel has not yet
   * delivered: closed in the ordinary way, a request held up by a cut or a full window would reach the runner later.
   */
  #cutOff(line: Line): void {
    if (!line.lost && !line.socket.destroyed) line.socket.resetAndDestroy();
    this.#drop(line);
  }

  #drop(line: Line): void {
    if (line.lost) return;
    line.lost = true;
    const host = this.#host(line.address);
    host.open -= 1;
    const index = host.idle.indexOf(line);
    if (index >= 0) host.idle.splice(index, 1);
    /** Through what speaks on it, so that the work on it hears of the end. */
    if (line.speaker !== undefined) void line.speaker.destroy().catch(ignored);
    line.socket.destroy();
    if (host.waiting.length > 0) {
      const self = this;
      function serve(): void {
        self.#serve(host);
      }
      queueMicrotask(serve);
    }
  }

  /** Of a run: what the runner's head says is judged here. */
  judge(
    run: Run,
    status: number,
    found: Record<string, string | string[] | undefined>,
    passed: string[],
  ): void {
    const line = run.line!;
    if (
      found["connection"] !== undefined &&
      String(found["connection"]).toLowerCase().includes("close")
    )
      line.idleMost = 0;
    else line.idleMost = idleOf(found["keep-alive"]);
    const head = this.#options.dialect.read(status, found);
    const foreign =
      head.id === undefined
        ? !(head.notRun && line.ids.length === 1)
        : head.id !== run.work.request.id;
    if (foreign) {
      this.counts.poisoned += 1;
      return this.break(run, "the runner's result is that of another inquiry");
    }
    if (head.notRun || head.otherRunner) {
      run.ignores = true;
      return this.#options.told(run.go, {
        kind: "refused",
        status,
        retryAfter: head.retryAfter,
        otherRunner: head.otherRunner,
      });
    }
    const encoding = found["content-encoding"];
    if (encoding !== undefined && encoding !== "identity")
      return this.break(run, "the body is encoded, which the runner's own never is");
    const bare = status === 204 || status === 304 || run.work.request.method === "HEAD";
    if (
      !bare &&
      found["content-length"] === undefined &&
      String(found["transfer-encoding"] ?? "").toLowerCase() !== "chunked"
    )
      return this.break(run, "the end of the result could not be known");
    run.reader = run.work.events && status >= 200 && status < 300 ? new EventReader() : undefined;
    this.#options.told(run.go, { kind: "head", status, headers: passed, stamped: head.stamped });
  }

  tell(run: Run, event: PassEvent): void {
    if (!run.gone && !run.ignores) this.#options.told(run.go, event);
  }

  /** The whole result came. */
  complete(run: Run): void {
    const self = this;
    const line = run.line!;
    run.line = undefined;
    /** After the parser has looked at all that came: more bytes than a result end the connection first. */
    function rest(): void {
      self.#rest(line);
    }
    setImmediate(rest);
    if (run.reader?.open !== true) return this.finish(run, { kind: "end" });
    line.idleMost = 0;
    this.finish(run, { kind: "broken", reason: "the stream ended within an event" });
  }

  break(run: Run, reason: string): void {
    const line = run.line;
    this.finish(run, { kind: "broken", reason });
    if (line !== undefined) this.#cutOff(line);
  }

  finish(run: Run, event: PassEvent): void {
    if (this.#runs.get(run.go) === run) this.#runs.delete(run.go);
    if (run.gone) return;
    run.gone = true;
    if (!run.ignores) this.#options.told(run.go, event);
  }
}

/** One work on one connection: what undici tells of it. */
class Run implements Dispatcher.DispatchHandler {
  readonly go: number;
  readonly address: string;
  readonly work: PassWork;
  line: Line | undefined;
  reader: EventReader | undefined;
  /** Abandoned, or its last word is told. */
  gone = false;
  /** The runner refused it: the rest of the result is read away. */
  ignores = false;
  paused = false;
  /** ms. When its headers were made. */
  startedAt = 0;
  #links: PassConnections;
  #sent = false;
  #goOn: (() => void) | undefined;
  #held = false;

  constructor(links: PassConnections, go: number, address: string, work: PassWork) {
    this.#links = links;
    this.go = go;
    this.address = address;
    this.work = work;
  }

  goOn(): void {
    this.paused = false;
    if (!this.#held) return;
    this.#held = false;
    this.#goOn?.();
  }

  /** Called right before the first byte is written; aborted here nothing goes out. */
  onConnect(abort: (error: Error) => void): void {
    const reason = this.#links.mayWrite(this);
    if (reason !== undefined) return abort(new Error(reason));
    this.#sent = true;
  }

  onHeaders(status: number, raw: Buffer[], goOn: () => void): boolean {
    if (status < 200) return true;
    this.#goOn = goOn;
    const found: Record<string, string | string[] | undefined> = {};
    const passed: string[] = [];
    const named = new Set<string>();
    for (let index = 0; index + 1 < raw.length; index += 2) {
      const name = raw[index]!.toString("latin1");
      const value = raw[index + 1]!.toString("latin1");
      const key = name.toLowerCase();
      const held = found[key];
      found[key] =
        held === undefined ? value : Array.isArray(held) ? [...held, value] : [held, value];
      if (key === "connection")
        for (const part of value.split(",")) named.add(part.trim().toLowerCase());
      else if (!ofConnection.has(key)) passed.push(name, value);
    }
    if (!this.gone)
      this.#links.judge(this, status, found, named.size === 0 ? passed : without(passed, named));
    return this.#mayGoOn();
  }

  onData(chunk: Buffer): boolean {
    if (this.gone || this.ignores) return true;
    if (this.reader === undefined) this.#links.tell(this, { kind: "data", bytes: chunk });
    else for (const event of this.reader.take(chunk)) this.#links.tell(this, event);
    return this.#mayGoOn();
  }

  onComplete(): void {
    this.#links.complete(this);
  }

  onError(error: Error): void {
    const line = this.line;
    this.line = undefined;
    this.#links.finish(
      this,
      this.#sent
        ? { kind: "broken", reason: `the link to the runner broke: ${error.message}` }
        : { kind: "unsent", reason: error.message },
    );
    if (line !== undefined) line.socket.destroy();
  }

  #mayGoOn(): boolean {
    this.#held = this.paused && !this.gone;
    return !this.#held;
  }
}

/** Whether a kept connection may be used: well within its time, and nothing came on it that nobody asked for. */
function isFresh(line: Line, repeatable: boolean, now: number): boolean {
  if (line.lost || line.socket.destroyed || line.socket.readableLength > 0) return false;
  const told = line.idleMost;
  const most =
    told === undefined ? constants.idleUntold * (repeatable ? 3 : 1) : told - constants.idleMargin;
  return now - line.usedAt <= most;
}

/** A late second answer to an earlier work of the same id could not be told from the one that is due: such a work goes elsewhere. */
function isUsableFor(line: Line, work: PassWork, now: number): boolean {
  return isFresh(line, work.repeatable, now) && !line.ids.includes(work.request.id);
}

function idleOf(value: string | string[] | undefined): number | undefined {
  const found = /timeout\s*=\s*(\d+)/i.exec(String(value ?? ""));
  return found === null ? undefined : Number(found[1]) * 1_000;
}

function without(passed: readonly string[], named: ReadonlySet<string>): string[] {
  const found: string[] = [];
  for (let index = 0; index + 1 < passed.length; index += 2)
    if (!named.has(passed[index]!.toLowerCase())) found.push(passed[index]!, passed[index + 1]!);
  return found;
}

function ignored(): void {}
