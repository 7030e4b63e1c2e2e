/** What a node logs of its standing with control, so that a wrong answer can be traced to what the node knew (docs/design.md §7). */
import type { Membership, MembershipReport, WorkGround } from "./membership.js";

/** Log lines on definite refusals in a second; more say nothing new. */
const REFUSALS_LOGGED = 3;
const SECOND = 1_000;
/** Answers that say that something is not there or not allowed, by what the configuration says. */
const DEFINITE = new Set([401, 403, 404]);

/** Decides what is worth a line: each change of the version or of the ground, and a few definite refusals. */
export class MembershipLog {
  readonly #membership: Membership;
  #version: number | undefined;
  #ground: WorkGround | undefined;
  #secondBegan = Number.NEGATIVE_INFINITY;
  #refusals = 0;

  constructor(membership: Membership) {
    this.#membership = membership;
  }

  /** The standing, where the version or the ground is another one than at the last call. */
  changed(now: number): MembershipReport | undefined {
    const version = this.#membership.configuration.mark;
    const ground = this.#membership.ground(now);
    if (version === this.#version && ground === this.#ground) return undefined;
    this.#version = version;
    this.#ground = ground;
    return this.#membership.report(now);
  }

  /** The standing by which a caller is refused; undefined where the status is no definite one, or enough were logged. */
  refused(status: number, now: number): MembershipReport | undefined {
    if (!DEFINITE.has(status)) return undefined;
    if (now - this.#secondBegan >= SECOND) {
      this.#secondBegan = now;
      this.#refusals = 0;
    }
    this.#refusals += 1;
    return this.#refusals > REFUSALS_LOGGED ? undefined : this.#membership.report(now);
  }
}
