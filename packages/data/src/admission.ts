/** Whether an access node takes new work: it holds a lease and is not about to stop (docs/design.md §7). */
import type { Membership } from "./membership.js";

/** What a caller is told while a node takes no new work. */
export const NO_NEW_WORK = "this access node is cut off from the control group or about to stop";

/** The one word on new work that all parts of an access node ask for. */
export class Admission {
  #membership: Membership;
  #isLeaving = false;

  constructor(membership: Membership) {
    this.#membership = membership;
  }

  /** A planned stop: from now on no new work is taken. */
  leave(): void {
    this.#isLeaving = true;
  }

  isOpen(now: number): boolean {
    return !this.#isLeaving && this.#membership.holds(now);
  }
}
