import type { PersistedChain, ChainView } from "@chutewick/parts";
import { zoneNamed } from "../machines.js";
import { CONTROL_CHAIN, QUEUE_PREFIX } from "../stuck.js";
import type { Machine } from "../world.js";
import { machineOf, type Fleet } from "./fleet.js";

/** Where the copies of the chains stand: judged before a disk may be lost, and at the end of a run. */

/** Zones of a fleet, and so zones over which a queue's copies are spread. */
const ZONES = 3;

/** Whether as many whole copies of everything as are wanted stand on disks that are still there. */
export function areCopiesWhole(fleet: Fleet): boolean {
  const { controls, storages } = fleet;
  const { controlsWanted, copiesWanted } = fleet.world.policy;
  const newest = newestControlView(fleet);
  if (newest === undefined || newest.members.length < controlsWanted) return false;
  if (!areAllCurrent(controls, CONTROL_CHAIN, newest)) return false;
  const head = machineOf(controls, newest.members[0]!.identity)!;
  for (const [key, value] of holdingOf(head, CONTROL_CHAIN)!.records) {
    if (!key.startsWith(QUEUE_PREFIX)) continue;
    const view = value as ChainView;
    if (view.members.length < copiesWanted) return false;
    if (!areAllCurrent(storages, key.slice(QUEUE_PREFIX.length), view)) return false;
  }
  return true;
}

/** Whether two copies of a queue stand in one zone although the machines left to keep queues stand in three. */
export function doCopiesShareZone(fleet: Fleet, emptiedIdentity: string | undefined): boolean {
  const zones = new Set<string>();
  for (const storage of fleet.storages)
    if (storage.folder?.identity !== emptiedIdentity) zones.add(zoneNamed(storage.name));
  if (zones.size < ZONES) return false;
  for (const { members } of queueViews(fleet)) {
    const used = new Set<string>();
    for (const { address } of members) used.add(zoneNamed(address));
    if (used.size < ZONES) return true;
  }
  return false;
}

/** Whether the storage machine with this identity still is a member of a queue's chain. */
export function holdsQueue(fleet: Fleet, identity: string): boolean {
  for (const { members } of queueViews(fleet))
    for (const member of members) if (member.identity === identity) return true;
  return false;
}

function newestControlView({ controls }: Fleet): ChainView | undefined {
  let newest: ChainView | undefined;
  for (const { folder } of controls) {
    const view = folder?.votes?.view;
    if (view !== undefined && (newest === undefined || view.mark > newest.mark)) newest = view;
  }
  return newest;
}

/** Whether each member of a view holds its chain in that view. */
function areAllCurrent(machines: readonly Machine[], chain: string, view: ChainView): boolean {
  for (const { identity } of view.members) {
    const machine = machineOf(machines, identity);
    const held = machine === undefined ? undefined : holdingOf(machine, chain);
    if (held === undefined || held.state.view.mark !== view.mark) return false;
  }
  return true;
}

function holdingOf(machine: Machine, chain: string): PersistedChain | undefined {
  return machine.folder!.holdings().get(chain);
}

/** The views of all queues, as the head of the control chain tells them. */
function queueViews(fleet: Fleet): ChainView[] {
  const queues = fleet.head()?.core.status(fleet.world.now)["queues"] as
    Record<string, ChainView> | undefined;
  return Object.values(queues ?? {});
}
