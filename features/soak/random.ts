/** Random numbers of one run: the same seed draws the same numbers. */
export class Random {
  #state: number;

  constructor(seed: number) {
    this.#state = seed >>> 0;
  }

  /** From 0 to below 1 (mulberry32). */
  next(): number {
    this.#state = (this.#state + 0x6d2b79f5) >>> 0;
    let mixed = this.#state;
    mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
  }

  /** A number in a span. */
  between(least: number, most: number): number {
    return least + this.next() * (most - least);
  }

  /** A whole number in a span, both ends included. */
  whole(least: number, most: number): number {
    return Math.floor(this.between(least, most + 1));
  }

  chance(probability: number): boolean {
    return this.next() < probability;
  }

  /** One of a list that is not empty. */
  pick<Value>(values: readonly Value[]): Value {
    return values[this.whole(0, values.length - 1)]!;
  }

  /** Another random source, so that what one part draws does not depend on the pace of the others. */
  split(): Random {
    return new Random(Math.floor(this.next() * 4_294_967_296));
  }
}
