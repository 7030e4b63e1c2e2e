/** Registration of runners: they announce themselves to an access node periodically, and deregister (docs/design.md §7.5). */
import { constants, type RunnerDescriptor } from "@chutewick/parts";
import type { ControlOutcome } from "@chutewick/control";
import type { AccessOutput } from "./access-output.js";
import type { Admission } from "./admission.js";
import type { ControlCalls } from "./control-calls.js";
import { errorReply, notRunReply, type ErrorReply } from "./error-reply.js";
import type { Membership } from "./membership.js";
import { SleepDetector } from "./sleep-detector.js";

interface Announcement {
  readonly card: RunnerDescriptor;
  /** Time of the last announcement in ms, monotonic. */
  readonly heardAt: number;
}

/** The components of the node that registrations depend on. */
export interface RunnerRegistrationsDependencies {
  readonly membership: Membership;
  readonly admission: Admission;
  readonly controlCalls: ControlCalls;
}

/** Registry of the runners that announced themselves to this node recently. */
export class RunnerRegistrations {
  #membership: Membership;
  #admission: Admission;
  #controlCalls: ControlCalls;
  #sleepDetector: SleepDetector;
  #announcements = new Map<string, Announcement>();

  constructor(
    { membership, admission, controlCalls }: RunnerRegistrationsDependencies,
    now: number,
  ) {
    this.#membership = membership;
    this.#admission = admission;
    this.#controlCalls = controlCalls;
    this.#sleepDetector = new SleepDetector(now);
  }

  /** Registers a runner and replies with the interval of its announcements. */
  announce(ticket: string, announced: Omit<RunnerDescriptor, "age">, now: number): AccessOutput[] {
    const refusal = this.#checkAnnouncement(ticket, announced);
    if (refusal !== undefined) return [refusal];
    // A message read right after this process was suspended may be older than the deregistration of its sender.
    this.#sleepDetector.observe(now);
    if (this.#sleepDetector.awakeFor(now) < constants.resumePeriodMs)
      return [announceElsewhere(ticket)];
    const card: RunnerDescriptor = { ...announced, age: 0 };
    this.#announcements.set(card.id, { card, heardAt: now });
    this.#membership.recordRunnerReport({ ...card }, now);
    // Without a lease this node cannot report the runner to the control group, so the runner has to announce at another node, too.
    if (!this.#admission.isOpen(now)) return [announceElsewhere(ticket)];
    const body = { announceEvery: constants.announceIntervalMs };
    return [{ kind: "reply", ticket, status: 200, body }];
  }

  #checkAnnouncement(
    ticket: string,
    { id, incarnation }: Omit<RunnerDescriptor, "age">,
  ): ErrorReply | undefined {
    if (this.#membership.isClosed(id, incarnation))
      return errorReply(ticket, 409, {
        trouble: "said-goodbye",
        reason: "this incarnation said goodbye; announce again under a higher one",
      });
    if ((this.#announcements.get(id)?.card.incarnation ?? 0) > incarnation)
      return errorReply(ticket, 409, {
        trouble: "older-incarnation",
        reason: "a later life of this runner has announced already",
      });
    return undefined;
  }

  /** Deregisters a runner. It gets a success reply only once the control group has committed that no node sends it new work. */
  deregister(ticket: string, runner: string, incarnation: number, now: number): AccessOutput[] {
    this.#membership.deregister(runner, incarnation);
    const announcedIncarnation = this.#announcements.get(runner)?.card.incarnation;
    if (announcedIncarnation !== undefined && announcedIncarnation <= incarnation)
      this.#announcements.delete(runner);
    function onResult(outcome: ControlOutcome): AccessOutput[] {
      if (outcome.kind === "confirmed") {
        const body = { done: true, newWorkWithin: 0 };
        return [{ kind: "reply", ticket, status: 200, body }];
      }
      return [
        errorReply(ticket, 504, {
          trouble: "unknown",
          reason: "the goodbye is not confirmed everywhere; say it again before leaving",
        }),
      ];
    }
    const command = { kind: "goodbye", runner, incarnation } as const;
    return [
      ...this.#membership.broadcastDeregistrations(),
      ...this.#controlCalls.request(command, onResult, now),
    ];
  }

  /** Removes the runners whose last announcement is too old. */
  tick(now: number): void {
    this.#sleepDetector.observe(now);
    for (const [id, { heardAt }] of this.#announcements)
      if (now - heardAt > constants.runnerLasts) this.#announcements.delete(id);
  }

  /** The runner cards that this node reports to the control group, with their ages in ms. */
  cards(now: number): RunnerDescriptor[] {
    const cards: RunnerDescriptor[] = [];
    for (const { card, heardAt } of this.#announcements.values())
      cards.push({ ...card, age: Math.max(0, now - heardAt) });
    return cards;
  }
}

/** The reply to an announcement that this node rejects, or cannot report to the control group. */
function announceElsewhere(ticket: string): ErrorReply {
  return notRunReply(
    ticket,
    "this access node is cut off, was asleep or is about to stop; announce at another",
  );
}
