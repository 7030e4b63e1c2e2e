/** Runners announce themselves to an access node, and deregister (docs/design.md §7.5). */
import { constants, type RunnerCard } from "@chutewick/parts";
import type { ControlOutcome } from "@chutewick/control";
import type { AccessOutput } from "./access-output.js";
import type { Admission } from "./admission.js";
import type { ControlCalls } from "./control-calls.js";
import { errorReply, notRunReply, type ErrorReply } from "./error-reply.js";
import type { Membership } from "./membership.js";
import { SleepDetector } from "./sleep-detector.js";

interface Announcement {
  readonly card: RunnerCard;
  readonly heardAt: number;
}

/** What registrations need of their node. */
export interface RunnerRegistrationsParts {
  readonly membership: Membership;
  readonly admission: Admission;
  readonly controlCalls: ControlCalls;
}

/** The runners that announced themselves here lately. */
export class RunnerRegistrations {
  #membership: Membership;
  #admission: Admission;
  #controlCalls: ControlCalls;
  #sleep: SleepDetector;
  #announcements = new Map<string, Announcement>();

  constructor({ membership, admission, controlCalls }: RunnerRegistrationsParts, now: number) {
    this.#membership = membership;
    this.#admission = admission;
    this.#controlCalls = controlCalls;
    this.#sleep = new SleepDetector(now);
  }

  announce(ticket: string, announced: Omit<RunnerCard, "age">, now: number): AccessOutput[] {
    const refusal = this.#refusal(ticket, announced);
    if (refusal !== undefined) return [refusal];
    /** What is read just after a sleep may have been said long before it, and before a deregistration (§7.5). */
    this.#sleep.observe(now);
    if (this.#sleep.awakeFor(now) < constants.wakingLasts) return [announceElsewhere(ticket)];
    const card: RunnerCard = { ...announced, age: 0 };
    this.#announcements.set(card.id, { card, heardAt: now });
    this.#membership.heardRunner({ ...card }, now);
    /** One that is cut off can pass nothing on: the runner is to tell another as well. */
    if (!this.#admission.isOpen(now)) return [announceElsewhere(ticket)];
    const body = { announceEvery: constants.announceEvery };
    return [{ kind: "reply", ticket, status: 200, body }];
  }

  #refusal(ticket: string, { id, incarnation }: Omit<RunnerCard, "age">): ErrorReply | undefined {
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

  /** The runner is told of success only once control has confirmed that no node sends it new work. */
  deregister(ticket: string, runner: string, incarnation: number, now: number): AccessOutput[] {
    this.#membership.close(runner, incarnation);
    const announced = this.#announcements.get(runner)?.card.incarnation;
    if (announced !== undefined && announced <= incarnation) this.#announcements.delete(runner);
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
    return [...this.#membership.spread(), ...this.#controlCalls.ask(command, onResult, now)];
  }

  /** Forgets runners that were not heard of lately. */
  beat(now: number): void {
    this.#sleep.observe(now);
    for (const [id, { heardAt }] of this.#announcements)
      if (now - heardAt > constants.runnerLasts) this.#announcements.delete(id);
  }

  /** What this node tells control of them, with their ages in ms. */
  cards(now: number): RunnerCard[] {
    const cards: RunnerCard[] = [];
    for (const { card, heardAt } of this.#announcements.values())
      cards.push({ ...card, age: Math.max(0, now - heardAt) });
    return cards;
  }
}

/** The answer to an announcement that this node cannot pass on, or has not taken in. */
function announceElsewhere(ticket: string): ErrorReply {
  return notRunReply(
    ticket,
    "this access node is cut off, was asleep or is about to stop; announce at another",
  );
}
