/** Time agreed from the wall clocks of several machines, of which some may be stepped; no I/O (docs/design.md §14.1). */
import { constants } from "./constants.js";

/** A wall clock reading of a machine. */
export interface ClockReading {
  /** Machine that reported the reading. */
  readonly source: string;
  /** ms since the start of 1970. */
  readonly wall: number;
  /** Upper bound in ms on the age of the reading when its message arrived, measured by this process. */
  readonly late: number;
}

/** The last reading of a wall clock. */
interface SeenClock {
  /** ms by which the wall clock is ahead of the monotonic clock of this process. */
  readonly offset: number;
  /** Arrival of the reading, in ms of the monotonic clock. */
  readonly heardAt: number;
}

/**
 * Agreed time: the monotonic clock of this process plus the median offset of the machines' wall clocks from it. Steps of a
 * minority of the clocks don't change it, nor does a step of this machine's own clock, which is used only while too few
 * clocks are known.
 */
export class AgreedTime {
  readonly #clocks = new Map<string, SeenClock>();
  #ownOffset: number | undefined;
  /** When the first clock was read, in ms of the monotonic clock. */
  #firstReadAt: number | undefined;
  /** The median offset in ms. */
  #offset: number | undefined;
  /** When enough clocks were last known for the median, in ms of the monotonic clock. */
  #agreedAt = Number.NEGATIVE_INFINITY;
  /** The latest time that was returned, in ms. */
  #latest = Number.NEGATIVE_INFINITY;

  /** Records a reported wall clock; a reading that may be too old is ignored. */
  recordReading({ source, wall, late }: ClockReading, now: number): void {
    const isReadable = late >= 0 && late <= constants.maxReportedClockDelayMs;
    if (!isReadable) return;
    // On average the clock was read in the middle of the interval.
    this.#clocks.set(source, { offset: wall - now + late / 2, heardAt: now });
    this.#agree(now);
  }

  /** Records the wall clock of this machine; called with each tick. */
  readOwnClock(wall: number, now: number): void {
    this.#ownOffset = wall - now;
    this.#agree(now);
  }

  /** Agreed time in ms since 1970, or undefined before enough clocks were read. A small step back makes it stand still instead. */
  at(now: number): number | undefined {
    if (this.#offset === undefined) return undefined;
    const time = now + this.#offset;
    const isSmallStepBack =
      time < this.#latest && this.#latest - time <= constants.maxAgreedTimeHoldMs;
    if (!isSmallStepBack) this.#latest = time;
    return this.#latest;
  }

  #agree(now: number): void {
    this.#firstReadAt ??= now;
    for (const [source, { heardAt }] of this.#clocks)
      if (now - heardAt > constants.reportedClockRetentionMs) this.#clocks.delete(source);
    const offsets: number[] = [];
    for (const { offset } of this.#clocks.values()) offsets.push(offset);
    if (offsets.length >= constants.minAgreedClocks) this.#agreedAt = now;
    // For a while the monotonic clock is more reliable than one or two wall clocks, which may have been stepped.
    else if (now - this.#agreedAt <= constants.agreedOffsetValidityMs) return;
    // A process that has just started may soon receive enough clocks; its own may have been stepped.
    else if (now - this.#firstReadAt < constants.clockWaitMs) return;
    else if (this.#ownOffset !== undefined) offsets.push(this.#ownOffset);
    this.#offset = medianOffset(this.#offset, offsets);
  }
}

/** The median; of two middle values the one closer to the previous offset, since the other may have been stepped. */
function medianOffset(previous: number | undefined, offsets: number[]): number | undefined {
  offsets.sort(ascending);
  const upper = offsets[Math.floor(offsets.length / 2)];
  const lower = offsets[Math.floor((offsets.length - 1) / 2)];
  if (upper === undefined || lower === undefined) return previous;
  if (previous === undefined) return lower;
  return Math.abs(upper - previous) < Math.abs(lower - previous) ? upper : lower;
}

function ascending(left: number, right: number): number {
  return left - right;
}
