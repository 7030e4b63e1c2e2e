/** Usage reported by all access nodes, by window and tenant, without I/O (docs/design.md §14.2). */
import { constants, type AgreedTime } from "@chutewick/parts";
import type { TenantCount, UsageMessage, WindowUsage } from "../control-messages.js";

/** Counts of one window, by incarnation of the counting node and by tenant. */
type WindowCounts = Map<string, Map<string, number>>;

/**
 * Every control machine keeps this in memory and arrives at the same counts: the count of an incarnation is the largest one that
 * it reported, and the counts of all incarnations, including those of nodes that are gone, are summed.
 */
export class UsageLedger {
  readonly #windows = new Map<number, WindowCounts>();
  readonly #time: AgreedTime;
  /** Length of a window in ms. */
  readonly #windowMs: number | undefined;
  #merged = 0;

  /** @param windowMs length of a window; undefined to keep no counts */
  constructor(time: AgreedTime, windowMs: number | undefined) {
    this.#time = time;
    this.#windowMs = windowMs;
  }

  /** The number of counts that changed the ledger. */
  get merged(): number {
    return this.#merged;
  }

  /** The current window; undefined if no usage is counted or the time is unknown. */
  windowAt(now: number): number | undefined {
    const time = this.#time.at(now);
    return this.#windowMs === undefined || time === undefined
      ? undefined
      : Math.floor(time / this.#windowMs);
  }

  /** Merges counts. Merging is idempotent and independent of the order. */
  merge({ life, windows }: UsageMessage, now: number): void {
    for (const { window, counts } of windows) {
      if (!this.#isKept(window, now)) continue;
      const tenants = this.#tenantsOf(window, life);
      for (const [tenant, count] of counts) {
        if (count <= (tenants.get(tenant) ?? 0)) continue;
        tenants.set(tenant, count);
        this.#merged += 1;
      }
    }
  }

  /** Requests of each tenant that began to run in a window. */
  countsOf(window: number): ReadonlyMap<string, number> {
    const sums = new Map<string, number>();
    for (const tenants of this.#windows.get(window)?.values() ?? [])
      for (const [tenant, count] of tenants) sums.set(tenant, (sums.get(tenant) ?? 0) + count);
    return sums;
  }

  /** Messages with the counts of closed incarnations, the newest windows first, up to a bound for each incarnation. */
  told(isClosed: (incarnation: string) => boolean): UsageMessage[] {
    const windowsOf = new Map<string, WindowUsage[]>();
    const newestFirst = [...this.#windows].sort(([left], [right]) => right - left);
    for (const [window, incarnations] of newestFirst)
      for (const [incarnation, tenants] of incarnations) {
        if (!isClosed(incarnation)) continue;
        const windows = windowsOf.get(incarnation) ?? [];
        windowsOf.set(incarnation, windows);
        windows.push({ window, counts: [...tenants] });
      }
    return [...windowsOf].map(([incarnation, windows]) => messageOf(incarnation, windows));
  }

  /** Removes windows whose retention time has passed. */
  forget(now: number): void {
    for (const window of this.#windows.keys())
      if (!this.#isKept(window, now)) this.#windows.delete(window);
  }

  #isKept(window: number, now: number): boolean {
    const current = this.windowAt(now);
    if (current === undefined || this.#windowMs === undefined) return false;
    return Math.abs(window - current) * this.#windowMs <= constants.usageLedgerRetentionMs;
  }

  #tenantsOf(window: number, incarnation: string): Map<string, number> {
    let incarnations = this.#windows.get(window);
    if (incarnations === undefined) {
      incarnations = new Map<string, Map<string, number>>();
      this.#windows.set(window, incarnations);
    }
    let tenants = incarnations.get(incarnation);
    if (tenants === undefined) {
      tenants = new Map<string, number>();
      incarnations.set(incarnation, tenants);
    }
    return tenants;
  }
}

function messageOf(incarnation: string, windows: readonly WindowUsage[]): UsageMessage {
  const included: WindowUsage[] = [];
  let left = constants.maxUsageCountsPerMessage;
  for (const { window, counts } of windows) {
    const fitting: readonly TenantCount[] = counts.slice(0, left);
    left -= fitting.length;
    if (fitting.length > 0) included.push({ window, counts: fitting });
  }
  return { kind: "usage", life: incarnation, since: 0, upTo: 0, windows: included };
}
