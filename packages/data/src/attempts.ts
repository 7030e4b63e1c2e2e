/** The attempts of an access node: each sends one job to one runner (docs/design.md §6.1). */
import type { RunnerDescriptor } from "@chutewick/parts";
import type { DrawnPrompt, Job } from "./access-jobs.js";
import type { AccessOutput, RunnerWork } from "./access-output.js";
import type { Membership } from "./membership.js";

/** A job that was sent to a runner. */
export interface Attempt {
  readonly job: Job;
  /** Id and incarnation of the runner. */
  readonly runner: string;
  readonly incarnation: number;
  readonly startedAt: number;
}

/** The parameters of a new attempt. */
export interface AttemptStart {
  readonly job: Job;
  readonly runner: RunnerDescriptor;
  readonly work: RunnerWork;
  /** Idle timeout of the connection to the runner, in ms. */
  readonly silence: number;
}

/** The reason why an attempt may no longer be sent. */
export type StartRefusal =
  | "given up"
  | "no lease"
  | "the runner said goodbye, or was not heard of lately"
  | "the grant ran out";

/** The command that sends an attempt to its runner. */
export type RunCommand = Extract<AccessOutput, { kind: "run" }>;

/** The attempts in progress at one access node, by their numbers. */
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

  /** Number of the latest attempt. */
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

  /**
   * Returns why an attempt may not be sent, or undefined if it may. Checked right before the first byte is sent, so that
   * nothing is sent under an outdated configuration, after the runner's deregistration or under an expired grant.
   */
  mayStart(number: number, now: number): StartRefusal | undefined {
    const attempt = this.#attempts.get(number);
    if (attempt === undefined) return "given up";
    if (!this.#membership.holds(now)) return "no lease";
    if (!this.#membership.isRunnerLive(attempt.runner, attempt.incarnation, now))
      return "the runner said goodbye, or was not heard of lately";
    if (attempt.job.kind === "prompt" && now > attempt.job.grantedUntil) return "the grant ran out";
    return undefined;
  }

  /** Slots taken at a runner: the load that it reported plus the attempts that this node started since. */
  load(runner: RunnerDescriptor, now: number): number {
    let ownAttempts = 0;
    let startedSinceReport = 0;
    for (const attempt of this.#attempts.values()) {
      if (attempt.runner !== runner.id) continue;
      ownAttempts += 1;
      if (attempt.startedAt > now - runner.age) startedSinceReport += 1;
    }
    return Math.max(ownAttempts, runner.burden + startedSinceReport);
  }

  /** Prompts in progress, in the order in which their attempts started. */
  prompts(): DrawnPrompt[] {
    const prompts: DrawnPrompt[] = [];
    for (const { job } of this.#attempts.values()) if (job.kind === "prompt") prompts.push(job);
    return prompts;
  }

  /** Number of prompts in progress, by runner. */
  promptsByRunner(): [runner: string, count: number][] {
    const counts = new Map<string, number>();
    for (const { job, runner } of this.#attempts.values())
      if (job.kind === "prompt") counts.set(runner, (counts.get(runner) ?? 0) + 1);
    return [...counts];
  }
}
