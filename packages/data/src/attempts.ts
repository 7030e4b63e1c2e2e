/** Attempts under way: each sends one job to one runner (docs/design.md §6.1). */
import type { RunnerCard } from "@chutewick/parts";
import type { DrawnPrompt, Job } from "./access-jobs.js";
import type { AccessOutput, Work } from "./access-output.js";
import type { Membership } from "./membership.js";

/** One sending of a job to a runner. */
export interface Attempt {
  readonly job: Job;
  /** Id and incarnation of the runner. */
  readonly runner: string;
  readonly incarnation: number;
  readonly startedAt: number;
}

/** What an attempt begins with. */
export interface AttemptStart {
  readonly job: Job;
  readonly runner: RunnerCard;
  readonly work: Work;
  /** ms without a byte after which the runner's link gives up. */
  readonly silence: number;
}

/** Why an attempt may not be sent any more. */
export type StartRefusal =
  | "given up"
  | "no lease"
  | "the runner said goodbye, or was not heard of lately"
  | "the grant ran out";

/** The command that sends an attempt to its runner. */
export type RunCommand = Extract<AccessOutput, { kind: "run" }>;

/** All attempts of one access node, by their numbers. */
export class Attempts {
  #membership: Membership;
  #attempts = new Map<number, Attempt>();
  #lastNumber = 0;

  constructor(membership: Membership) {
    this.#membership = membership;
  }

  get size(): number {
    return this.#attempts.size;
  }

  /** Number of the attempt that was started last. */
  get lastNumber(): number {
    return this.#lastNumber;
  }

  start({ job, runner, work, silence }: AttemptStart, now: number): RunCommand {
    this.#lastNumber += 1;
    this.#attempts.set(this.#lastNumber, {
      job,
      runner: runner.id,
      incarnation: runner.incarnation,
      startedAt: now,
    });
    return { kind: "run", go: this.#lastNumber, url: runner.url, work, silence };
  }

  get(number: number): Attempt | undefined {
    return this.#attempts.get(number);
  }

  end(number: number): void {
    this.#attempts.delete(number);
  }

  /** Asked at the last moment: no byte goes out on an old configuration, after a deregistration or on an old grant. */
  mayStart(number: number, now: number): StartRefusal | undefined {
    const attempt = this.#attempts.get(number);
    if (attempt === undefined) return "given up";
    if (!this.#membership.holds(now)) return "no lease";
    if (!this.#membership.isStanding(attempt.runner, attempt.incarnation, now))
      return "the runner said goodbye, or was not heard of lately";
    if (attempt.job.kind === "prompt" && now > attempt.job.grantedUntil) return "the grant ran out";
    return undefined;
  }

  /** Seats of a runner that are taken, as it told, with what this node sent since (§8.3). */
  load(runner: RunnerCard, now: number): number {
    let own = 0;
    let since = 0;
    for (const attempt of this.#attempts.values()) {
      if (attempt.runner !== runner.id) continue;
      own += 1;
      if (attempt.startedAt > now - runner.age) since += 1;
    }
    return Math.max(own, runner.burden + since);
  }

  /** Prompts under way, in the order in which they were sent. */
  prompts(): DrawnPrompt[] {
    const prompts: DrawnPrompt[] = [];
    for (const { job } of this.#attempts.values()) if (job.kind === "prompt") prompts.push(job);
    return prompts;
  }

  /** How many prompts are under way at each runner. */
  promptsByRunner(): [runner: string, count: number][] {
    const counts = new Map<string, number>();
    for (const { job, runner } of this.#attempts.values())
      if (job.kind === "prompt") counts.set(runner, (counts.get(runner) ?? 0) + 1);
    return [...counts];
  }
}
