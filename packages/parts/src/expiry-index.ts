/** Times at which records expire, so that their owner is asked to expire them only when something is due. */

/** Expiry time by id; derived from the ledger. Times are ledger times in ms. */
export class ExpiryIndex {
  readonly #expiresAt = new Map<string, number>();
  #earliest = Number.POSITIVE_INFINITY;

  get size(): number {
    return this.#expiresAt.size;
  }

  ids(): IterableIterator<string> {
    return this.#expiresAt.keys();
  }

  clear(): void {
    this.#expiresAt.clear();
    this.#earliest = Number.POSITIVE_INFINITY;
  }

  set(id: string, expiry: number): void {
    this.#expiresAt.set(id, expiry);
    this.#earliest = Math.min(this.#earliest, expiry);
  }

  delete(id: string): void {
    this.#expiresAt.delete(id);
  }

  isDue(time: number): boolean {
    return this.#earliest <= time;
  }

  /** Ids whose expiry has passed. */
  due(time: number): string[] {
    const ids: string[] = [];
    for (const [id, expiry] of this.#expiresAt) if (expiry <= time) ids.push(id);
    return ids;
  }

  /** Looks for the earliest expiry again, after the due ids were deleted or set to later times. */
  refresh(): void {
    this.#earliest = Number.POSITIVE_INFINITY;
    for (const expiry of this.#expiresAt.values())
      this.#earliest = Math.min(this.#earliest, expiry);
  }
}
