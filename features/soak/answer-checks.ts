import { bounds, handlesSignals, type Machine } from "../system/machine.js";
import { eventsOf } from "../system/stand-in-runner.js";
import type { Exchange } from "./exchange.js";
import type { SoakSystem } from "./system.js";
import type { Violations } from "./violations.js";

/** What kind of work a client asks for. */
export type WorkKind = "safe" | "unsafe" | "stream";

/** Statuses that promise that the request did not run and never will. */
const promises = new Set([408, 421, 429, 503]);

const timedOut = 504;
/** ms. The least time that a route of the clients allows, less what timers differ. */
const shortestGuard = 1_900;

/** Judges what clients saw of their requests. */
export class AnswerChecks {
  /** Answers by kind and status, or by how they failed. */
  readonly counts = new Map<string, number>();
  /** Requests that reached a process after its planned stop had begun. */
  lateRequests = 0;
  #system: SoakSystem;
  #violations: Violations;
  #stoppedAt = new Map<Machine, number>();
  #unsafeIds = new Set<string>();
  #promised = new Map<string, number>();
  #promisedRepeatable = new Set<string>();

  constructor(system: SoakSystem, violations: Violations) {
    this.#system = system;
    this.#violations = violations;
  }

  /** Notes that a process was told to stop. */
  stopping(machine: Machine, at: number): void {
    this.#stoppedAt.set(machine, at);
  }

  /** Judges one exchange; `takes` is how long a runner works on it, in ms. */
  judge(kind: WorkKind, exchange: Exchange, takes = 0): void {
    const { call, status, isComplete } = exchange;
    this.#count(`${kind} ${isComplete ? status : "cut"}`);
    if (kind === "unsafe") this.#unsafeIds.add(call.id);
    if (isComplete && promises.has(status!)) {
      if (kind === "unsafe") this.#promised.set(call.id, status!);
      else this.#promisedRepeatable.add(call.id);
    }
    if (isComplete && status === 200) this.#judgeContent(kind, exchange);
    this.#judgeStop(exchange, takes);
  }

  /** Repeatable requests that ran though their answer promised that they did not: the rules allow it, so it is only told. */
  countRepeatableRan(): number {
    const counts = this.#system.runCounts();
    return [...this.#promisedRepeatable].filter((id) => counts.has(id)).length;
  }

  /** Judges what ran, once all work is over. */
  judgeRuns(): void {
    const counts = this.#system.runCounts();
    for (const id of this.#unsafeIds) {
      const count = counts.get(id) ?? 0;
      if (count > 1) this.#violations.add("TWICE", `${id} ran ${count} times`);
      const promised = this.#promised.get(id);
      if (promised !== undefined && count > 0)
        this.#violations.add("REFUSED_RAN", `${id} was answered ${promised} and ran`);
    }
  }

  /** Judges how a process ended after a planned stop, `took` ms after SIGTERM and before anyone killed it. */
  judgeEnd(machine: Machine, took: number): void {
    if (machine.ended === 0) return;
    /** The signal came while the runtime still started: the program had opened nothing, and no handler can be there yet. */
    if (machine.ended === null && !handlesSignals(machine)) return this.#count("stopped unstarted");
    this.#violations.add(
      "NOT_ENDED",
      `${machine.name}: code ${machine.ended ?? "none"} ${Math.round(took)} ms after SIGTERM`,
    );
  }

  #count(outcome: string): void {
    this.counts.set(outcome, (this.counts.get(outcome) ?? 0) + 1);
  }

  #judgeContent(kind: WorkKind, { call, seal, text }: Exchange): void {
    const expected = kind === "stream" ? eventsOf(call.path) : `label ${call.path}`;
    if (seal === `seal-${call.id}` && text === expected) return;
    this.#violations.add(
      "MIXED",
      `${call.id} ${call.path} at ${call.machine.name}: seal ${seal}, text ${JSON.stringify(text)}`,
    );
  }

  #judgeStop(exchange: Exchange, takes: number): void {
    const { call, writtenAt, endedAt, isComplete, status, isAbandoned } = exchange;
    const stoppedAt = this.#stoppedAt.get(call.machine);
    if (stoppedAt === undefined || writtenAt === undefined || endedAt < stoppedAt) return;
    const since = Math.round(writtenAt - stoppedAt);
    if (since > 0) this.lateRequests += 1;
    if (isComplete && isAnswered(status!, endedAt - writtenAt)) return;
    if (endedAt - writtenAt <= bounds.lossSlackMs) return;
    if (!this.#system.calm.hadNoFault(call.machine.name, writtenAt, endedAt)) return;
    if (isWorkTooLong(since, since + takes, endedAt - stoppedAt)) return;
    const outcome = isComplete ? `answered ${status}` : `${exchange.error}, head ${status}`;
    this.#violations.add(
      "LOST",
      `${call.id} ${call.path} sent to ${call.machine.name} ${since} ms after SIGTERM ended after ${Math.round(endedAt - writtenAt)} ms: ${outcome}, given up by the client ${isAbandoned}`,
    );
  }
}

/** Work begun in the first half of the grace whose runner is still at it in the second half may be ended. */
function isWorkTooLong(begun: number, finished: number, cut: number): boolean {
  const half = (bounds.graceS * 1_000) / 2;
  return begun < half && finished > half && cut > half;
}

/** A success, a promise that it did not run, or the word that the route's time is over once it is. */
function isAnswered(status: number, took: number): boolean {
  const isSuccess = status >= 200 && status < 300;
  return isSuccess || promises.has(status) || (status === timedOut && took >= shortestGuard);
}
