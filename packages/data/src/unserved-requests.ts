/** Live requests rejected recently for lack of slots: while there are some, lots of their model are throttled (docs/design.md §8.5). */
import { constants } from "@chutewick/parts";

/** A live request that was rejected. */
interface UnservedRequest {
  /** In ms, monotonic. */
  readonly at: number;
  readonly model: string;
}

/** Counts the rejected requests of each model for as long as they indicate load. */
export class UnservedRequests {
  #requests: UnservedRequest[] = [];

  /** Records a rejected request. */
  add(model: string, now: number): void {
    this.#requests.push({ at: now, model });
  }

  /** Number of recently rejected requests of each model. */
  countByModel(now: number): [model: string, count: number][] {
    const since = now - constants.rejectionRetentionMs;
    this.#requests = this.#requests.filter(({ at }) => at >= since);
    const counts = new Map<string, number>();
    for (const { model } of this.#requests) counts.set(model, (counts.get(model) ?? 0) + 1);
    return [...counts];
  }
}
