/**
 * Deterministic weighted choice: the candidate with the greatest key is chosen, with a probability
 * proportional to its weight (Efraimidis and Spirakis, "Weighted random sampling with a reservoir",
 * 2006). The hash of a seed replaces the random number.
 */
import { rendezvous } from "@chutewick/parts";

/** Divisor that maps a 32-bit hash plus one into the open interval (0, 1). */
const HASH_DIVISOR = 4_294_967_297;

/**
 * Returns the key of a candidate.
 * @param seed identifies the choice and the candidate
 * @param weight greater than 0
 */
export function weightedKey(seed: string, weight: number): number {
  const uniform = (rendezvous.hash(seed) + 1) / HASH_DIVISOR;
  return Math.log(uniform) / weight;
}
