import type { ChainView, Feed, NodeDescriptor, Sessions } from "@chutewick/parts";
import { configuration, type VersionedConfiguration } from "./configuration.js";
import { keys } from "./keys.js";
import type { QueueQuota } from "./machine.js";
import type { ShareReport, PlanningContext } from "./pace.js";

/** Sources of the planning context. */
export interface PlanningContextSource {
  readonly feed: Feed;
  readonly sessions: Sessions;
  /** Monotonic time in ms. */
  readonly now: number;
  /** Wall-clock time in ms. */
  readonly wall: number;
}

/** Collects the records in force, reports and sessions by which queues are throttled and their throttling is explained. */
export function planningContextOf({
  feed,
  sessions,
  now,
  wall,
}: PlanningContextSource): PlanningContext {
  const current = configuration.read(feed.read<VersionedConfiguration>(keys.configuration));
  const standings = recordsByQueue<QueueQuota>(feed, keys.standing);
  return {
    value: current.value,
    now,
    wall,
    queueQuotas: standings,
    reports: ownerReports(feed, sessions.live("storage", now), standings),
    runners: sessions.registry(now).runners,
    access: sessions.live("access", now),
  };
}

/** Records whose keys have a prefix followed by the name of a queue, by queue. */
export function recordsByQueue<Value>(feed: Feed, prefix: string): Map<string, Value> {
  const records = new Map<string, Value>();
  for (const [key, value] of feed.under<Value>(prefix))
    records.set(key.slice(prefix.length), value);
  return records;
}

/** Newest report of each queue's owner on its share of waiting work (docs/design.md §8.4); reports of other members are ignored. */
function ownerReports(
  feed: Feed,
  storage: readonly NodeDescriptor[],
  standings: ReadonlyMap<string, QueueQuota>,
): Map<string, ShareReport> {
  const reports = new Map<string, ShareReport>();
  for (const { identity, telling } of storage) {
    for (const [queue, shareMark, held, need, classes] of telling.shares ?? []) {
      const owner = feed.read<ChainView>(keys.queue + queue)?.members[0];
      if (owner?.identity !== identity) continue;
      // Earlier releases report no classes: all waiting work belongs to the season in force.
      const reported = classes ?? [[standings.get(queue)?.season ?? "", held, need] as const];
      reports.set(queue, { shareMark, classes: byClass(reported) });
    }
  }
  return reports;
}

function byClass(
  classReports: readonly (readonly [season: string, held: number, need: number])[],
): Map<string, { held: number; need: number }> {
  const classes = new Map<string, { held: number; need: number }>();
  for (const [season, held, need] of classReports) classes.set(season, { held, need });
  return classes;
}
