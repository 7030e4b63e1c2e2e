import { Chance } from "@chutewick/simulator";

/** All choices of so many numbers below a bound. */
export function choices(count: number, bound: number, from = 0): number[][] {
  if (count === 0) return [[]];
  const found: number[][] = [];
  for (let first = from; first < bound; first += 1)
    for (const rest of choices(count - 1, bound, first + 1)) found.push([first, ...rest]);
  return found;
}

/** Of too many plays, a spread that is the same each time. */
export function spreadOf<Play>(plays: readonly Play[], most: number, seed: number): Play[] {
  const chance = new Chance(seed);
  const spread = [...plays];
  while (spread.length > most) spread.splice(chance.below(spread.length), 1);
  return spread;
}
