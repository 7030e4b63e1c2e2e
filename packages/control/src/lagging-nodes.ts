import { constants, type NodeCard } from "@chutewick/parts";

/** Where and since when a node stands behind the feed. */
interface Lag {
  /** ms. */
  readonly at: number;
  readonly place: number;
}

/** ms. How long a lag is remembered of a node that is not heard any more. */
const LAG_REMEMBERED = constants.sessionLasts * 8;

/** Nodes that do not keep up with the feed: one that makes no progress loses its lease rather than hold up a change. */
export class LaggingNodes {
  /** By identity of the node. */
  readonly #lags = new Map<string, Lag>();

  /** Whether a node has stood behind the feed without progress for longer than `lagLasts`. */
  isLagging(card: NodeCard, feedPlace: number, now: number): boolean {
    if (card.place >= feedPlace) {
      this.#lags.delete(card.identity);
      return false;
    }
    const lag = this.#lags.get(card.identity);
    if (lag === undefined || lag.place < card.place) {
      this.#lags.set(card.identity, { at: now, place: card.place });
      return false;
    }
    return now - lag.at > constants.lagLasts;
  }

  /** Forgets nodes that are gone. */
  forget(now: number): void {
    for (const [identity, lag] of this.#lags)
      if (now - lag.at > LAG_REMEMBERED) this.#lags.delete(identity);
  }
}
