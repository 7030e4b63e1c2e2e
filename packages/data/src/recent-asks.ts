/** Recent requests of this incarnation of a process. */
import { constants } from "@chutewick/parts";

/**
 * Times of the requests that this incarnation of a node sent recently. The monotonic clock restarts with each incarnation, so the request
 * time that an answer names is valid only if it is one of these.
 */
export class SentRequests {
  #requestTimes: number[] = [];

  /** Records a request sent at `now`, in ms. */
  recordSent(now: number): void {
    this.#requestTimes = this.#requestTimes.filter(
      (time) => now - time <= constants.sessionTimeoutMs,
    );
    if (this.#requestTimes.at(-1) !== now) this.#requestTimes.push(now);
  }

  /** Whether a request was sent at this time. */
  includes(time: number): boolean {
    return this.#requestTimes.includes(time);
  }
}
