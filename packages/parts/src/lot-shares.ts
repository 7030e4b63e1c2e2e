/** A queue's limits and its share of waiting work, divided by season. */
import type { Limits } from "./bucket.js";
import { season as seasons, type Selector } from "./season.js";

/** The queue's limits and its share of waiting work, as last assigned by the control plane. */
export interface Share {
  readonly limits: Limits;
  /** Sum of the classes' shares. */
  readonly share: number;
  /** Version of the control state that assigned them. */
  readonly mark: number;
  readonly classes?: readonly ShareClass[];
}

/**
 * The share of one season (a dated window with label selectors) in this queue, or of the lots that no season selects
 * (""). The first class that selects a lot applies (docs/design.md §8.4).
 */
export interface ShareClass {
  readonly season: string;
  readonly select: readonly Selector[];
  readonly runners: readonly Selector[];
  readonly share: number;
}

const noSelectors: readonly Selector[] = [];

/** The classes of a share. Shares written by releases without classes have one class that selects every lot. */
export function classesOf(share: Share | undefined): readonly ShareClass[] {
  return share === undefined
    ? []
    : (share.classes ?? [
        { season: "", select: noSelectors, runners: noSelectors, share: share.share },
      ]);
}

/** Whether two limits are equal. */
export function sameLimits(left: Limits, right: Limits): boolean {
  return (
    left.tokens === right.tokens &&
    left.windowSeconds === right.windowSeconds &&
    left.capacity === right.capacity
  );
}

/** The first class that selects a lot by its labels. */
export function governingClass(
  share: Share | undefined,
  labels: Readonly<Record<string, string>>,
): ShareClass | undefined {
  for (const shareClass of classesOf(share))
    if (seasons.matches(shareClass.select, labels)) return shareClass;
  return undefined;
}

/** The season whose share an unfinished lot counts against: its own while that has a share, else the first that selects it now. */
export function seasonCharged(
  classes: readonly ShareClass[],
  own: string,
  labels: Readonly<Record<string, string>>,
): string {
  for (const { season, share } of classes) if (season === own && share > 0) return own;
  for (const { season, share, select } of classes)
    if (share > 0 && seasons.matches(select, labels)) return season;
  return own;
}
