/** Signs of life of claims, known at a queue's owner alone and begun anew by the next (docs/design.md §5.4). */
import { constants, taskKey, type Chain, type Claim } from "@chutewick/parts";

/** Digits of an item's number in the key of its record. */
const INDEX_DIGITS = 6;

interface Heartbeat {
  /** The claim that it is of. */
  readonly go: number;
  readonly at: number;
  /** The dispatcher has taken the item up. */
  readonly isTaken?: boolean;
  /** Number of the entry with which the claim began. */
  readonly place?: number;
}

/** Last sign of life of each claim of one queue, by the key of the item's record. Moments are in ms, monotonic. */
export class ClaimHeartbeats {
  #heartbeats = new Map<string, Heartbeat>();

  clear(): void {
    this.#heartbeats.clear();
  }

  /** A dispatcher works on an item of a lot of a route. */
  heardItem({ lot, index, go }: Claim, now: number): void {
    const key = `item/${lot}/${String(index).padStart(INDEX_DIGITS, "0")}`;
    this.#heartbeats.set(key, { go, at: now });
  }

  /** A dispatcher works on an item of a lot of a passage. */
  heardTask({ lot, index, go }: Claim, now: number): void {
    this.#heartbeats.set(taskKey(lot, index), { go, at: now, isTaken: true });
  }

  /** A dispatcher was told of a claim, which it can take up only now. */
  toldTask({ lot, index, go }: Claim, now: number): void {
    this.#heartbeats.set(taskKey(lot, index), { go, at: now });
  }

  /** Whether a claim showed a sign of life lately; one seen for the first time begins to count now. */
  isAlive(key: string, go: number, now: number): boolean {
    const heartbeat = this.#heartbeats.get(key);
    if (heartbeat === undefined || heartbeat.go !== go) {
      this.#heartbeats.set(key, { go, at: now });
      return true;
    }
    return now - heartbeat.at <= constants.orphanAfter;
  }

  /** The same for an item of a passage, whose dispatcher is to take it up at once. */
  isTaskAlive(key: string, go: number, { place, confirmed }: Chain, now: number): boolean {
    const heartbeat = this.#heartbeats.get(key);
    if (heartbeat === undefined || heartbeat.go !== go) {
      this.#heartbeats.set(key, { go, at: now, place });
      return true;
    }
    /** What is not confirmed was not told yet. */
    if (heartbeat.place !== undefined && confirmed < heartbeat.place)
      this.#heartbeats.set(key, { ...heartbeat, at: now });
    const lasts = heartbeat.isTaken === true ? constants.taskOrphanAfter : constants.claimTakenUp;
    return now - heartbeat.at <= lasts;
  }

  /** Forgets the claims of items that are not under way any more. */
  forgetAllBut(...underWay: readonly { has(key: string): boolean }[]): void {
    for (const key of this.#heartbeats.keys())
      if (!underWay.some((items) => items.has(key))) this.#heartbeats.delete(key);
  }
}
