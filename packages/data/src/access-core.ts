/** An access node without I/O: events in, commands to its shell out (docs/design.md §5, §6, §13). */
import { policy, type Policy, type RunnerCard, type Telling } from "@chutewick/parts";
import { newAccessCounts, type AccessCounts } from "./access-counts.js";
import type { AccessOutput, GoEvent } from "./access-output.js";
import { Admission } from "./admission.js";
import { Attempts } from "./attempts.js";
import { Choice } from "./choice.js";
import { ControlCalls } from "./control-calls.js";
import type { PassEvent } from "./dialect.js";
import { LiveRequests } from "./live-requests.js";
import { LotRequests } from "./lot-requests.js";
import { Membership, type Standing } from "./membership.js";
import { PassLots } from "./pass-lots.js";
import { PendingCalls } from "./pending-calls.js";
import { PromptDispatcher } from "./prompt-dispatcher.js";
import type { DataMessage } from "./queue-messages.js";
import { RelayCore } from "./relay-core.js";
import { RunnerRegistrations } from "./runner-registrations.js";
import { RunnerSelection } from "./runner-selection.js";
import { AccessUsage } from "./usage/access-usage.js";

/** What operators are shown of an access node. */
export interface AccessStatus {
  readonly identity: string;
  readonly zone: string;
  /** Number of the last change of control state that it applied. */
  readonly place: number;
  /** Number of its configuration. */
  readonly configuration: number;
  /** ms for which its lease still holds. */
  readonly leaseLeft: number;
  /** Live requests under way. */
  readonly live: number;
  /** Attempts under way. */
  readonly gos: number;
  readonly counts: Readonly<Record<string, number>>;
  readonly runners: readonly RunnerCard[];
}

/** One access node: routes events to the parts that do its jobs. */
export class AccessCore {
  readonly membership: Membership;
  /** Which runner a request on a passage goes to (§13.4). */
  readonly choice: Choice;
  /** Lots of passages (§13.7). */
  readonly lots: PassLots;
  /** Live requests on passages (§13.5). */
  readonly relay: RelayCore;
  /** Requests that began to run, by window and tenant (§14.2). */
  readonly usage: AccessUsage;
  readonly counts: AccessCounts = newAccessCounts();
  #standing: Standing;
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
    standing: Standing,
    seeds: readonly string[],
    now: number,
    chosen: Policy = policy.usual,
  ) {
    this.#standing = standing;
    this.#now = now;
    const telling = (): Telling => this.#telling();
    const membership = new Membership(standing, seeds, now, telling, chosen);
    this.membership = membership;
    this.choice = new Choice(membership, standing);
    const pendingCalls = new PendingCalls(membership);
    const nextTicket = (): string => pendingCalls.ticket();
    this.#pendingCalls = pendingCalls;
    this.#controlCalls = new ControlCalls(membership, nextTicket);
    this.#admission = new Admission(membership);
    this.#attempts = new Attempts(membership);
    const parts = {
      membership,
      pendingCalls,
      controlCalls: this.#controlCalls,
      admission: this.#admission,
      attempts: this.#attempts,
      selection: new RunnerSelection(membership, this.#attempts),
      counts: this.counts,
    };
    this.#liveRequests = new LiveRequests(parts);
    this.#lotRequests = new LotRequests(parts);
    this.#registrations = new RunnerRegistrations(parts, now);
    this.#dispatcher = new PromptDispatcher(parts);
    this.usage = new AccessUsage(standing.identity, chosen.usageWindow);
    this.relay = new RelayCore(membership, this.choice, chosen, this.usage.counter);
    this.lots = new PassLots(membership, this.choice, pendingCalls, this.relay);
  }

  #telling(): Telling {
    return {
      runners: this.#registrations.cards(this.#now),
      lots: this.#attempts.promptsByRunner(),
      turnedAway: this.#liveRequests.unserved.countByModel(this.#now),
      burdens: this.choice.loads(),
    };
  }

  /** Number of works and calls that a planned stop waits for. */
  get busy(): number {
    return this.running + this.#pendingCalls.size;
  }

  /** Number of requests and items under way; calls to queue owners are left out, since an idle node always has draws there. */
  get running(): number {
    return this.#attempts.size + this.relay.busy + this.lots.dispatcher.underWay;
  }

  /** A planned stop: no new work; what is under way goes on. */
  leave(now: number): AccessOutput[] {
    this.#admission.leave();
    this.lots.leave();
    return this.membership.leave(now);
  }

  /** Later in a planned stop: whatever is new is refused. */
  refuseNew(): void {
    this.relay.refuseNew();
    this.lots.refuseNew();
  }

  receive(message: DataMessage, from: string, now: number): AccessOutput[] {
    this.#now = now;
    switch (message.kind) {
      case "feed":
      case "feed-digest":
        if (!this.membership.receive(message, from, now)) return [];
        this.#dispatcher.endPauses();
        this.lots.dispatcher.endPauses();
        return this.membership.tell(now);
      case "lease":
        this.usage.heardLease(from, message, now);
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
        return this.membership.peer(message, from, now);
      case "queue-result":
        return this.#queueResult(message, now);
      case "lot-ended":
        return this.lots.dropped(message.lot, now);
      case "control-result":
        return this.#controlCalls.ended(message.ticket, message.outcome, now);
      default:
        return [];
    }
  }

  #queueResult(
    { ticket, outcome, held }: Extract<DataMessage, { kind: "queue-result" }>,
    now: number,
  ): AccessOutput[] {
    return (
      this.#pendingCalls.ended(ticket, outcome, now, held ?? 0) ??
      this.#dispatcher.lateResult(outcome, now)
    );
  }

  beat(now: number, wallClock: number): AccessOutput[] {
    this.#now = now;
    this.#lotRequests.observeWallClock(wallClock);
    const outputs: AccessOutput[] = [
      ...this.membership.beat(now),
      ...this.#pendingCalls.beat(now),
      ...this.#controlCalls.beat(now),
      ...this.usage.beat(now, wallClock, this.membership.toldAt === now),
    ];
    this.#registrations.beat(now);
    outputs.push(...this.#dispatcher.beat(now));
    outputs.push(...this.relay.beat(now), ...this.lots.beat(now));
    return outputs;
  }

  /** A live request of a route; the path is told where it was made with GET (§6). */
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

  /** The caller of a live request left. */
  left(ticket: string): AccessOutput[] {
    return this.#liveRequests.left(ticket);
  }

  /** Asked at the last moment before the first byte of an attempt; undefined where it may be sent. */
  mayStart(attempt: number, now: number): string | undefined {
    return this.#attempts.mayStart(attempt, now);
  }

  /** What the link to a runner tells of an attempt. */
  goEvent(attempt: number, event: GoEvent, now: number): AccessOutput[] {
    this.#now = now;
    const job = this.#attempts.get(attempt)?.job;
    if (job === undefined) return [];
    return job.kind === "live"
      ? this.#liveRequests.attemptEvent(attempt, job, event, now)
      : this.#dispatcher.attemptEvent(attempt, job, event, now);
  }

  /** The same as `mayStart` for what runs on passages. */
  mayPass(attempt: number, now: number): string | undefined {
    return this.lots.has(attempt)
      ? this.lots.mayStart(attempt, now)
      : this.relay.mayStart(attempt, now);
  }

  /** The same as `goEvent` for what runs on passages. */
  passEvent(attempt: number, event: PassEvent, now: number): AccessOutput[] {
    this.#now = now;
    return this.lots.has(attempt)
      ? this.lots.goEvent(attempt, event, now)
      : this.relay.goEvent(attempt, event, now);
  }

  /** A runner says that it is there (§7.5). */
  announce(ticket: string, card: Omit<RunnerCard, "age">, now: number): AccessOutput[] {
    return this.#registrations.announce(ticket, card, now);
  }

  /** A runner says that this incarnation of it takes no more work (§7.5). */
  deregister(ticket: string, runner: string, incarnation: number, now: number): AccessOutput[] {
    return this.#registrations.deregister(ticket, runner, incarnation, now);
  }

  /** A lot of a route, as it came (§5). */
  handIn(
    ticket: string,
    routeName: string,
    key: unknown,
    items: unknown,
    labels: unknown,
    now: number,
  ): AccessOutput[] {
    return this.#lotRequests.handIn({ ticket, routeName, key, items, labels }, now);
  }

  /** The state of a lot of a route. */
  lookUp(ticket: string, lot: string, now: number): AccessOutput[] {
    return this.#lotRequests.lookUp(ticket, lot, now);
  }

  /** Cancels a lot of a route. */
  cancel(ticket: string, lot: string, now: number): AccessOutput[] {
    return this.#lotRequests.cancel(ticket, lot, now);
  }

  status(now: number): AccessStatus {
    return {
      identity: this.#standing.identity,
      zone: this.#standing.zone,
      place: this.membership.follower.place,
      configuration: this.membership.configuration.mark,
      leaseLeft: Math.round(this.membership.leaseLeft(now)),
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
