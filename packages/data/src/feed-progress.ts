/** Invariant of a node: while control answers its heartbeats, the feed delivers each change within a bound (docs/design.md §4.1). */
import { constants } from "@chutewick/parts";

/** A feed index that control reported and that this node has not reached. */
interface AwaitedIndex {
  readonly feedIndex: number;
  /** Since when it is awaited, without a gap in the contact with control; in ms, monotonic. */
  readonly since: number;
}

/** Counts how often a node stayed behind the feed index that control reported, though it was in contact all the time. */
export class FeedProgress {
  #awaited: AwaitedIndex | undefined;
  #lastHeartbeatAt = Number.NEGATIVE_INFINITY;
  /** Violations since the process started. */
  violations = 0;

  /** Records a message of a control machine at index `controlIndex` while this node is at `ownIndex`; `now` in ms, monotonic. */
  recordHeartbeat(controlIndex: number, ownIndex: number, now: number): void {
    const hadLostContact = now - this.#lastHeartbeatAt > constants.quorumContactTimeoutMs;
    this.#lastHeartbeatAt = now;
    if (hadLostContact || (this.#awaited !== undefined && ownIndex >= this.#awaited.feedIndex))
      this.#awaited = undefined;
    if (ownIndex < controlIndex) this.#awaited ??= { feedIndex: controlIndex, since: now };
    if (this.#awaited === undefined || now - this.#awaited.since <= constants.maxFeedLagMs) return;
    this.violations += 1;
    this.#awaited = { feedIndex: controlIndex, since: now };
  }
}
