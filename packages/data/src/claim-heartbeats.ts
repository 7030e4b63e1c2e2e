/**
 * Heartbeats of claims. They are kept in memory by the owner of a queue only; a new owner starts counting anew
 * (docs/design.md §5.4).
 */
import { constants, taskKey, type Chain, type Claim } from "@chutewick/parts";

/** Number of digits of the item index in the key of its record. */
const INDEX_DIGITS = 6;

interface Heartbeat {
  /** Attempt number of the claim. */
  readonly go: number;
  readonly at: number;
  /** Whether the dispatcher has started to work on the item. */
  readonly isTaken?: boolean;
  /** Log index of the entry that created the claim. */
  readonly place?: number;
}

/** Last heartbeat of each claim of one queue, by the key of the item record. Times are in ms of the monotonic clock. */
export class ClaimHeartbeats {
  #heartbeats = new Map<string, Heartbeat>();

  clear(): void {
    this.#heartbeats.clear();
  }

  /** Records a heartbeat for an item of a lot of a route. */
  recordItemHeartbeat({ lot, index, go }: Claim, now: number): void {
    const key = `item/${lot}/${String(index).padStart(INDEX_DIGITS, "0")}`;
    this.#heartbeats.set(key, { go, at: now });
  }

  /** Records a heartbeat for an item of a lot of a passage. */
  recordTaskHeartbeat({ lot, index, go }: Claim, now: number): void {
    this.#heartbeats.set(taskKey(lot, index), { go, at: now, isTaken: true });
  }

  /** Records that a claim was reported to its dispatcher, which can start to work on it only now. */
  recordTaskReported({ lot, index, go }: Claim, now: number): void {
    this.#heartbeats.set(taskKey(lot, index), { go, at: now });
  }

  /** Whether a claim had a heartbeat recently; for a claim not seen before the time starts now. */
  isAlive(key: string, go: number, now: number): boolean {
    const heartbeat = this.#heartbeats.get(key);
    if (heartbeat === undefined || heartbeat.go !== go) {
      this.#heartbeats.set(key, { go, at: now });
      return true;
    }
    return now - heartbeat.at <= constants.orphanTimeoutMs;
  }

  /** Like `isAlive`, for an item of a passage, whose dispatcher has to start on it at once. */
  isTaskAlive(key: string, go: number, { place, confirmed }: Chain, now: number): boolean {
    const heartbeat = this.#heartbeats.get(key);
    if (heartbeat === undefined || heartbeat.go !== go) {
      this.#heartbeats.set(key, { go, at: now, place });
      return true;
    }
    // A claim that is not committed yet has not been reported to its dispatcher, so its timeout restarts.
    if (heartbeat.place !== undefined && confirmed < heartbeat.place)
      this.#heartbeats.set(key, { ...heartbeat, at: now });
    const timeoutMs =
      heartbeat.isTaken === true ? constants.itemOrphanTimeoutMs : constants.claimStartTimeoutMs;
    return now - heartbeat.at <= timeoutMs;
  }

  /** Removes the claims of items that are no longer in progress. */
  retainOnly(...underWay: readonly { has(key: string): boolean }[]): void {
    for (const key of this.#heartbeats.keys())
      if (!underWay.some((items) => items.has(key))) this.#heartbeats.delete(key);
  }
}
