/** What became of the choices of a node, for operators to see why work is late (docs/decisions.md). */
export class ChoiceCounts {
  /** Requests with shared parts by what the chosen runner keeps of them: it is their home, read them lately, or neither. */
  sharedAtHome = 0;
  sharedReadLately = 0;
  sharedUnread = 0;
  /** Tokens of shared parts that the chosen runner does not keep, as far as this node knows. */
  sharedTokensUnread = 0;
  /** Work by the connection that it goes out on: one that is open, a new one, or one that must come free first. */
  connectionOpen = 0;
  connectionNew = 0;
  connectionAwaited = 0;
  /** First signs of live work, and the sums of what was expected and of what it took, in ms. */
  firstSigns = 0;
  firstSignsExpected = 0;
  firstSignsTook = 0;
  /** Choices for which no runner of the pool had room. */
  noRunner = 0;
}
