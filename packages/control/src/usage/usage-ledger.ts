/** Usage as all access nodes told it, by window and tenant; without I/O (docs/design.md §14.2). */
import { constants, type AgreedTime } from "@chutewick/parts";
import type { TenantCount, UsageMessage, WindowUsage } from "../control-messages.js";

/** Counts of one window, by the life of the node that counted, and by tenant. */
type LivesOfWindow = Map<string, Map<string, number>>;

/**
 * What every control machine keeps in memory alike: each count of a life is the largest that it told, and the counts of all
 * lives, of nodes that are gone too, are summed.
 */
export class UsageLedger {
  readonly #windows = new Map<number, LivesOfWindow>();
  readonly #time: AgreedTime;
  /** ms. */
  readonly #length: number | undefined;
  #merged = 0;

  /** Keeps nothing where windows have no length. */
  constructor(time: AgreedTime, length: number | undefined) {
    this.#time = time;
    this.#length = length;
  }

  /** Counts that were new here. */
  get merged(): number {
    return this.#merged;
  }

  /** The window in force; undefined where none is counted. */
  windowAt(now: number): number | undefined {
    const time = this.#time.at(now);
    return this.#length === undefined || time === undefined
      ? undefined
      : Math.floor(time / this.#length);
  }

  /** Takes counts in any order, and as often as they come. */
  take({ life, windows }: UsageMessage, now: number): void {
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

  /** Counts of lives for which nobody may speak any more, as they were told; the newest windows first, up to a bound for each life. */
  told(isOver: (life: string) => boolean): UsageMessage[] {
    const windowsOf = new Map<string, WindowUsage[]>();
    const newestFirst = [...this.#windows].sort(([left], [right]) => right - left);
    for (const [window, lives] of newestFirst)
      for (const [life, tenants] of lives) {
        if (!isOver(life)) continue;
        const windows = windowsOf.get(life) ?? [];
        windowsOf.set(life, windows);
        windows.push({ window, counts: [...tenants] });
      }
    return [...windowsOf].map(([life, windows]) => messageOf(life, windows));
  }

  /** Forgets windows that ended long ago. */
  forget(now: number): void {
    for (const window of this.#windows.keys())
      if (!this.#isKept(window, now)) this.#windows.delete(window);
  }

  #isKept(window: number, now: number): boolean {
    const current = this.windowAt(now);
    if (current === undefined || this.#length === undefined) return false;
    return Math.abs(window - current) * this.#length <= constants.usageLedgerKept;
  }

  #tenantsOf(window: number, life: string): Map<string, number> {
    let lives = this.#windows.get(window);
    if (lives === undefined) {
      lives = new Map<string, Map<string, number>>();
      this.#windows.set(window, lives);
    }
    let tenants = lives.get(life);
    if (tenants === undefined) {
      tenants = new Map<string, number>();
      lives.set(life, tenants);
    }
    return tenants;
  }
}

function messageOf(life: string, windows: readonly WindowUsage[]): UsageMessage {
  const told: WindowUsage[] = [];
  let left = constants.usageCountsMost;
  for (const { window, counts } of windows) {
    const fitting: readonly TenantCount[] = counts.slice(0, left);
    left -= fitting.length;
    if (fitting.length > 0) told.push({ window, counts: fitting });
  }
  return { kind: "usage", life, since: 0, upTo: 0, windows: told };
}
