/** Log lines on the membership state of a node, so that a wrong answer can be traced to what the node knew (docs/design.md §7). */
import type { Membership, MembershipReport, WorkAuthorization } from "./membership.js";

/** Log lines on definite rejections per second; more of them add no information. */
const MAX_REJECTIONS_LOGGED = 3;
const SECOND_MS = 1_000;
/** HTTP statuses by which a caller is rejected definitely, on the grounds of the configuration. */
const DEFINITE_STATUSES = new Set([401, 403, 404]);

/** Decides what is logged: each change of the configuration version or of the authorization for work, and a few definite rejections. */
export class MembershipLog {
  readonly #membership: Membership;
  #loggedVersion: number | undefined;
  #loggedGround: WorkAuthorization | undefined;
  #secondStartedAt = Number.NEGATIVE_INFINITY;
  #rejectionCount = 0;

  constructor(membership: Membership) {
    this.#membership = membership;
  }

  /** The membership state, if the version or the authorization changed since the last call. */
  reportIfChanged(now: number): MembershipReport | undefined {
    const version = this.#membership.configuration.mark;
    const ground = this.#membership.ground(now);
    if (version === this.#loggedVersion && ground === this.#loggedGround) return undefined;
    this.#loggedVersion = version;
    this.#loggedGround = ground;
    return this.#membership.report(now);
  }

  /** The membership state on which a rejection is based; undefined if the status is not a definite one, or enough were logged. */
  reportIfRejected(status: number, now: number): MembershipReport | undefined {
    if (!DEFINITE_STATUSES.has(status)) return undefined;
    if (now - this.#secondStartedAt >= SECOND_MS) {
      this.#secondStartedAt = now;
      this.#rejectionCount = 0;
    }
    this.#rejectionCount += 1;
    return this.#rejectionCount > MAX_REJECTIONS_LOGGED ? undefined : this.#membership.report(now);
  }
}
