import type { ClientSight } from "../machines.js";

/** What a client sees who overrides only the answers that matter to it. */

function nothing(): void {
  // Nobody listens.
}

/** A client that listens to nothing. */
export const deafClient: ClientSight = {
  reply: nothing,
  bytes: nothing,
  open: nothing,
  piece: nothing,
  close: nothing,
  trouble: nothing,
  torn: nothing,
};

/** ms that a client waits for the answer to a live request or a hand-in. */
export const CLIENT_PATIENCE = 12_000;
