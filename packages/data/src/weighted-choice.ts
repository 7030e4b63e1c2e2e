/**
 * Weighted random choice without a source of randomness: of several candidates the one with the
 * greatest key is chosen, with a chance in proportion to its weight (Efraimidis and Spirakis,
 * "Weighted random sampling with a reservoir", 2006). The hash of a seed takes the place of chance.
 */
import { duty } from "@chutewick/parts";

/** Hashes have 32 bits; with one added on both sides a chance lies between 0 and 1, both excluded. */
const HASH_RANGE = 4_294_967_297;

/** The key of a candidate; the seed names the choice and the candidate, the weight is over 0. */
export function weightedKey(seed: string, weight: number): number {
  const chance = (duty.spread(seed) + 1) / HASH_RANGE;
  return Math.log(chance) / weight;
}
