/** Live requests that began to run at a runner, by window of true time and tenant; without I/O (docs/design.md §14.2). */
import type { TenantCount, WindowUsage } from "@chutewick/control";
import { constants, type AgreedTime } from "@chutewick/parts";

/** Counts of one window. */
interface CountedWindow {
  readonly tenants: Map<string, { count: number; changedAt: number }>;
  /** Number of its last change. */
  changedAt: number;
}

/** Counts that changed, and the number of the last change among them. */
export interface ChangedUsage {
  readonly upTo: number;
  readonly windows: readonly WindowUsage[];
}

/** Counts of this node, kept until control machines that restart need them no more. */
export class UsageCounter {
  readonly #windows = new Map<number, CountedWindow>();
  readonly #time: AgreedTime;
  /** ms. */
  readonly #length: number | undefined;
  #changes = 0;

  /** Counts nothing where windows have no length. */
  constructor(time: AgreedTime, length: number | undefined) {
    this.#time = time;
    this.#length = length;
  }

  /** Number of the last change. */
  get changes(): number {
    return this.#changes;
  }

  /** The window in force; undefined where nothing is counted. */
  windowAt(now: number): number | undefined {
    const time = this.#time.at(now);
    return this.#length === undefined || time === undefined
      ? undefined
      : Math.floor(time / this.#length);
  }

  /** A request of a tenant began to run in a window, to which it belongs whatever clocks do afterwards. */
  began(tenant: string, window: number): void {
    this.#changes += 1;
    let counted = this.#windows.get(window);
    if (counted === undefined) {
      counted = { tenants: new Map(), changedAt: 0 };
      this.#windows.set(window, counted);
    }
    counted.changedAt = this.#changes;
    const held = counted.tenants.get(tenant);
    if (held === undefined) counted.tenants.set(tenant, { count: 1, changedAt: this.#changes });
    else {
      held.count += 1;
      held.changedAt = this.#changes;
    }
  }

  /** Counts that changed after a change: all of them, or the earliest where they are too many for one message. */
  changedSince(change: number): ChangedUsage {
    const changed: { window: number; count: TenantCount; changedAt: number }[] = [];
    for (const [window, { tenants, changedAt: newest }] of this.#windows) {
      if (newest <= change) continue;
      for (const [tenant, { count, changedAt }] of tenants)
        if (changedAt > change) changed.push({ window, count: [tenant, count], changedAt });
    }
    if (changed.length <= constants.usageCountsMost)
      return { upTo: this.#changes, windows: byWindow(changed) };
    changed.sort((left, right) => left.changedAt - right.changedAt);
    const first = changed.slice(0, constants.usageCountsMost);
    return { upTo: first.at(-1)!.changedAt, windows: byWindow(first) };
  }

  /** Forgets windows that ended long ago. */
  forget(now: number): void {
    const current = this.windowAt(now);
    if (current === undefined || this.#length === undefined) return;
    const kept = Math.ceil(constants.usageKept / this.#length);
    for (const window of this.#windows.keys())
      if (Math.abs(window - current) > kept) this.#windows.delete(window);
  }
}

function byWindow(
  changed: readonly { readonly window: number; readonly count: TenantCount }[],
): WindowUsage[] {
  const windows = new Map<number, TenantCount[]>();
  for (const { window, count } of changed) {
    const counts = windows.get(window);
    if (counts === undefined) windows.set(window, [count]);
    else counts.push(count);
  }
  return [...windows].map(([window, counts]) => ({ window, counts }));
}
