import { constants } from "@chutewick/parts";

/**
 * When a node asked something of others, lately and in its present life. The clock of a process begins anew with each life, so the
 * moment that an answer names says nothing until it is known to be one of this life.
 */
export class RecentAsks {
  #moments: number[] = [];

  /** Something is asked at a moment, in ms. */
  asked(now: number): void {
    this.#moments = this.#moments.filter((moment) => now - moment <= constants.sessionLasts);
    if (this.#moments.at(-1) !== now) this.#moments.push(now);
  }

  /** Whether it was at this moment that something was asked. */
  includes(moment: number): boolean {
    return this.#moments.includes(moment);
  }
}
