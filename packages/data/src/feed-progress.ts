/** Invariant of a node: while control is heard, the feed brings each change within a bound (docs/design.md §4.1). */
import { constants } from "@chutewick/parts";

/** A place of the feed that control told of and that this node has not reached. */
interface AwaitedPlace {
  readonly place: number;
  /** ms, monotonic. Since when it is awaited, with control heard all the time. */
  readonly since: number;
}

/** Counts how often a node that heard control all the time stayed behind the place that control told. */
export class FeedProgress {
  #awaited: AwaitedPlace | undefined;
  #heardAt = Number.NEGATIVE_INFINITY;
  /** Violations since the start. */
  violations = 0;

  /** A control machine was heard that stands at `place`, while this node stands at `reached`; `now` in ms, monotonic. */
  heard(place: number, reached: number, now: number): void {
    const wasAway = now - this.#heardAt > constants.nearLasts;
    this.#heardAt = now;
    if (wasAway || (this.#awaited !== undefined && reached >= this.#awaited.place))
      this.#awaited = undefined;
    if (reached < place) this.#awaited ??= { place, since: now };
    if (this.#awaited === undefined || now - this.#awaited.since <= constants.feedLagMost) return;
    this.violations += 1;
    this.#awaited = { place, since: now };
  }
}
