import { constants, type NodeDescriptor } from "@chutewick/parts";

/** Position of a node that lags behind the feed. */
interface Lag {
  /** Monotonic time in ms at which the node reached this position or was first seen lagging. */
  readonly at: number;
  /** Log index that the node has reached. */
  readonly place: number;
}

/** How long the lag of a silent node is retained. */
const LAG_RETENTION_MS = constants.sessionTimeoutMs * 8;

/** Detects nodes that do not keep up with the feed; a node without progress loses its lease so that it doesn't block changes. */
export class LaggingNodes {
  /** By the node's identity. */
  readonly #lags = new Map<string, Lag>();

  /** Whether a node has lagged behind the feed without progress for longer than `maxFeedLagForLeaseMs`. */
  isLagging(card: NodeDescriptor, feedPlace: number, now: number): boolean {
    if (card.place >= feedPlace) {
      this.#lags.delete(card.identity);
      return false;
    }
    const lag = this.#lags.get(card.identity);
    if (lag === undefined || lag.place < card.place) {
      this.#lags.set(card.identity, { at: now, place: card.place });
      return false;
    }
    return now - lag.at > constants.maxFeedLagForLeaseMs;
  }

  /** Discards the state of nodes that are gone. */
  forget(now: number): void {
    for (const [identity, lag] of this.#lags)
      if (now - lag.at > LAG_RETENTION_MS) this.#lags.delete(identity);
  }
}
