/** Random numbers of one seed (mulberry32 from a scrambled seed): the same seed draws the same numbers. */
export class Chance {
  #state: number;

  constructor(seed: number) {
    this.#state = (Math.imul(seed + 1, 2_654_435_761) ^ 0x5bd1e995) >>> 0;
  }

  /** From 0 up to, but not including, 1. */
  next(): number {
    this.#state = (this.#state + 0x6d2b79f5) >>> 0;
    let mixed = this.#state;
    mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
  }

  /** A whole number from 0 up to, but not including, the bound. */
  below(bound: number): number {
    return Math.floor(this.next() * bound);
  }

  /** A number from the low bound up to the high one. */
  between(low: number, high: number): number {
    return low + this.next() * (high - low);
  }

  pick<Value>(from: readonly Value[]): Value {
    return from[this.below(from.length)]!;
  }

  happens(probability: number): boolean {
    return this.next() < probability;
  }
}
