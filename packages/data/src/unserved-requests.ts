/** Live requests lately turned away for want of seats: they hold lots of their model back (docs/design.md §8.5). */
import { constants } from "@chutewick/parts";

interface UnservedRequest {
  readonly at: number;
  readonly model: string;
}

/** Counts them by model for as long as they tell of pressure. */
export class UnservedRequests {
  #requests: UnservedRequest[] = [];

  add(model: string, now: number): void {
    this.#requests.push({ at: now, model });
  }

  countByModel(now: number): [model: string, count: number][] {
    const since = now - constants.pressureLasts;
    this.#requests = this.#requests.filter(({ at }) => at >= since);
    const counts = new Map<string, number>();
    for (const { model } of this.#requests) counts.set(model, (counts.get(model) ?? 0) + 1);
    return [...counts];
  }
}
