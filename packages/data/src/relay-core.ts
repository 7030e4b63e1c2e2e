/** Live requests on passages, passed through to runners; without I/O (docs/design.md §13.5). */
import { constants, type Policy, type Tenancy } from "@chutewick/parts";
import type { Passage } from "@chutewick/control";
import { hashOf, type Choice, type Chosen, type GoEnd } from "./choice.js";
import type { PassEvent, PassRequest, PassWork } from "./dialect.js";
import type { FleetView } from "./fleet-view.js";
import type { PassOutput } from "./pass.js";
import { PassageIndex } from "./passage-index.js";
import { describeFailure, type RelayFailure } from "./relay-failure.js";
import { SleepDetector } from "./sleep-detector.js";
import { TenantDirectory, type Identity } from "./tenants.js";
import type { UsageCounter } from "./usage/usage-counter.js";

/** Statuses that promise that a request did not run: of a runner they count only with its word that it did not. */
const promises = new Set([408, 421, 429, 503]);

/** A request that is served: where, and on whose behalf. */
interface Admitted {
  readonly request: PassRequest;
  readonly passage: Passage;
  readonly identity: Identity;
}

/** Ranks above it are those of items. */
const LIVE_RANK_MOST = 4;

interface Live {
  readonly ticket: string;
  readonly request: PassRequest;
  readonly passage: Passage;
  readonly pool: string;
  /** Name of the tenant that it is served for, where one is known. */
  readonly tenant: string | undefined;
  readonly tenancy: Tenancy | undefined;
  /** 0 goes first. */
  readonly rank: number;
  readonly arrivedAt: number;
  /** Until when anything may be told at all, and until when a runner may be found. */
  readonly deadline: number;
  readonly waitsUntil: number;
  /** A second run does no harm. */
  readonly repeatable: boolean;
  readonly tried: Set<string>;
  /** Runners that it was sent to, and goes that never went out. */
  sent: number;
  unsent: number;
  go: Go | undefined;
  mayHaveRun: boolean;
  /** s. The shortest wait that a runner told. */
  retryAfter: number | undefined;
  /** Told to the caller; from there on the result is this one or breaks off. */
  opened: boolean;
  /** Number of the last event that was passed on, and whether all bore numbers. */
  last: number | undefined;
  numbered: boolean;
  slow: boolean;
  /** What went wrong last, told to the caller when nothing else can be tried. */
  failure: RelayFailure;
  /** Counted as one that began to run: another run of the same try is no other request. */
  isCounted: boolean;
}

interface Go {
  readonly number: number;
  readonly live: Live;
  readonly chosen: Chosen;
  readonly until: number;
  began: boolean;
  /** Window of usage in which it went out; undefined where none is counted. */
  window?: number | undefined;
  /** Last sign of it here. */
  heardAt: number;
  head: { readonly status: number; readonly headers: readonly string[] } | undefined;
  /** Of a result that is no stream: kept until it is whole. */
  kept: Uint8Array[];
  size: number;
}

export class RelayCore {
  readonly passages: PassageIndex;
  readonly tenants: TenantDirectory;
  #fleet: FleetView;
  #choice: Choice;
  #policy: Policy;
  #usage: UsageCounter | undefined;
  #live = new Map<string, Live>();
  #gos = new Map<number, Go>();
  /** Those without a runner, in the order of their coming. */
  #waiting = new Set<Live>();
  #isRefusing = false;
  #sleep = new SleepDetector(Number.POSITIVE_INFINITY);
  /** Bytes of the bodies of requests under way. */
  #bytes = 0;
  readonly counts = {
    passed: 0,
    passedWhole: 0,
    passedOn: 0,
    passRefused: 0,
    passUnsure: 0,
    passCut: 0,
    passLeft: 0,
    passUnknown: 0,
    passUnauthorized: 0,
    passGos: 0,
    passWaited: 0,
    passResumed: 0,
    passRescued: 0,
  };

  constructor(fleet: FleetView, choice: Choice, policy: Policy, usage?: UsageCounter) {
    this.#fleet = fleet;
    this.passages = new PassageIndex(fleet);
    this.tenants = new TenantDirectory(fleet);
    this.#choice = choice;
    this.#policy = policy;
    this.#usage = usage;
  }

  get busy(): number {
    return this.#live.size;
  }

  has(go: number): boolean {
    return this.#gos.has(go);
  }

  /** A planned stop has come so far that new requests may outlast it: they are refused, those under way go on. */
  refuseNew(): void {
    this.#isRefusing = true;
  }

  /** A planned stop is over: whatever is under way gets its last answer now. */
  giveLastAnswers(now: number): PassOutput[] {
    const outputs: PassOutput[] = [];
    for (const live of [...this.#live.values()]) {
      live.failure = { kind: "node-ends" };
      if (live.go?.began === true) live.mayHaveRun = true;
      this.#giveUp(live, now, outputs);
    }
    return outputs;
  }

  arrive(ticket: string, request: PassRequest, now: number): PassOutput[] {
    this.counts.passed += 1;
    if (this.#isRefusing)
      return this.#turnAway(ticket, 503, constants.retryAfter, "this node is about to stop");
    if (!this.#fleet.serves(now))
      return this.#turnAway(ticket, 503, constants.knownAfter, "this node may not serve now");
    const found = this.passages.find(request.host, request.path);
    if (found === undefined) return this.#turnAwayUnknown(ticket, now);
    const identity = this.tenants.identify(found.passage, request.credential);
    if (identity === undefined) return this.#turnAwayUnauthorized(ticket, now);
    if (this.#bytes + request.body.length > this.#policy.memory * constants.bodiesPart)
      return this.#turnAway(ticket, 503, constants.retryAfter, "this node holds as much as it may");
    return this.#take(ticket, { request, passage: found.passage, identity }, now);
  }

  #take(ticket: string, { request, passage, identity }: Admitted, now: number): PassOutput[] {
    const { tenancy, rank } = identity;
    const patience = request.patience ?? passage.guard;
    const deadline = now + (patience >= 0 ? Math.min(passage.guard, patience) : passage.guard);
    const wait = passage.aim > 0 ? passage.aim * constants.waitPart : constants.waitUntold;
    const live: Live = {
      ticket,
      request,
      passage,
      pool: poolOf(passage, request.id),
      tenant: tenancy?.tenant,
      tenancy,
      rank: rank ?? passage.rank,
      arrivedAt: now,
      deadline,
      waitsUntil: Math.min(now + wait, deadline - constants.worthLeast),
      repeatable: passage.kind === "safe" || (passage.kind === "stream" && passage.resumable),
      tried: new Set(),
      sent: 0,
      unsent: 0,
      go: undefined,
      mayHaveRun: false,
      retryAfter: undefined,
      opened: false,
      last: request.resumeAfter,
      numbered: true,
      slow: false,
      failure: { kind: "no-runner-known" },
      isCounted: false,
    };
    this.#live.set(ticket, live);
    this.#bytes += request.body.length;
    const outputs: PassOutput[] = [];
    this.#send(live, now, outputs);
    return outputs;
  }

  /** Only a node that holds a lease has every acknowledged change; another one may not know of a passage that was added. */
  #turnAwayUnknown(ticket: string, now: number): PassOutput[] {
    if (!this.#fleet.holds(now))
      return this.#turnAway(
        ticket,
        503,
        constants.knownAfter,
        "there is no passage at this host and path in a configuration that may be out of date",
      );
    this.counts.passUnknown += 1;
    return this.#turnAway(ticket, 404, undefined, "there is no passage at this host and path");
  }

  /** As with a passage that is not there: one without a lease may lack a credential that was added. */
  #turnAwayUnauthorized(ticket: string, now: number): PassOutput[] {
    if (!this.#fleet.holds(now))
      return this.#turnAway(
        ticket,
        503,
        constants.knownAfter,
        "no tenant holds this credential in a configuration that may be out of date",
      );
    this.counts.passUnauthorized += 1;
    return this.#turnAway(ticket, 401, undefined, "a credential of a tenant is needed here");
  }

  /** The caller is gone: what runs for it is broken off. */
  left(ticket: string, now: number): PassOutput[] {
    const live = this.#live.get(ticket);
    if (live === undefined) return [];
    this.counts.passLeft += 1;
    const outputs: PassOutput[] = [];
    this.#close(live, "left", now, outputs);
    return this.#look(now, outputs);
  }

  slow(ticket: string): PassOutput[] {
    const live = this.#live.get(ticket);
    if (live === undefined || live.slow) return [];
    live.slow = true;
    return live.go === undefined ? [] : [{ kind: "pass-pause", go: live.go.number }];
  }

  ready(ticket: string): PassOutput[] {
    const live = this.#live.get(ticket);
    if (live === undefined || !live.slow) return [];
    live.slow = false;
    return live.go === undefined ? [] : [{ kind: "pass-resume", go: live.go.number }];
  }

  /** The last look before the first byte: connecting may have taken long, and this process may have slept. */
  mayStart(number: number, now: number): string | undefined {
    const go = this.#gos.get(number);
    if (go === undefined) return "it is not wanted any more";
    const { runner, incarnation } = go.chosen;
    if (now >= go.until - constants.worthLeast) return "too little time is left";
    if (!this.#fleet.serves(now)) return "this node may not serve now";
    if (this.#fleet.isClosed(runner, incarnation) || !this.#choice.stands(go.chosen, now))
      return "the runner is gone";
    go.began = true;
    go.window ??= this.#usage?.windowAt(now);
    go.heardAt = now;
    return undefined;
  }

  goEvent(number: number, event: PassEvent, now: number): PassOutput[] {
    const go = this.#gos.get(number);
    if (go === undefined) return [];
    go.heardAt = now;
    const outputs: PassOutput[] = [];
    switch (event.kind) {
      case "event":
        this.#event(go, event.number, event.bytes, now, outputs);
        return outputs;
      case "data":
        this.#data(go, event.bytes, outputs);
        return outputs;
      case "head":
        this.#head(go, event.status, event.headers, event.stamped, now, outputs);
        break;
      case "end":
        this.#end(go, now, outputs);
        break;
      case "unsent":
        go.live.unsent += 1;
        go.live.failure = { kind: "unsent", reason: event.reason };
        this.#part(go, "unsent", undefined, now);
        this.#goOn(go.live, now, outputs);
        break;
      case "refused":
        go.live.sent += 1;
        go.live.failure = { kind: event.otherRunner ? "other-runner" : "no-seat" };
        if (event.retryAfter !== undefined)
          go.live.retryAfter = Math.min(event.retryAfter, go.live.retryAfter ?? event.retryAfter);
        this.#part(go, "refused", event.retryAfter, now);
        this.#goOn(go.live, now, outputs);
        break;
      case "broken":
        this.#broken(go, event.reason, now, outputs);
        break;
    }
    return this.#look(now, outputs);
  }

  beat(now: number): PassOutput[] {
    const outputs: PassOutput[] = [];
    /** After a sleep of this process signs may wait to be read. */
    this.#sleep.observe(now);
    const awake = this.#sleep.awakeFor(now) > constants.rescueAfter;
    for (const live of this.#live.values()) {
      if (awake && now < live.deadline && live.repeatable && live.go !== undefined)
        this.#rescue(live, live.go, now, outputs);
      if (now < live.deadline) continue;
      live.failure = { kind: "time-up" };
      if (live.go?.began === true) live.mayHaveRun = true;
      this.#giveUp(live, now, outputs);
    }
    return this.#look(now, outputs);
  }

  /** What may be repeated goes on elsewhere when its runner gives no sign at all, on any work: it is dark, so nobody is at work on it. */
  #rescue(live: Live, go: Go, now: number, outputs: PassOutput[]): void {
    if (
      !go.began ||
      now - go.heardAt < constants.rescueAfter ||
      !this.#mayTry(live, now, 1) ||
      !this.#choice.isQuiet(go.number, now)
    )
      return;
    if (live.opened && (live.passage.kind !== "stream" || !live.numbered)) return;
    this.counts.passRescued += 1;
    this.#spoilt(go, "the runner gives no sign", now, outputs);
  }

  #head(
    go: Go,
    status: number,
    headers: readonly string[],
    stamped: boolean,
    now: number,
    outputs: PassOutput[],
  ): void {
    const { live } = go;
    if ((status >= 200 && status < 300 && !stamped) || promises.has(status))
      return this.#spoilt(
        go,
        "the runner's result bears no stamp, or promises what it may not",
        now,
        outputs,
      );
    /** Any other answer shows that the runner had begun when it was sent there; a stream begins with its first event. */
    if (live.passage.kind !== "stream") this.#countStart(live, go.window);
    /** Of a run that goes on for another only its events count. */
    if (live.opened && (status < 200 || status >= 300))
      return this.#spoilt(go, `the runner answered ${status}`, now, outputs);
    if (status >= 500 && live.repeatable && this.#mayTry(live, now, 1)) {
      live.sent += 1;
      live.mayHaveRun = true;
      live.failure = { kind: "runner-status", status };
      /** The rest of it is read away by the link, whose connection stays good. */
      this.#part(go, "failed", undefined, now);
      return this.#goOn(live, now, outputs);
    }
    go.head = { status, headers };
    if (live.passage.kind === "stream" && status < 300) this.#choice.sign(go.number, now);
    else this.#choice.first(go.number, now);
  }

  /** A request counts once, in the window in which a runner first began to work on it (§14.2). */
  #countStart(live: Live, window: number | undefined): void {
    if (live.isCounted || live.tenant === undefined || window === undefined) return;
    live.isCounted = true;
    this.#usage?.began(live.tenant, window);
  }

  #event(
    go: Go,
    number: number | undefined,
    bytes: Uint8Array,
    now: number,
    outputs: PassOutput[],
  ): void {
    const { live } = go;
    if (number === undefined) live.numbered = false;
    /** A run that goes on for another may tell again what came before. */
    else if (live.last !== undefined && number <= live.last) return;
    else live.last = number;
    if (go.size === 0) {
      this.#choice.first(go.number, now);
      this.#countStart(live, this.#usage?.windowAt(now));
    } else this.#choice.sign(go.number, now);
    go.size += bytes.length;
    this.#open(go, outputs);
    outputs.push({ kind: "pass-bytes", ticket: live.ticket, bytes });
  }

  #data(go: Go, bytes: Uint8Array, outputs: PassOutput[]): void {
    const { live } = go;
    if (live.opened) {
      outputs.push({ kind: "pass-bytes", ticket: live.ticket, bytes });
      return;
    }
    go.kept.push(bytes);
    go.size += bytes.length;
    if (go.size <= constants.wholeMost) return;
    this.#open(go, outputs);
    for (const each of go.kept)
      outputs.push({ kind: "pass-bytes", ticket: live.ticket, bytes: each });
    go.kept = [];
  }

  #open(go: Go, outputs: PassOutput[]): void {
    if (go.live.opened) return;
    go.live.opened = true;
    outputs.push({
      kind: "pass-head",
      ticket: go.live.ticket,
      status: go.head!.status,
      headers: go.head!.headers,
    });
  }

  #end(go: Go, now: number, outputs: PassOutput[]): void {
    const { live } = go;
    if (go.head === undefined) return this.#broken(go, "the result had no head", now, outputs);
    const { status } = go.head;
    this.#open(go, outputs);
    for (const bytes of go.kept) outputs.push({ kind: "pass-bytes", ticket: live.ticket, bytes });
    outputs.push({ kind: "pass-end", ticket: live.ticket });
    if (status >= 200 && status < 300) this.counts.passedWhole += 1;
    else this.counts.passedOn += 1;
    this.#part(go, status >= 500 ? "failed" : "done", undefined, now);
    this.#close(live, "done", now, outputs);
  }

  /** A result that must not be shown: its connection is ended. */
  #spoilt(go: Go, reason: string, now: number, outputs: PassOutput[]): void {
    outputs.push({ kind: "pass-abandon", go: go.number });
    this.#broken(go, reason, now, outputs);
  }

  #broken(go: Go, reason: string, now: number, outputs: PassOutput[]): void {
    const { live } = go;
    live.sent += 1;
    live.mayHaveRun = true;
    live.failure = { kind: "broken", reason };
    this.#part(go, "broken", undefined, now);
    if (live.repeatable && (!live.opened || (live.passage.kind === "stream" && live.numbered)))
      return this.#goOn(live, now, outputs);
    this.#giveUp(live, now, outputs);
  }

  /** Takes a go off its request. */
  #part(go: Go, how: GoEnd, retryAfter: number | undefined, now: number): void {
    this.#gos.delete(go.number);
    if (go.live.go === go) go.live.go = undefined;
    this.#choice.end(go.number, how, retryAfter, now);
  }

  #mayTry(live: Live, now: number, more: number): boolean {
    return (
      live.sent + more < live.passage.goesMost &&
      live.unsent < constants.unsentMost &&
      now < live.deadline - constants.worthLeast
    );
  }

  /** At another runner, or with our own last word at once. */
  #goOn(live: Live, now: number, outputs: PassOutput[]): void {
    if (this.#mayTry(live, now, 0)) this.#send(live, now, outputs);
    else this.#giveUp(live, now, outputs);
  }

  #send(live: Live, now: number, outputs: PassOutput[]): void {
    const chosen = this.#choose(live, now);
    if (chosen === undefined) {
      if (now >= live.waitsUntil) return this.#giveUp(live, now, outputs);
      this.counts.passWaited += this.#waiting.has(live) ? 0 : 1;
      this.#waiting.add(live);
      return;
    }
    this.#waiting.delete(live);
    const number = this.#choice.nextGo();
    const go: Go = {
      number,
      live,
      chosen,
      until: live.deadline,
      began: false,
      heardAt: now,
      head: undefined,
      kept: [],
      size: 0,
    };
    live.go = go;
    live.tried.add(chosen.runner);
    this.#gos.set(number, go);
    this.#choice.begin(number, chosen.runner, live.request, false, now);
    this.counts.passGos += 1;
    if (live.opened) this.counts.passResumed += 1;
    const work = workOf(live, chosen.runner);
    outputs.push({ kind: "pass-run", go: number, address: chosen.address, work });
    if (live.slow) outputs.push({ kind: "pass-pause", go: number });
  }

  /** In the pool that its share of the weights gave it, else in another one of the passage. */
  #choose(live: Live, now: number): Chosen | undefined {
    const chosen = this.#choice.choose(live.pool, live.request, live.tried, false, now);
    if (chosen !== undefined || live.passage.pools.length === 1) return chosen;
    for (const { pool, weight } of live.passage.pools) {
      if (weight <= 0 || pool === live.pool) continue;
      const other = this.#choice.choose(pool, live.request, live.tried, false, now);
      if (other !== undefined) return other;
    }
    return undefined;
  }

  /** Those that wait for a runner, first come first. */
  #look(now: number, outputs: PassOutput[]): PassOutput[] {
    for (const live of this.#waiting) this.#send(live, now, outputs);
    return outputs;
  }

  /** The last word at once: a promise only where it surely did not run and never will. */
  #giveUp(live: Live, now: number, outputs: PassOutput[]): void {
    const { ticket } = live;
    this.#close(live, "broken", now, outputs);
    if (live.opened) {
      this.counts.passCut += 1;
      outputs.push({ kind: "pass-cut", ticket });
    } else if (live.mayHaveRun) {
      this.counts.passUnsure += 1;
      outputs.push({
        kind: "pass-refused",
        ticket,
        status: now >= live.deadline ? 504 : 502,
        retryAfter: undefined,
        reason: describeFailure(live.failure),
      });
    } else {
      outputs.push(
        ...this.#turnAway(
          ticket,
          503,
          live.retryAfter ??
            (this.#choice.knows(live.pool, now) ? constants.seatAfter : constants.knownAfter),
          describeFailure(live.failure),
        ),
      );
    }
  }

  #close(live: Live, how: GoEnd, now: number, outputs: PassOutput[]): void {
    this.#live.delete(live.ticket);
    this.#bytes -= live.request.body.length;
    this.#waiting.delete(live);
    const { go } = live;
    if (go === undefined) return;
    outputs.push({ kind: "pass-abandon", go: go.number });
    this.#part(go, how, undefined, now);
  }

  #turnAway(
    ticket: string,
    status: 401 | 404 | 503,
    retryAfter: number | undefined,
    reason: string,
  ): PassOutput[] {
    if (status === 503) this.counts.passRefused += 1;
    return [{ kind: "pass-refused", ticket, status, retryAfter, reason }];
  }
}

/** What goes to a runner for a live request. */
function workOf(live: Live, runner: string): PassWork {
  return {
    request: live.request,
    runner,
    rank: Math.min(LIVE_RANK_MOST, live.rank),
    until: live.deadline,
    resumeAfter: live.last,
    events: live.passage.kind === "stream",
    repeatable: live.repeatable,
    tenancy: live.tenancy,
  };
}

/** By weight, and for the same request always the same. */
function poolOf(passage: Passage, id: string): string {
  const { pools } = passage;
  if (pools.length === 1) return pools[0]!.pool;
  let sum = 0;
  for (const { weight } of pools) sum += weight;
  let place = (hashOf(id) / 0x1_0000_0000) * sum;
  let last = pools[0]!.pool;
  for (const { pool, weight } of pools) {
    if (weight <= 0) continue;
    last = pool;
    place -= weight;
    if (place < 0) return pool;
  }
  return last;
}
