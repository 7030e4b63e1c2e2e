/** Counters of the load balancer for passages, from which operators see why requests are slow (docs/decisions.md). */
export class ChoiceCounts {
  /**
   * Requests with shared prompt parts, by whether the chosen runner has them cached: it is the runner that rendezvous hashing
   * assigns them to, it prefilled them for this node recently, or neither.
   */
  sharedAtHome = 0;
  sharedReadLately = 0;
  sharedUnread = 0;
  /** Tokens of shared parts that the chosen runner has not cached, as far as this node knows. */
  sharedTokensUnread = 0;
  /** Attempts by their connection: an idle open one, a new one, or one that must first become free. */
  connectionOpen = 0;
  connectionNew = 0;
  connectionAwaited = 0;
  /** First outputs of live requests, and the sums of their expected and their measured times in ms. */
  firstSigns = 0;
  firstSignsExpected = 0;
  firstSignsTook = 0;
  /** Choices for which no runner of the pool had a free slot. */
  noRunner = 0;
}
