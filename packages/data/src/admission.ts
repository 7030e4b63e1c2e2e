/** Admission of new work at an access node: it needs a lease and must not be shutting down (docs/design.md §7). */
import type { Membership } from "./membership.js";

/** Reason returned to callers while the node accepts no new work. */
export const NO_NEW_WORK = "this access node is cut off from the control group or about to stop";

/** Decides for all parts of an access node whether new work is accepted. */
export class Admission {
  #membership: Membership;
  #isLeaving = false;

  constructor(membership: Membership) {
    this.#membership = membership;
  }

  /** Starts a planned stop: no new work is accepted from now on. */
  leave(): void {
    this.#isLeaving = true;
  }

  isOpen(now: number): boolean {
    return !this.#isLeaving && this.#membership.holds(now);
  }
}
