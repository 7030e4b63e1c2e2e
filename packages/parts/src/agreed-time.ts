/** True time from the wall clocks of several machines, of which some may be stepped; without I/O (docs/design.md §14.1). */
import { constants } from "./constants.js";

/** What a machine told of its wall clock. */
export interface ToldClock {
  /** The machine that told it. */
  readonly source: string;
  /** ms since the start of 1970. */
  readonly wall: number;
  /** ms between two moments of this process at most, between which the clock was read; the message arrived at the later one. */
  readonly late: number;
}

/** A wall clock as this process saw it last. */
interface SeenClock {
  /** ms. The wall clock minus the monotonic clock of this process. */
  readonly offset: number;
  /** ms, monotonic. */
  readonly heardAt: number;
}

/**
 * True time: the monotonic clock of this process and the median of what other machines' wall clocks are ahead of it. Steps of a
 * minority of the clocks don't move it, nor does a step of this machine's own clock, which counts only while few others were heard.
 */
export class AgreedTime {
  readonly #clocks = new Map<string, SeenClock>();
  #ownOffset: number | undefined;
  /** ms, monotonic. When the first clock was read. */
  #firstReadAt: number | undefined;
  /** ms. The median, and when enough clocks were heard for it. */
  #offset: number | undefined;
  #agreedAt = Number.NEGATIVE_INFINITY;
  /** ms. The latest time that was told. */
  #latest = Number.NEGATIVE_INFINITY;

  /** A machine told its wall clock; what may be too old says too little. */
  heard({ source, wall, late }: ToldClock, now: number): void {
    const isReadable = late >= 0 && late <= constants.toldClockLateMost;
    if (!isReadable) return;
    /** On average it was read in the middle. */
    this.#clocks.set(source, { offset: wall - now + late / 2, heardAt: now });
    this.#agree(now);
  }

  /** The wall clock of this machine, with each beat. */
  readOwnClock(wall: number, now: number): void {
    this.#ownOffset = wall - now;
    this.#agree(now);
  }

  /** ms since the start of 1970; undefined before enough clocks were read, or for a while if there are no more. It waits for a while rather than go back by a little. */
  at(now: number): number | undefined {
    if (this.#offset === undefined) return undefined;
    const time = now + this.#offset;
    const isLittleBack = time < this.#latest && this.#latest - time <= constants.agreedTimeWaits;
    if (!isLittleBack) this.#latest = time;
    return this.#latest;
  }

  #agree(now: number): void {
    this.#firstReadAt ??= now;
    for (const [source, { heardAt }] of this.#clocks)
      if (now - heardAt > constants.toldClockLasts) this.#clocks.delete(source);
    const offsets: number[] = [];
    for (const { offset } of this.#clocks.values()) offsets.push(offset);
    if (offsets.length >= constants.clocksLeast) this.#agreedAt = now;
    /** The monotonic clock keeps what was agreed better than a clock or two do that may have been stepped. */
    else if (now - this.#agreedAt <= constants.agreedTimeStands) return;
    /** A process that has just started may hear of enough clocks in a moment; its own may have been stepped. */
    else if (now - this.#firstReadAt < constants.clocksAwaited) return;
    else if (this.#ownOffset !== undefined) offsets.push(this.#ownOffset);
    this.#offset = medianNear(this.#offset, offsets);
  }
}

/** The median; of two in the middle the one nearer to what was agreed before, since the other may have been stepped. */
function medianNear(before: number | undefined, offsets: number[]): number | undefined {
  offsets.sort(ascending);
  const upper = offsets[Math.floor(offsets.length / 2)];
  const lower = offsets[Math.floor((offsets.length - 1) / 2)];
  if (upper === undefined || lower === undefined) return before;
  if (before === undefined) return lower;
  return Math.abs(upper - before) < Math.abs(lower - before) ? upper : lower;
}

function ascending(left: number, right: number): number {
  return left - right;
}
