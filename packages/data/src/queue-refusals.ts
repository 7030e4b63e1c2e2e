/** Recent refusals of a queue owner for lack of capacity, and the rate at which capacity is freed (docs/design.md §8.4, §13.7). */
import { constants, type QueueResult } from "@chutewick/parts";

interface RefusedItems {
  readonly at: number;
  readonly count: number;
  readonly season: string;
}

interface FreedTokens {
  readonly at: number;
  readonly tokens: number;
}

type NoRoom = Extract<QueueResult, { kind: "NO_ROOM" }>;

/** Recent refusals of one queue. Times are in ms of the monotonic clock. */
export class QueueRefusals {
  #refusedItems: RefusedItems[] = [];
  #freedTokens: FreedTokens[] = [];
  /** Time of the first refusal of each lot that may be submitted again. */
  #firstRefusedAt = new Map<string, number>();

  /** Records that items of a season were refused. */
  addRefusedItems(count: number, season: string, now: number): void {
    const since = now - constants.rejectionRetentionMs;
    this.#refusedItems = this.#refusedItems.filter(({ at }) => at >= since);
    this.#refusedItems.push({ at: now, count, season });
  }

  /** Adds the recently refused items to the demand of their seasons. */
  addDemand(needs: Map<string, number>, now: number): void {
    for (const { at, count, season } of this.#refusedItems)
      if (now - at <= constants.rejectionRetentionMs)
        needs.set(season, (needs.get(season) ?? 0) + count);
  }

  /** Records that tokens were removed from the queue. */
  addFreedTokens(tokens: number, now: number): void {
    this.#freedTokens.push({ at: now, tokens });
  }

  /** Time of the first refusal of a lot; undefined if it was not refused, or if the record was evicted. */
  firstRefusedAt(lot: string): number | undefined {
    return this.#firstRefusedAt.get(lot);
  }

  /** Records that a lot was refused; further refusals of the same lot change nothing. */
  addRefusedLot(lot: string, now: number): void {
    if (this.#firstRefusedAt.has(lot)) return;
    this.#firstRefusedAt.set(lot, now);
    if (this.#firstRefusedAt.size <= constants.maxRememberedRejections) return;
    for (const oldest of this.#firstRefusedAt.keys()) {
      this.#firstRefusedAt.delete(oldest);
      break;
    }
  }

  /** Removes the record of a lot that was accepted. */
  forgetLot(lot: string): void {
    this.#firstRefusedAt.delete(lot);
  }

  /** Adds the estimated wait to a refusal: the time to free the missing tokens at the recent rate. */
  withWait(value: NoRoom, now: number): NoRoom {
    const since = now - constants.drainRateWindowMs;
    this.#freedTokens = this.#freedTokens.filter(({ at }) => at >= since);
    let freedTokens = 0;
    for (const { tokens } of this.#freedTokens) freedTokens += tokens;
    if (freedTokens === 0 || value.tokens > value.allowance) return value;
    const missingTokens = Math.max(0, value.waiting + value.tokens - value.allowance);
    return { ...value, wait: (missingTokens / freedTokens) * constants.drainRateWindowMs };
  }
}
