/** Tracks when the shares of waiting work follow a change of the configuration (docs/design.md §7.1, §8.4). */
import type { Feed } from "@chutewick/parts";
import { configuration, type VersionedConfiguration } from "./configuration.js";
import { keys } from "./keys.js";
import { quotaClasses, type ControlCommand, type QueueQuota } from "./machine.js";

/**
 * Tracks for the head which changes already have their shares in the feed. A change that moves shares is in force only together
 * with the new shares: a node that has only the change would still admit lots (batch jobs) by the previous shares.
 */
export class ShareTracker {
  /** Newest log index of the feed at which planning changed no share. */
  #lastInStepIndex = 0;

  /** Called after each planning round with the commands that the head is about to submit. */
  planned(commands: readonly ControlCommand[], feed: Feed): void {
    if (!commands.some((command) => changesShares(command, feed)))
      this.#lastInStepIndex = feed.place;
  }

  /** Log index that lease holders must reach for the change at `place` to be in force; undefined while it is not known. */
  inForceBy(place: number, feed: Feed): number | undefined {
    if (!hasSeasons(feed)) return place;
    return this.#lastInStepIndex >= place ? this.#lastInStepIndex : undefined;
  }
}

/**
 * Whether any season is configured or recorded. Only seasons divide waiting work by a configuration change; work that no season
 * selects is limited by the throttle level alone.
 */
function hasSeasons(feed: Feed): boolean {
  const { value } = configuration.read(feed.read<VersionedConfiguration>(keys.configuration));
  if (Object.keys(value.seasons).length > 0) return true;
  for (const [, standing] of feed.under<QueueQuota>(keys.standing))
    if (quotaClasses(standing).some(({ season }) => season !== "")) return true;
  return false;
}

function changesShares(command: ControlCommand, feed: Feed): boolean {
  if (command.kind !== "stand") return false;
  const current = feed.read<QueueQuota>(keys.standing + command.queue);
  return current?.shareMark !== command.standing.shareMark;
}
