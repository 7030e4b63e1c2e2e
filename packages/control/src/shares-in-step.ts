/** When the shares of waiting work follow from a change of the configuration (docs/design.md §7.1, §8.4). */
import type { Feed } from "@chutewick/parts";
import { configuration, type MarkedConfiguration } from "./configuration.js";
import { keys } from "./keys.js";
import { standingClasses, type ControlCommand, type QueueStanding } from "./machine.js";

/**
 * The head's view of which changes have their shares in the feed. A change that moves shares is in force only with them: a node
 * that knows the change alone would still judge lots by the shares of before.
 */
export class SharesInStep {
  /** The newest place of the feed at which no share was to be moved. */
  #inStepAt = 0;

  /** The head has planned at a place of the feed, and these commands are what it found to be entered. */
  planned(commands: readonly ControlCommand[], feed: Feed): void {
    if (!commands.some((command) => movesShares(command, feed))) this.#inStepAt = feed.place;
  }

  /** The place that lease holders must have for a change at an earlier one to be in force; undefined while it is not known. */
  inForceBy(place: number, feed: Feed): number | undefined {
    if (!hasSeasons(feed)) return place;
    return this.#inStepAt >= place ? this.#inStepAt : undefined;
  }
}

/** Seasons alone divide waiting work by what a change says; what no season selects goes by pace as before. */
function hasSeasons(feed: Feed): boolean {
  const { value } = configuration.read(feed.read<MarkedConfiguration>(keys.configuration));
  if (Object.keys(value.seasons).length > 0) return true;
  for (const [, standing] of feed.under<QueueStanding>(keys.standing))
    if (standingClasses(standing).some(({ season }) => season !== "")) return true;
  return false;
}

function movesShares(command: ControlCommand, feed: Feed): boolean {
  if (command.kind !== "stand") return false;
  const held = feed.read<QueueStanding>(keys.standing + command.queue);
  return held?.shareMark !== command.standing.shareMark;
}
