/** Tokens of items that have not ended, which is what an allowance bounds (docs/design.md §13.7, §13.10). */

/** Sums by passage, and within it by tenant; lots without a tenant are counted together. */
export class WaitingTokens {
  #byWay = new Map<string, Map<string | undefined, number>>();

  clear(): void {
    this.#byWay.clear();
  }

  /** Adds tokens, or takes them off where they are negative. */
  add(way: string, tenant: string | undefined, tokens: number): void {
    const byTenant = this.#byWay.get(way) ?? new Map<string | undefined, number>();
    const sum = (byTenant.get(tenant) ?? 0) + tokens;
    if (sum > 0) byTenant.set(tenant, sum);
    else byTenant.delete(tenant);
    if (byTenant.size > 0) this.#byWay.set(way, byTenant);
    else this.#byWay.delete(way);
  }

  of(way: string, tenant: string | undefined): number {
    return this.#byWay.get(way)?.get(tenant) ?? 0;
  }

  /** Passages with a sum above 0. */
  ways(): Iterable<string> {
    return this.#byWay.keys();
  }
}
