import type { Member, NodeCard } from "@chutewick/parts";

/** Spread of replicas over zones (docs/design.md §8.2). */

/** Zones in which live members stand. */
export function zonesOf(
  members: readonly Member[],
  live: ReadonlyMap<string, NodeCard>,
): Set<string> {
  const zones = new Set<string>();
  for (const { identity } of members) {
    const card = live.get(identity);
    if (card !== undefined) zones.add(card.zone);
  }
  return zones;
}

/** The live members that stand in a zone with another. */
export function sharingZone(
  members: readonly Member[],
  live: ReadonlyMap<string, NodeCard>,
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

/** Identities in the same order, but the first of each zone before the second of any. */
export function spreadOverZones(
  ranked: readonly string[],
  live: ReadonlyMap<string, NodeCard>,
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
