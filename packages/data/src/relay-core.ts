/**
 * Relays live requests on passages to runners, retries them where that is safe, and streams the result back. A pure state
 * machine without I/O (docs/design.md §13.5).
 */
import { constants, type Policy, type Tenancy } from "@chutewick/parts";
import type { Passage } from "@chutewick/control";
import { hashText, type RunnerBalancer, type ChosenRunner, type AttemptOutcome } from "./choice.js";
import type { PassageEvent, PassageRequest, PassageWork } from "./dialect.js";
import type { FleetView } from "./fleet-view.js";
import type { PassageOutput } from "./pass.js";
import { PassageIndex } from "./passage-index.js";
import { describeFailure, type RelayFailure } from "./relay-failure.js";
import { SleepDetector } from "./sleep-detector.js";
import { TenantDirectory, type Identity } from "./tenants.js";
import type { UsageCounter } from "./usage/usage-counter.js";

/**
 * Statuses by which this node promises its caller that the request did not run. From a runner they are trusted only together
 * with its explicit statement that it did not run the request, which arrives as a `refused` event.
 */
const notRunStatuses = new Set([408, 421, 429, 503]);

/** A request that passed the checks on arrival, with its passage and the identity of its caller. */
interface Admitted {
  readonly request: PassageRequest;
  readonly passage: Passage;
  readonly identity: Identity;
}

/** Highest rank of a live request; the ranks above it belong to items of lots. */
const MAX_LIVE_RANK = 4;

/** A live request under way, from its arrival until its caller has the last output. */
interface RelayedRequest {
  readonly ticket: string;
  readonly request: PassageRequest;
  readonly passage: Passage;
  readonly pool: string;
  /** Name of the tenant on whose behalf the request is served; undefined where the configuration names no tenants. */
  readonly tenant: string | undefined;
  readonly tenancy: Tenancy | undefined;
  /** Priority; 0 is served first. */
  readonly rank: number;
  readonly arrivedAt: number;
  /** Monotonic time (ms) by which the request must be answered. */
  readonly deadline: number;
  /** Monotonic time (ms) until which the request may wait for a free runner. */
  readonly waitDeadline: number;
  /** Whether the request may safely run more than once. */
  readonly repeatable: boolean;
  readonly triedRunners: Set<string>;
  /** Attempts of which bytes were sent to a runner; counted when they end. */
  sentAttempts: number;
  /** Attempts that failed before their first byte was sent. */
  unsent: number;
  /** The attempt under way. */
  go: Attempt | undefined;
  mayHaveRun: boolean;
  /** Shortest Retry-After (s) of the runners that refused the request. */
  retryAfter: number | undefined;
  /** Whether the caller has received the response head. From then on the result is completed or cut off, never replaced. */
  opened: boolean;
  /** Number of the last event that was forwarded to the caller. */
  last: number | undefined;
  /** Whether every event so far had a number, so that another runner can resume the stream. */
  allEventsNumbered: boolean;
  /** Whether the caller reads slower than the runner sends, so that reading from the runner is paused. */
  isCallerSlow: boolean;
  /** The most recent failure; reported to the caller when no further attempt is possible. */
  failure: RelayFailure;
  /** Whether usage has counted the request as started: a retry of the same request is not counted again. */
  isCounted: boolean;
}

/** One attempt to run a request on a runner. */
interface Attempt {
  readonly number: number;
  readonly live: RelayedRequest;
  readonly chosen: ChosenRunner;
  /** Monotonic time (ms) after which the attempt is of no use. */
  readonly until: number;
  /** Whether sending was permitted; from then on the request may have run. */
  hasStarted: boolean;
  /** Usage window in which the attempt was sent; undefined where no usage is counted. */
  window?: number | undefined;
  /** Monotonic time (ms) of the last event of this attempt. */
  heardAt: number;
  head: { readonly status: number; readonly headers: readonly string[] } | undefined;
  /** Body of a result that is not a stream, buffered until it is complete or too large to buffer. */
  bufferedChunks: Uint8Array[];
  receivedBytes: number;
}

/** The relay of one access node: all live requests on passages that it has under way. */
export class RelayCore {
  readonly passages: PassageIndex;
  readonly tenants: TenantDirectory;
  #fleet: FleetView;
  #balancer: RunnerBalancer;
  #policy: Policy;
  #usage: UsageCounter | undefined;
  #requests = new Map<string, RelayedRequest>();
  #attempts = new Map<number, Attempt>();
  /** Requests that wait for a free runner, in order of arrival. */
  #waiting = new Set<RelayedRequest>();
  #refusesNew = false;
  #sleepDetector = new SleepDetector(Number.POSITIVE_INFINITY);
  /** Total size of the bodies of the requests under way. */
  #bodyBytes = 0;
  /** Counters by the names that /status shows. */
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

  constructor(fleet: FleetView, choice: RunnerBalancer, policy: Policy, usage?: UsageCounter) {
    this.#fleet = fleet;
    this.passages = new PassageIndex(fleet);
    this.tenants = new TenantDirectory(fleet);
    this.#balancer = choice;
    this.#policy = policy;
    this.#usage = usage;
  }

  /** Number of requests under way. */
  get requestCount(): number {
    return this.#requests.size;
  }

  hasAttempt(attempt: number): boolean {
    return this.#attempts.has(attempt);
  }

  /** Refuses new requests from now on, since they may outlast the planned stop; requests under way continue. */
  refuseNew(): void {
    this.#refusesNew = true;
  }

  /** Ends all requests under way at the end of a planned stop, each with a final answer. */
  giveLastAnswers(now: number): PassageOutput[] {
    const outputs: PassageOutput[] = [];
    for (const live of [...this.#requests.values()]) {
      live.failure = { kind: "node-ends" };
      if (live.go?.hasStarted === true) live.mayHaveRun = true;
      this.#giveUp(live, now, outputs);
    }
    return outputs;
  }

  /** Admits or refuses a new request. */
  arrive(ticket: string, request: PassageRequest, now: number): PassageOutput[] {
    this.counts.passed += 1;
    if (this.#refusesNew)
      return this.#refuse(ticket, 503, constants.retryAfter, "this node is about to stop");
    if (!this.#fleet.serves(now))
      return this.#refuse(
        ticket,
        503,
        constants.noRunnerRetryAfterSeconds,
        "this node may not serve now",
      );
    const found = this.passages.find(request.host, request.path);
    if (found === undefined) return this.#refuseUnknownPassage(ticket, now);
    const identity = this.tenants.identify(found.passage, request.credential);
    if (identity === undefined) return this.#refuseUnauthorized(ticket, now);
    if (this.#bodyBytes + request.body.length > this.#policy.memory * constants.bodyBytesPerMb)
      return this.#refuse(ticket, 503, constants.retryAfter, "this node holds as much as it may");
    return this.#admit(ticket, { request, passage: found.passage, identity }, now);
  }

  #admit(ticket: string, { request, passage, identity }: Admitted, now: number): PassageOutput[] {
    const { tenancy, rank } = identity;
    const timeout = request.patience ?? passage.guard;
    const deadline = now + (timeout >= 0 ? Math.min(passage.guard, timeout) : passage.guard);
    const wait =
      passage.aim > 0 ? passage.aim * constants.runnerWaitFraction : constants.defaultRunnerWaitMs;
    const live: RelayedRequest = {
      ticket,
      request,
      passage,
      pool: poolOf(passage, request.id),
      tenant: tenancy?.tenant,
      tenancy,
      rank: rank ?? passage.rank,
      arrivedAt: now,
      deadline,
      waitDeadline: Math.min(now + wait, deadline - constants.minUsefulTimeMs),
      repeatable: passage.kind === "safe" || (passage.kind === "stream" && passage.resumable),
      triedRunners: new Set(),
      sentAttempts: 0,
      unsent: 0,
      go: undefined,
      mayHaveRun: false,
      retryAfter: undefined,
      opened: false,
      last: request.resumeAfter,
      allEventsNumbered: true,
      isCallerSlow: false,
      failure: { kind: "no-runner-known" },
      isCounted: false,
    };
    this.#requests.set(ticket, live);
    this.#bodyBytes += request.body.length;
    const outputs: PassageOutput[] = [];
    this.#send(live, now, outputs);
    return outputs;
  }

  /**
   * Only a node that holds a lease is certain to have every acknowledged change. Without one it answers 503 and not 404, since
   * it may not know a passage that was added.
   */
  #refuseUnknownPassage(ticket: string, now: number): PassageOutput[] {
    if (!this.#fleet.holds(now))
      return this.#refuse(
        ticket,
        503,
        constants.noRunnerRetryAfterSeconds,
        "there is no passage at this host and path in a configuration that may be out of date",
      );
    this.counts.passUnknown += 1;
    return this.#refuse(ticket, 404, undefined, "there is no passage at this host and path");
  }

  /** Answers 503 and not 401 without a lease, since the node may not know a credential that was added. */
  #refuseUnauthorized(ticket: string, now: number): PassageOutput[] {
    if (!this.#fleet.holds(now))
      return this.#refuse(
        ticket,
        503,
        constants.noRunnerRetryAfterSeconds,
        "no tenant holds this credential in a configuration that may be out of date",
      );
    this.counts.passUnauthorized += 1;
    return this.#refuse(ticket, 401, undefined, "a credential of a tenant is needed here");
  }

  /** Abandons the request of a caller that disconnected. */
  callerLeft(ticket: string, now: number): PassageOutput[] {
    const live = this.#requests.get(ticket);
    if (live === undefined) return [];
    this.counts.passLeft += 1;
    const outputs: PassageOutput[] = [];
    this.#finish(live, "left", now, outputs);
    return this.#dispatchWaiting(now, outputs);
  }

  /** Pauses reading from the runner while the caller reads slowly. */
  pause(ticket: string): PassageOutput[] {
    const live = this.#requests.get(ticket);
    if (live === undefined || live.isCallerSlow) return [];
    live.isCallerSlow = true;
    return live.go === undefined ? [] : [{ kind: "pass-pause", go: live.go.number }];
  }

  /** Resumes reading from the runner once the caller reads again. */
  resume(ticket: string): PassageOutput[] {
    const live = this.#requests.get(ticket);
    if (live === undefined || !live.isCallerSlow) return [];
    live.isCallerSlow = false;
    return live.go === undefined ? [] : [{ kind: "pass-resume", go: live.go.number }];
  }

  /**
   * Checks an attempt right before its first byte is sent, because connecting may have taken long and this process may have been
   * suspended.
   * @returns why it must not be sent; undefined where it may be
   */
  mayStart(number: number, now: number): string | undefined {
    const attempt = this.#attempts.get(number);
    if (attempt === undefined) return "it is not wanted any more";
    const { runner, incarnation } = attempt.chosen;
    if (now >= attempt.until - constants.minUsefulTimeMs) return "too little time is left";
    if (!this.#fleet.serves(now)) return "this node may not serve now";
    if (
      this.#fleet.isClosed(runner, incarnation) ||
      !this.#balancer.isAnnounced(attempt.chosen, now)
    )
      return "the runner is gone";
    attempt.hasStarted = true;
    attempt.window ??= this.#usage?.windowAt(now);
    attempt.heardAt = now;
    return undefined;
  }

  /** Handles an event of the connection on which an attempt runs. */
  handleAttemptEvent(number: number, event: PassageEvent, now: number): PassageOutput[] {
    const run = this.#attempts.get(number);
    if (run === undefined) return [];
    run.heardAt = now;
    const outputs: PassageOutput[] = [];
    switch (event.kind) {
      case "event":
        this.#handleEvent(run, event.number, event.bytes, now, outputs);
        return outputs;
      case "data":
        this.#handleData(run, event.bytes, outputs);
        return outputs;
      case "head":
        this.#handleHead(run, event.status, event.headers, event.stamped, now, outputs);
        break;
      case "end":
        this.#handleEnd(run, now, outputs);
        break;
      case "unsent":
        run.live.unsent += 1;
        run.live.failure = { kind: "unsent", reason: event.reason };
        this.#endAttempt(run, "unsent", undefined, now);
        this.#retry(run.live, now, outputs);
        break;
      case "refused":
        run.live.sentAttempts += 1;
        run.live.failure = { kind: event.otherRunner ? "other-runner" : "no-seat" };
        if (event.retryAfter !== undefined)
          run.live.retryAfter = Math.min(event.retryAfter, run.live.retryAfter ?? event.retryAfter);
        this.#endAttempt(run, "refused", event.retryAfter, now);
        this.#retry(run.live, now, outputs);
        break;
      case "broken":
        this.#handleBroken(run, event.reason, now, outputs);
        break;
    }
    return this.#dispatchWaiting(now, outputs);
  }

  /** Ends requests that are past their deadline, and moves requests away from silent runners. */
  tick(now: number): PassageOutput[] {
    const outputs: PassageOutput[] = [];
    // After a suspension of this process, events of live runners may still wait to be read.
    this.#sleepDetector.observe(now);
    const awake = this.#sleepDetector.awakeFor(now) > constants.rescueDelayMs;
    for (const live of this.#requests.values()) {
      if (awake && now < live.deadline && live.repeatable && live.go !== undefined)
        this.#rescueIfSilent(live, live.go, now, outputs);
      if (now < live.deadline) continue;
      live.failure = { kind: "time-up" };
      if (live.go?.hasStarted === true) live.mayHaveRun = true;
      this.#giveUp(live, now, outputs);
    }
    return this.#dispatchWaiting(now, outputs);
  }

  /**
   * Moves a repeatable request to another runner when its runner has sent nothing on any of its work: the runner is unreachable,
   * and so nobody works on the request.
   */
  #rescueIfSilent(
    live: RelayedRequest,
    attempt: Attempt,
    now: number,
    outputs: PassageOutput[],
  ): void {
    if (
      !attempt.hasStarted ||
      now - attempt.heardAt < constants.rescueDelayMs ||
      !this.#mayAttempt(live, now, 1) ||
      !this.#balancer.isRunnerSilent(attempt.number, now)
    )
      return;
    if (live.opened && (live.passage.kind !== "stream" || !live.allEventsNumbered)) return;
    this.counts.passRescued += 1;
    this.#discardResult(attempt, "the runner gives no sign", now, outputs);
  }

  #handleHead(
    attempt: Attempt,
    status: number,
    headers: readonly string[],
    stamped: boolean,
    now: number,
    outputs: PassageOutput[],
  ): void {
    const { live } = attempt;
    if ((status >= 200 && status < 300 && !stamped) || notRunStatuses.has(status))
      return this.#discardResult(
        attempt,
        "the runner's result bears no stamp, or promises what it may not",
        now,
        outputs,
      );
    // Any other response shows that the runner started the request; a stream counts as started with its first event.
    if (live.passage.kind !== "stream") this.#countStart(live, attempt.window);
    // The caller already has a head, so a resumed attempt can only contribute events.
    if (live.opened && (status < 200 || status >= 300))
      return this.#discardResult(attempt, `the runner answered ${status}`, now, outputs);
    if (status >= 500 && live.repeatable && this.#mayAttempt(live, now, 1)) {
      live.sentAttempts += 1;
      live.mayHaveRun = true;
      live.failure = { kind: "runner-status", status };
      // The rest of the response is read and discarded, so the connection can be reused.
      this.#endAttempt(attempt, "failed", undefined, now);
      return this.#retry(live, now, outputs);
    }
    attempt.head = { status, headers };
    if (live.passage.kind === "stream" && status < 300)
      this.#balancer.recordActivity(attempt.number, now);
    else this.#balancer.recordFirstOutput(attempt.number, now);
  }

  /** Counts a request once, in the usage window in which a runner first started it (docs/design.md §14.2). */
  #countStart(live: RelayedRequest, window: number | undefined): void {
    if (live.isCounted || live.tenant === undefined || window === undefined) return;
    live.isCounted = true;
    this.#usage?.recordStart(live.tenant, window);
  }

  #handleEvent(
    attempt: Attempt,
    number: number | undefined,
    bytes: Uint8Array,
    now: number,
    outputs: PassageOutput[],
  ): void {
    const { live } = attempt;
    if (number === undefined) live.allEventsNumbered = false;
    // A resumed attempt may repeat events that were already forwarded.
    else if (live.last !== undefined && number <= live.last) return;
    else live.last = number;
    if (attempt.receivedBytes === 0) {
      this.#balancer.recordFirstOutput(attempt.number, now);
      this.#countStart(live, this.#usage?.windowAt(now));
    } else this.#balancer.recordActivity(attempt.number, now);
    attempt.receivedBytes += bytes.length;
    this.#sendHead(attempt, outputs);
    outputs.push({ kind: "pass-bytes", ticket: live.ticket, bytes });
  }

  /** Forwards a chunk; before the head is sent, buffers it as long as the result is small enough. */
  #handleData(attempt: Attempt, bytes: Uint8Array, outputs: PassageOutput[]): void {
    const { live } = attempt;
    if (live.opened) {
      outputs.push({ kind: "pass-bytes", ticket: live.ticket, bytes });
      return;
    }
    attempt.bufferedChunks.push(bytes);
    attempt.receivedBytes += bytes.length;
    if (attempt.receivedBytes <= constants.maxBufferedResultBytes) return;
    this.#sendHead(attempt, outputs);
    for (const each of attempt.bufferedChunks)
      outputs.push({ kind: "pass-bytes", ticket: live.ticket, bytes: each });
    attempt.bufferedChunks = [];
  }

  /** Sends the response head to the caller, once. */
  #sendHead(attempt: Attempt, outputs: PassageOutput[]): void {
    if (attempt.live.opened) return;
    attempt.live.opened = true;
    outputs.push({
      kind: "pass-head",
      ticket: attempt.live.ticket,
      status: attempt.head!.status,
      headers: attempt.head!.headers,
    });
  }

  /** Completes the request with the runner's whole result. */
  #handleEnd(attempt: Attempt, now: number, outputs: PassageOutput[]): void {
    const { live } = attempt;
    if (attempt.head === undefined)
      return this.#handleBroken(attempt, "the result had no head", now, outputs);
    const { status } = attempt.head;
    this.#sendHead(attempt, outputs);
    for (const bytes of attempt.bufferedChunks)
      outputs.push({ kind: "pass-bytes", ticket: live.ticket, bytes });
    outputs.push({ kind: "pass-end", ticket: live.ticket });
    if (status >= 200 && status < 300) this.counts.passedWhole += 1;
    else this.counts.passedOn += 1;
    this.#endAttempt(attempt, status >= 500 ? "failed" : "done", undefined, now);
    this.#finish(live, "done", now, outputs);
  }

  /** Rejects a result that must not reach the caller, and closes its connection. */
  #discardResult(attempt: Attempt, reason: string, now: number, outputs: PassageOutput[]): void {
    outputs.push({ kind: "pass-abandon", go: attempt.number });
    this.#handleBroken(attempt, reason, now, outputs);
  }

  /** Ends an attempt without a usable result: a repeatable request is retried, any other one fails. */
  #handleBroken(attempt: Attempt, reason: string, now: number, outputs: PassageOutput[]): void {
    const { live } = attempt;
    live.sentAttempts += 1;
    live.mayHaveRun = true;
    live.failure = { kind: "broken", reason };
    this.#endAttempt(attempt, "broken", undefined, now);
    if (
      live.repeatable &&
      (!live.opened || (live.passage.kind === "stream" && live.allEventsNumbered))
    )
      return this.#retry(live, now, outputs);
    this.#giveUp(live, now, outputs);
  }

  /** Detaches an attempt from its request and reports its outcome to the balancer. */
  #endAttempt(
    attempt: Attempt,
    outcome: AttemptOutcome,
    retryAfter: number | undefined,
    now: number,
  ): void {
    this.#attempts.delete(attempt.number);
    if (attempt.live.go === attempt) attempt.live.go = undefined;
    this.#balancer.recordEnd(attempt.number, outcome, retryAfter, now);
  }

  /** Whether another attempt is allowed, with `addedAttempts` counted on top of the sent ones. */
  #mayAttempt(live: RelayedRequest, now: number, addedAttempts: number): boolean {
    return (
      live.sentAttempts + addedAttempts < live.passage.goesMost &&
      live.unsent < constants.maxUnsentAttempts &&
      now < live.deadline - constants.minUsefulTimeMs
    );
  }

  /** Tries another runner, or fails the request at once where no attempt is left. */
  #retry(live: RelayedRequest, now: number, outputs: PassageOutput[]): void {
    if (this.#mayAttempt(live, now, 0)) this.#send(live, now, outputs);
    else this.#giveUp(live, now, outputs);
  }

  /** Sends a request to a runner, or lets it wait for one. */
  #send(live: RelayedRequest, now: number, outputs: PassageOutput[]): void {
    const chosen = this.#choose(live, now);
    if (chosen === undefined) {
      if (now >= live.waitDeadline) return this.#giveUp(live, now, outputs);
      this.counts.passWaited += this.#waiting.has(live) ? 0 : 1;
      this.#waiting.add(live);
      return;
    }
    this.#waiting.delete(live);
    const number = this.#balancer.nextAttemptNumber();
    const attempt: Attempt = {
      number,
      live,
      chosen,
      until: live.deadline,
      hasStarted: false,
      heardAt: now,
      head: undefined,
      bufferedChunks: [],
      receivedBytes: 0,
    };
    live.go = attempt;
    live.triedRunners.add(chosen.runner);
    this.#attempts.set(number, attempt);
    this.#balancer.recordStart(number, chosen.runner, live.request, false, now);
    this.counts.passGos += 1;
    if (live.opened) this.counts.passResumed += 1;
    const work = workOf(live, chosen.runner);
    outputs.push({ kind: "pass-run", go: number, address: chosen.address, work });
    if (live.isCallerSlow) outputs.push({ kind: "pass-pause", go: number });
  }

  /** Chooses a runner in the pool that the weights assigned, else in another pool of the passage. */
  #choose(live: RelayedRequest, now: number): ChosenRunner | undefined {
    const chosen = this.#balancer.choose(live.pool, live.request, live.triedRunners, false, now);
    if (chosen !== undefined || live.passage.pools.length === 1) return chosen;
    for (const { pool, weight } of live.passage.pools) {
      if (weight <= 0 || pool === live.pool) continue;
      const other = this.#balancer.choose(pool, live.request, live.triedRunners, false, now);
      if (other !== undefined) return other;
    }
    return undefined;
  }

  /** Tries the requests that wait for a runner, in order of arrival. */
  #dispatchWaiting(now: number, outputs: PassageOutput[]): PassageOutput[] {
    for (const live of this.#waiting) this.#send(live, now, outputs);
    return outputs;
  }

  /** Fails a request. The answer promises that it did not run only where it certainly did not and never will. */
  #giveUp(live: RelayedRequest, now: number, outputs: PassageOutput[]): void {
    const { ticket } = live;
    this.#finish(live, "broken", now, outputs);
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
        ...this.#refuse(
          ticket,
          503,
          live.retryAfter ??
            (this.#balancer.hasRunners(live.pool, now)
              ? constants.slotRetryAfterSeconds
              : constants.noRunnerRetryAfterSeconds),
          describeFailure(live.failure),
        ),
      );
    }
  }

  /** Forgets a request and abandons its attempt, if one is under way. */
  #finish(
    live: RelayedRequest,
    outcome: AttemptOutcome,
    now: number,
    outputs: PassageOutput[],
  ): void {
    this.#requests.delete(live.ticket);
    this.#bodyBytes -= live.request.body.length;
    this.#waiting.delete(live);
    const { go: attempt } = live;
    if (attempt === undefined) return;
    outputs.push({ kind: "pass-abandon", go: attempt.number });
    this.#endAttempt(attempt, outcome, undefined, now);
  }

  #refuse(
    ticket: string,
    status: 401 | 404 | 503,
    retryAfter: number | undefined,
    reason: string,
  ): PassageOutput[] {
    if (status === 503) this.counts.passRefused += 1;
    return [{ kind: "pass-refused", ticket, status, retryAfter, reason }];
  }
}

/** The work that is sent to a runner for a live request. */
function workOf(live: RelayedRequest, runner: string): PassageWork {
  return {
    request: live.request,
    runner,
    rank: Math.min(MAX_LIVE_RANK, live.rank),
    until: live.deadline,
    resumeAfter: live.last,
    events: live.passage.kind === "stream",
    repeatable: live.repeatable,
    tenancy: live.tenancy,
  };
}

/** Chooses a pool by weight; the same request id always gives the same pool. */
function poolOf(passage: Passage, id: string): string {
  const { pools } = passage;
  if (pools.length === 1) return pools[0]!.pool;
  let sum = 0;
  for (const { weight } of pools) sum += weight;
  let remaining = (hashText(id) / 0x1_0000_0000) * sum;
  let fallback = pools[0]!.pool;
  for (const { pool, weight } of pools) {
    if (weight <= 0) continue;
    fallback = pool;
    remaining -= weight;
    if (remaining < 0) return pool;
  }
  return fallback;
}
