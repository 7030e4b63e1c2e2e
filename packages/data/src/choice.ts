import type { Membership, Standing } from "./membership.js";
import type { PassInquiry } from "./dialect.js";

/** Which runner a work goes to (docs/design.md §13.4). Learnt from own traffic, and shared between nodes by their sessions. */
export interface Chosen {
  readonly runner: string;
  readonly incarnation: number;
  readonly address: string;
}

export type GoEnd = "done" | "refused" | "unsent" | "broken" | "failed" | "left";

export class Choice {
  #membership: Membership;
  #standing: Standing;
  #go = 0;

  constructor(membership: Membership, standing: Standing) {
    this.#membership = membership;
    this.#standing = standing;
  }

  /** Numbers all goes of this process. */
  nextGo(): number {
    this.#go += 1;
    return this.#go;
  }

  /** The runner of a pool that is best for an inquiry, none of those tried; for items only within the room that live work leaves. */
  choose(pool: string, inquiry: PassInquiry, tried: ReadonlySet<string>, item: boolean, now: number): Chosen | undefined {
    for (const card of this.#membership.runners(now)) {
      if (card.pool !== pool || tried.has(card.id)) continue;
      if (inquiry.model !== undefined && !card.models.includes(inquiry.model) && !item) continue;
      return { runner: card.id, incarnation: card.incarnation, address: card.url };
    }
    return undefined;
  }

  /** A go begins at a runner, gives a first sign of work, and ends. */
  begin(_go: number, _runner: string, _inquiry: PassInquiry, _item: boolean, _now: number): void {}

  first(_go: number, _now: number): void {}

  end(_go: number, _how: GoEnd, _retryAfter: number | undefined, _now: number): void {}

  /** Items that this node may have begun beyond those under way, on the runners of a pool. */
  room(_pool: string, _now: number): number {
    return 4;
  }

  /** What this node tells the others. */
  burdens(): [runner: string, live: number, items: number][] {
    return [];
  }

  get zone(): string { return this.#standing.zone; }
}
