/** Counts the live requests that started at a runner, by tenant and window of the agreed time; without I/O (docs/design.md §14.2). */
import type { TenantCount, WindowUsage } from "@chutewick/control";
import { constants, type AgreedTime } from "@chutewick/parts";

/** Counts of one window, by tenant. */
interface CountedWindow {
  readonly tenants: Map<string, { count: number; changedAt: number }>;
  /** Sequence number of its last change. */
  changedAt: number;
}

/** Changed counts, with the sequence number of the last change among them. */
export interface ChangedUsage {
  readonly upTo: number;
  readonly windows: readonly WindowUsage[];
}

/** Usage counts of this node, retained long enough to resend them to control machines that restart. */
export class UsageCounter {
  readonly #windows = new Map<number, CountedWindow>();
  readonly #time: AgreedTime;
  readonly #windowLengthMs: number | undefined;
  #changes = 0;

  /** @param windowLengthMs length of a window; if undefined, nothing is counted */
  constructor(time: AgreedTime, windowLengthMs: number | undefined) {
    this.#time = time;
    this.#windowLengthMs = windowLengthMs;
  }

  /** Sequence number of the last change. */
  get changes(): number {
    return this.#changes;
  }

  /** Returns the current window number; undefined if nothing is counted or the agreed time is not known. */
  windowAt(now: number): number | undefined {
    const time = this.#time.at(now);
    return this.#windowLengthMs === undefined || time === undefined
      ? undefined
      : Math.floor(time / this.#windowLengthMs);
  }

  /** Counts a request of a tenant in the window in which it started; later clock changes do not move it to another one. */
  recordStart(tenant: string, window: number): void {
    this.#changes += 1;
    let counted = this.#windows.get(window);
    if (counted === undefined) {
      counted = { tenants: new Map(), changedAt: 0 };
      this.#windows.set(window, counted);
    }
    counted.changedAt = this.#changes;
    const existing = counted.tenants.get(tenant);
    if (existing === undefined) counted.tenants.set(tenant, { count: 1, changedAt: this.#changes });
    else {
      existing.count += 1;
      existing.changedAt = this.#changes;
    }
  }

  /** Returns the counts that changed after a given change; only the earliest ones if all do not fit into one message. */
  changedSince(change: number): ChangedUsage {
    const changed: { window: number; count: TenantCount; changedAt: number }[] = [];
    for (const [window, { tenants, changedAt: newest }] of this.#windows) {
      if (newest <= change) continue;
      for (const [tenant, { count, changedAt }] of tenants)
        if (changedAt > change) changed.push({ window, count: [tenant, count], changedAt });
    }
    if (changed.length <= constants.maxUsageCountsPerMessage)
      return { upTo: this.#changes, windows: byWindow(changed) };
    changed.sort((left, right) => left.changedAt - right.changedAt);
    const first = changed.slice(0, constants.maxUsageCountsPerMessage);
    return { upTo: first.at(-1)!.changedAt, windows: byWindow(first) };
  }

  /** Deletes windows that are past their retention. */
  forget(now: number): void {
    const current = this.windowAt(now);
    if (current === undefined || this.#windowLengthMs === undefined) return;
    const retainedWindows = Math.ceil(constants.usageRetentionMs / this.#windowLengthMs);
    for (const window of this.#windows.keys())
      if (Math.abs(window - current) > retainedWindows) this.#windows.delete(window);
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
