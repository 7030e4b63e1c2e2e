import type { Limits } from "./bucket.js";
import { season as seasons, type Selector } from "./season.js";

/** What the owner holds of control's word: the limits, its share of waiting work, and the mark of both. */
export interface Share {
  readonly limits: Limits;
  /** Sum of the classes' shares. */
  readonly share: number;
  readonly mark: number;
  readonly classes?: readonly ShareClass[];
}

/** Lots of one season in this queue, or those that no season selects (""); asked in this order (§8.4). */
export interface ShareClass {
  readonly season: string;
  readonly select: readonly Selector[];
  readonly runners: readonly Selector[];
  readonly share: number;
}

const none: readonly Selector[] = [];

/** What releases without classes wrote is one class that takes every lot. */
export function classesOf(share: Share | undefined): readonly ShareClass[] {
  return share === undefined
    ? []
    : (share.classes ?? [{ season: "", select: none, runners: none, share: share.share }]);
}

/** Whether two limits are the same. */
export function sameLimits(left: Limits, right: Limits): boolean {
  return (
    left.tokens === right.tokens &&
    left.windowSeconds === right.windowSeconds &&
    left.capacity === right.capacity
  );
}

/** The first class that selects a lot by its labels. */
export function governs(
  share: Share | undefined,
  labels: Readonly<Record<string, string>>,
): ShareClass | undefined {
  for (const each of classesOf(share)) if (seasons.matches(each.select, labels)) return each;
  return undefined;
}

/** The class that an open lot weighs on: its own season while that has a share, else the first that would select it now. */
export function weighsOn(
  classes: readonly ShareClass[],
  own: string,
  labels: Readonly<Record<string, string>>,
): string {
  for (const { season, share } of classes) if (season === own && share > 0) return own;
  for (const { season, share, select } of classes)
    if (share > 0 && seasons.matches(select, labels)) return season;
  return own;
}
