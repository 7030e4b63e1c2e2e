/** Status report of a control machine for operators. */
import type {
  ChainView,
  DiskCondition,
  Feed,
  Member,
  NodeDescriptor,
  Policy,
  RunnerRegistry,
} from "@chutewick/parts";
import type { VersionedConfiguration } from "./configuration.js";
import { keys } from "./keys.js";
import type { QueueQuota } from "./machine.js";
import type { ShareReport } from "./pace.js";
import { queuesByMachine } from "./queue-placement.js";
import { recordsByQueue } from "./queue-reports.js";
import { zonesOf } from "./zones.js";

/** The state that the status of a control machine is made from. */
export interface StatusSource {
  readonly self: Member;
  readonly view: ChainView | undefined;
  readonly isHead: boolean;
  /** Whether a quorum of control machines is reachable; if not, the status may be out of date. */
  readonly hasQuorum: boolean;
  readonly disk: DiskCondition;
  readonly feed: Feed;
  readonly registry: RunnerRegistry;
  /** Storage machines with a session. */
  readonly storage: readonly NodeDescriptor[];
  readonly queueQuotas: ReadonlyMap<string, QueueQuota>;
  readonly reports: ReadonlyMap<string, ShareReport>;
  readonly policy: Policy;
}

/** The status as JSON. */
export function controlStatus(source: StatusSource): Record<string, unknown> {
  const { feed, registry } = source;
  const queues = recordsByQueue<ChainView>(feed, keys.queue);
  return {
    self: source.self,
    place: feed.place,
    configuration: feed.read<VersionedConfiguration>(keys.configuration)?.mark ?? 0,
    view: source.view,
    head: source.isHead,
    quorum: source.hasQuorum,
    disk: source.disk,
    nodes: registry.nodes.map(nodeStatus),
    runners: registry.runners,
    queues: Object.fromEntries(queues),
    standings: quotaStatus(source),
    emptying: drainStatus(feed, queues),
    safeToLoseOne: isSafeToLoseOne(source, queues),
    safeToLoseZone: zonesNotSafeToLose(source, queues) ?? true,
  };
}

/** A node as its session describes it, without its reports. */
function nodeStatus(node: RunnerRegistry["nodes"][number]): Record<string, unknown> {
  const { telling: _telling, ...card } = node.card;
  return { ...card, age: Math.round(node.age) };
}

function quotaStatus({ queueQuotas: standings, reports }: StatusSource): Record<string, unknown> {
  const status: Record<string, unknown> = {};
  for (const [queue, quota] of standings)
    status[queue] = { ...quota, report: reportStatus(reports.get(queue)) };
  return status;
}

function reportStatus(report: ShareReport | undefined): Record<string, unknown> | undefined {
  if (report === undefined) return undefined;
  return { shareMark: report.shareMark, classes: Object.fromEntries(report.classes) };
}

/** The number of queues that each machine under drain still stores. */
function drainStatus(feed: Feed, queues: ReadonlyMap<string, ChainView>): Record<string, unknown> {
  const counts = queuesByMachine(queues.values());
  const status: Record<string, unknown> = {};
  for (const identity of recordsByQueue(feed, keys.emptying).keys())
    status[identity] = { queuesLeft: counts.get(identity) ?? 0 };
  return status;
}

/** Whether the control group and each queue have the full number of copies. */
function isSafeToLoseOne(
  { view, storage, policy }: StatusSource,
  queues: ReadonlyMap<string, ChainView>,
): boolean {
  if (view === undefined || view.members.length < policy.copiesWanted) return false;
  const live = new Set(storage.map(({ identity }) => identity));
  for (const { members } of queues.values()) {
    const copies = members.filter(({ identity }) => live.has(identity)).length;
    if (copies < policy.copiesWanted) return false;
  }
  return true;
}

/** For each zone whose loss would leave a queue too few copies, the reason; undefined if there is no such zone. */
function zonesNotSafeToLose(
  { storage, policy }: StatusSource,
  queues: ReadonlyMap<string, ChainView>,
): Record<string, string> | undefined {
  const live = new Map(storage.map((card) => [card.identity, card]));
  const reasons: Record<string, string> = {};
  for (const [queue, { members }] of queues) {
    for (const zone of zonesOf(members, live)) {
      const outside = members.filter(({ identity }) => isOutside(zone, live.get(identity))).length;
      if (outside < policy.copiesLeast) reasons[zone] = `${queue} has ${outside} copies outside`;
    }
  }
  return Object.keys(reasons).length === 0 ? undefined : reasons;
}

function isOutside(zone: string, card: NodeDescriptor | undefined): boolean {
  return card !== undefined && card.zone !== zone;
}
