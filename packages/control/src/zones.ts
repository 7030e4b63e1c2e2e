import type { Member, NodeDescriptor } from "@chutewick/parts";

/** Spread of replicas over zones (docs/design.md §8.2). */

/** Zones of the live members. */
export function zonesOf(
  members: readonly Member[],
  live: ReadonlyMap<string, NodeDescriptor>,
): Set<string> {
  const zones = new Set<string>();
  for (const { identity } of members) {
    const card = live.get(identity);
    if (card !== undefined) zones.add(card.zone);
  }
  return zones;
}

/** Live members that share their zone with another live member. */
export function membersSharingZone(
  members: readonly Member[],
  live: ReadonlyMap<string, NodeDescriptor>,
): Member[] {
  const byZone = new Map<string, Member[]>();
  for (const member of members) {
    const zone = live.get(member.identity)?.zone;
    if (zone === undefined) continue;
    const inZone = byZone.get(zone) ?? [];
    inZone.push(member);
    byZone.set(zone, inZone);
  }
  const sharing: Member[] = [];
  for (const inZone of byZone.values()) if (inZone.length > 1) sharing.push(...inZone);
  return sharing;
}

/** Reorders ranked identities so that the first of each zone precede all others; the order is otherwise kept. */
export function spreadOverZones(
  ranked: readonly string[],
  live: ReadonlyMap<string, NodeDescriptor>,
): string[] {
  const first: string[] = [];
  const others: string[] = [];
  const zones = new Set<string>();
  for (const identity of ranked) {
    const { zone } = live.get(identity)!;
    (zones.has(zone) ? others : first).push(identity);
    zones.add(zone);
  }
  return [...first, ...others];
}
