/** Token counts of unfinished items, which a submission's allowance limits (docs/design.md §13.7, §13.10). */

/** Token sums by passage and tenant; lots without a tenant are counted together. */
export class WaitingTokens {
  #byPassage = new Map<string, Map<string | undefined, number>>();

  clear(): void {
    this.#byPassage.clear();
  }

  /** Adds tokens; a negative number subtracts. */
  add(passage: string, tenant: string | undefined, tokens: number): void {
    const byTenant = this.#byPassage.get(passage) ?? new Map<string | undefined, number>();
    const sum = (byTenant.get(tenant) ?? 0) + tokens;
    if (sum > 0) byTenant.set(tenant, sum);
    else byTenant.delete(tenant);
    if (byTenant.size > 0) this.#byPassage.set(passage, byTenant);
    else this.#byPassage.delete(passage);
  }

  of(passage: string, tenant: string | undefined): number {
    return this.#byPassage.get(passage)?.get(tenant) ?? 0;
  }

  /** Passages with unfinished items. */
  passages(): Iterable<string> {
    return this.#byPassage.keys();
  }
}
