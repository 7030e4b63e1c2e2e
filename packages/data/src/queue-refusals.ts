/** What an owner refused lately for want of room, and how fast room comes (docs/design.md §8.4, §13.7). */
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

/** Refusals of one queue. Moments are in ms, monotonic. */
export class QueueRefusals {
  #refusedItems: RefusedItems[] = [];
  #freedTokens: FreedTokens[] = [];
  /** When lots were refused first, of those that may come again. */
  #firstRefusedAt = new Map<string, number>();

  /** Items of a season were refused. */
  addItems(count: number, season: string, now: number): void {
    const since = now - constants.pressureLasts;
    this.#refusedItems = this.#refusedItems.filter(({ at }) => at >= since);
    this.#refusedItems.push({ at: now, count, season });
  }

  /** Adds the items refused lately to the needs of their seasons. */
  addNeeds(needs: Map<string, number>, now: number): void {
    for (const { at, count, season } of this.#refusedItems)
      if (now - at <= constants.pressureLasts) needs.set(season, (needs.get(season) ?? 0) + count);
  }

  /** Tokens left the queue. */
  addFreed(tokens: number, now: number): void {
    this.#freedTokens.push({ at: now, tokens });
  }

  /** When a lot was refused first; undefined where it was not, or that is long ago. */
  firstRefusedAt(lot: string): number | undefined {
    return this.#firstRefusedAt.get(lot);
  }

  /** The lot was refused; how often it comes again does not matter. */
  addLot(lot: string, now: number): void {
    if (this.#firstRefusedAt.has(lot)) return;
    this.#firstRefusedAt.set(lot, now);
    if (this.#firstRefusedAt.size <= constants.refusedRemembered) return;
    for (const oldest of this.#firstRefusedAt.keys()) {
      this.#firstRefusedAt.delete(oldest);
      break;
    }
  }

  /** The lot was taken in the end. */
  forgetLot(lot: string): void {
    this.#firstRefusedAt.delete(lot);
  }

  /** A refusal with the wait until what is too much has left, at the pace at which it lately did. */
  withWait(value: NoRoom, now: number): NoRoom {
    const since = now - constants.drainCounted;
    this.#freedTokens = this.#freedTokens.filter(({ at }) => at >= since);
    let freed = 0;
    for (const { tokens } of this.#freedTokens) freed += tokens;
    if (freed === 0 || value.tokens > value.allowance) return value;
    const tooMuch = Math.max(0, value.waiting + value.tokens - value.allowance);
    return { ...value, wait: (tooMuch / freed) * constants.drainCounted };
  }
}
