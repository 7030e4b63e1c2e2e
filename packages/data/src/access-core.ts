/** The core of an access node, without I/O: it takes events and returns commands for its shell (docs/design.md §5, §6, §13). */
import { policy, type Policy, type RunnerDescriptor, type NodeReport } from "@chutewick/parts";
import { newAccessCounts, type AccessCounts } from "./access-counts.js";
import type { AccessOutput, RunnerEvent } from "./access-output.js";
import { Admission } from "./admission.js";
import { Attempts } from "./attempts.js";
import { RunnerBalancer } from "./choice.js";
import { ControlCalls } from "./control-calls.js";
import type { PassageEvent } from "./dialect.js";
import { LiveRequests } from "./live-requests.js";
import { LotRequests } from "./lot-requests.js";
import { Membership, type NodeIdentity } from "./membership.js";
import { PassageLots } from "./pass-lots.js";
import { PendingCalls } from "./pending-calls.js";
import { PromptDispatcher } from "./prompt-dispatcher.js";
import type { DataMessage } from "./queue-messages.js";
import { RelayCore } from "./relay-core.js";
import { RunnerRegistrations } from "./runner-registrations.js";
import { RunnerSelection } from "./runner-selection.js";
import { AccessUsage } from "./usage/access-usage.js";

/** Status of an access node, as operators see it. */
export interface AccessStatus {
  readonly identity: string;
  readonly zone: string;
  /** Index of the last entry of the control feed that it applied. */
  readonly place: number;
  /** Version of its configuration. */
  readonly configuration: number;
  /** Remaining time (ms) of its lease. */
  readonly leaseLeft: number;
  /** Live requests under way. */
  readonly live: number;
  /** Attempts under way. */
  readonly gos: number;
  readonly counts: Readonly<Record<string, number>>;
  readonly runners: readonly RunnerDescriptor[];
}

/** One access node: dispatches events to the parts that handle them. */
export class AccessCore {
  readonly membership: Membership;
  /** Chooses the runners of requests on passages (docs/design.md §13.4). */
  readonly choice: RunnerBalancer;
  /** Lots (batch jobs) of passages (docs/design.md §13.7). */
  readonly lots: PassageLots;
  /** Live requests on passages (docs/design.md §13.5). */
  readonly relay: RelayCore;
  /** Counts started requests by usage window and tenant (docs/design.md §14.2). */
  readonly usage: AccessUsage;
  readonly counts: AccessCounts = newAccessCounts();
  #nodeIdentity: NodeIdentity;
  #pendingCalls: PendingCalls;
  #controlCalls: ControlCalls;
  #admission: Admission;
  #attempts: Attempts;
  #liveRequests: LiveRequests;
  #lotRequests: LotRequests;
  #registrations: RunnerRegistrations;
  #dispatcher: PromptDispatcher;
  #now: number;

  constructor(
    nodeIdentity: NodeIdentity,
    seeds: readonly string[],
    now: number,
    nodePolicy: Policy = policy.defaults,
  ) {
    this.#nodeIdentity = nodeIdentity;
    this.#now = now;
    const buildReport = (): NodeReport => this.#buildReport();
    const membership = new Membership(nodeIdentity, seeds, now, buildReport, nodePolicy);
    this.membership = membership;
    this.choice = new RunnerBalancer(membership, nodeIdentity);
    const pendingCalls = new PendingCalls(membership);
    const nextTicket = (): string => pendingCalls.ticket();
    this.#pendingCalls = pendingCalls;
    this.#controlCalls = new ControlCalls(membership, nextTicket);
    this.#admission = new Admission(membership);
    this.#attempts = new Attempts(membership);
    const dependencies = {
      membership,
      pendingCalls,
      controlCalls: this.#controlCalls,
      admission: this.#admission,
      attempts: this.#attempts,
      selection: new RunnerSelection(membership, this.#attempts),
      counts: this.counts,
    };
    this.#liveRequests = new LiveRequests(dependencies);
    this.#lotRequests = new LotRequests(dependencies);
    this.#registrations = new RunnerRegistrations(dependencies, now);
    this.#dispatcher = new PromptDispatcher(dependencies);
    this.usage = new AccessUsage(nodeIdentity.identity, nodePolicy.usageWindow);
    this.relay = new RelayCore(membership, this.choice, nodePolicy, this.usage.counter);
    this.lots = new PassageLots(membership, this.choice, pendingCalls, this.relay);
  }

  #buildReport(): NodeReport {
    return {
      runners: this.#registrations.cards(this.#now),
      lots: this.#attempts.promptsByRunner(),
      turnedAway: this.#liveRequests.unserved.countByModel(this.#now),
      burdens: this.choice.loads(),
    };
  }

  /** Number of requests, items and calls that a planned stop waits for. */
  get pendingCount(): number {
    return this.runningCount + this.#pendingCalls.size;
  }

  /** Number of requests and items under way. Calls to queue owners do not count: even an idle node always has dequeue calls there. */
  get runningCount(): number {
    return this.#attempts.size + this.relay.requestCount + this.lots.dispatcher.runningCount;
  }

  /** Begins a planned stop: no new work is fetched, and what is under way continues. */
  beginStop(now: number): AccessOutput[] {
    this.#admission.leave();
    this.lots.leave();
    return this.membership.leave(now);
  }

  /** Refuses all new requests and items, in the later part of a planned stop. */
  refuseNew(): void {
    this.relay.refuseNew();
    this.lots.refuseNew();
  }

  /** Handles a message from another node. */
  receive(message: DataMessage, from: string, now: number): AccessOutput[] {
    this.#now = now;
    switch (message.kind) {
      case "feed":
      case "feed-digest":
        if (!this.membership.receive(message, from, now)) return [];
        this.#dispatcher.clearBackoffs();
        this.lots.dispatcher.endPauses();
        return this.membership.sendHeartbeats(now);
      case "lease":
        this.usage.recordLease(from, message, now);
        this.membership.receive(message, from, now);
        return [];
      case "usage-taken":
        this.usage.taken(from, message);
        return [];
      case "controls":
      case "runners":
        this.membership.receive(message, from, now);
        return [];
      case "fellow-ask":
      case "fellow-tell":
        return this.membership.receiveFromPeer(message, from, now);
      case "queue-result":
        return this.#handleQueueResult(message, now);
      case "lot-ended":
        return this.lots.handleLotEnded(message.lot, now);
      case "control-result":
        return this.#controlCalls.handleOutcome(message.ticket, message.outcome, now);
      default:
        return [];
    }
  }

  #handleQueueResult(
    { ticket, outcome, held }: Extract<DataMessage, { kind: "queue-result" }>,
    now: number,
  ): AccessOutput[] {
    return (
      this.#pendingCalls.handleResult(ticket, outcome, now, held ?? 0) ??
      this.#dispatcher.handleLateResult(outcome, now)
    );
  }

  /** Runs periodic work: heartbeats, timeouts and retries. */
  tick(now: number, wallClock: number): AccessOutput[] {
    this.#now = now;
    this.#lotRequests.observeWallClock(wallClock);
    const outputs: AccessOutput[] = [
      ...this.membership.tick(now),
      ...this.#pendingCalls.beat(now),
      ...this.#controlCalls.beat(now),
      ...this.usage.tick(now, wallClock, this.membership.heartbeatSentAt === now),
    ];
    this.#registrations.tick(now);
    outputs.push(...this.#dispatcher.tick(now));
    outputs.push(...this.relay.tick(now), ...this.lots.tick(now));
    return outputs;
  }

  /** Handles a new live request on a route. `path` is given for GET requests only (docs/design.md §6). */
  arrive(
    ticket: string,
    routeName: string,
    body: unknown,
    path: string | undefined,
    now: number,
  ): AccessOutput[] {
    this.#now = now;
    return this.#liveRequests.arrive({ ticket, routeName, body, path }, now);
  }

  /** Abandons the live request of a caller that disconnected. */
  callerLeft(ticket: string): AccessOutput[] {
    return this.#liveRequests.callerLeft(ticket);
  }

  /** Checks an attempt right before its first byte is sent. @returns why it must not be sent; undefined where it may be */
  mayStart(attempt: number, now: number): string | undefined {
    return this.#attempts.mayStart(attempt, now);
  }

  /** Handles an event of the connection on which an attempt of a route runs. */
  handleAttemptEvent(attempt: number, event: RunnerEvent, now: number): AccessOutput[] {
    this.#now = now;
    const job = this.#attempts.get(attempt)?.job;
    if (job === undefined) return [];
    return job.kind === "live"
      ? this.#liveRequests.handleAttemptEvent(attempt, job, event, now)
      : this.#dispatcher.handleAttemptEvent(attempt, job, event, now);
  }

  /** The same as `mayStart`, for attempts on passages. */
  mayStartOnPassage(attempt: number, now: number): string | undefined {
    return this.lots.has(attempt)
      ? this.lots.mayStart(attempt, now)
      : this.relay.mayStart(attempt, now);
  }

  /** Handles an event of the connection on which an attempt on a passage runs. */
  handlePassageEvent(attempt: number, event: PassageEvent, now: number): AccessOutput[] {
    this.#now = now;
    return this.lots.has(attempt)
      ? this.lots.handleAttemptEvent(attempt, event, now)
      : this.relay.handleAttemptEvent(attempt, event, now);
  }

  /** Handles a runner's announcement of itself (docs/design.md §7.5). */
  announce(ticket: string, card: Omit<RunnerDescriptor, "age">, now: number): AccessOutput[] {
    return this.#registrations.announce(ticket, card, now);
  }

  /** Handles a runner's deregistration: this incarnation accepts no more work (docs/design.md §7.5). */
  deregister(ticket: string, runner: string, incarnation: number, now: number): AccessOutput[] {
    return this.#registrations.deregister(ticket, runner, incarnation, now);
  }

  /** Handles the submission of a lot (a batch job) on a route; its fields are not validated yet (docs/design.md §5). */
  submitLot(
    ticket: string,
    routeName: string,
    key: unknown,
    items: unknown,
    labels: unknown,
    now: number,
  ): AccessOutput[] {
    return this.#lotRequests.submit({ ticket, routeName, key, items, labels }, now);
  }

  /** Looks up the state of a lot. */
  lookUp(ticket: string, lot: string, now: number): AccessOutput[] {
    return this.#lotRequests.lookUp(ticket, lot, now);
  }

  /** Cancels a lot. */
  cancel(ticket: string, lot: string, now: number): AccessOutput[] {
    return this.#lotRequests.cancel(ticket, lot, now);
  }

  /** Returns the status for operators. */
  status(now: number): AccessStatus {
    return {
      identity: this.#nodeIdentity.identity,
      zone: this.#nodeIdentity.zone,
      place: this.membership.follower.place,
      configuration: this.membership.configuration.mark,
      leaseLeft: Math.round(this.membership.remainingLeaseMs(now)),
      live: this.#liveRequests.size,
      gos: this.#attempts.size,
      counts: {
        ...this.counts,
        ...this.relay.counts,
        ...this.lots.dispatcher.counts,
        ...this.usage.counts,
      },
      runners: this.membership.runners(now),
    };
  }
}
