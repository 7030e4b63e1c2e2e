/** Draws days for the users' bench: each holds several troubles, each of them more than once. */
import { closings, editions, NEWEST_EDITION, type Edition } from "./catalogue.js";
import type { Variant } from "./variants.js";

/** Variants on one day, and how often each of them comes. */
const VARIANTS_A_DAY = 6;
const TIMES_EACH = 2;
/** When troubles may come, in seconds from the start of traffic; traffic lasts 34 s on small sites. */
const FIRST_AT = 1.5;
const LAST_AT = 27;
/** A fault at the same moment for every seed would hide what depends on the moment. */
const MILLISECOND = 1000;

/** Mulberry32: a small generator whose numbers are the same everywhere. */
export function numbersFrom(seed: number): () => number {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
}

/** Which day it is: its number in the order drawn by the seed, and the edition of the catalogue. */
export interface DrawnDay {
  readonly number: number;
  readonly seed: number;
  readonly edition: Edition;
}

/** Day `number` of a seed, from the newest edition. */
export function newestDay(number: number, seed: number): DrawnDay {
  return { number, seed, edition: NEWEST_EDITION };
}

/** The name that stands in a day's file and in the journal; days of the first edition don't name theirs. */
export function nameOfDay({ number, seed, edition }: DrawnDay): string {
  return edition === 1 ? `drawn-${seed}-${number}` : `drawn-${edition}.${seed}-${number}`;
}

const NAME_OF_DAY = /^drawn-(?:(\d+)\.)?(\d+)-(\d+)/;

/** The day that a name of the journal means; undefined where it is not a drawn one. */
export function dayOfName(name: string): DrawnDay | undefined {
  const found = NAME_OF_DAY.exec(name);
  if (found === null) return undefined;
  const edition = Number(found[1] ?? 1);
  if (edition !== 1 && edition !== 2) return undefined;
  return { number: Number(found[3]), seed: Number(found[2]), edition };
}

/**
 * The variants of a day. Consecutive days go through the whole catalogue in an order drawn by
 * the seed, so that no variant is left out.
 */
export function variantsOfDay({ number, seed, edition }: DrawnDay): Variant[] {
  const random = numbersFrom(seed);
  const order = [...editions[edition]];
  for (let last = order.length - 1; last > 0; last -= 1) {
    const other = Math.floor(random() * (last + 1));
    [order[last], order[other]] = [order[other]!, order[last]!];
  }
  return Array.from(
    { length: VARIANTS_A_DAY },
    (_, place) => order[(number * VARIANTS_A_DAY + place) % order.length]!,
  );
}

function tableOf(fields: Variant["fields"]): string {
  const pairs = Object.entries(fields).map(([key, value]) => `${key} = ${JSON.stringify(value)}`);
  return `{ ${pairs.join(", ")} }`;
}

/** The text of one day's file. */
export function drawDay(day: DrawnDay): string {
  const { number, seed } = day;
  const random = numbersFrom(seed * 1009 + number);
  const lists: Record<Variant["list"], string[]> = { plan: [], faults: [] };
  for (const variant of variantsOfDay(day)) {
    for (let time = 0; time < TIMES_EACH; time += 1) {
      const moment = FIRST_AT + random() * (LAST_AT - FIRST_AT);
      const at = Math.round(moment * MILLISECOND) / MILLISECOND;
      lists[variant.list].push(`  ${tableOf({ at, ...variant.fields })},`);
    }
  }
  const closing = closings[number % closings.length];
  return [
    "[[day]]",
    `name = "${nameOfDay(day)}"`,
    'slot = "trouble"',
    `seed = ${Math.floor(random() * 2 ** 31)}`,
    ...(closing === undefined ? [] : [`closing = ${tableOf(closing.fields)}`]),
    "one = 0.73",
    "zero = 0.38",
    "goal = { floor = 0.1 }",
    "labels = []",
    "light = true",
    `plan = [\n${lists.plan.join("\n")}\n]`,
    `faults = [\n${lists.faults.join("\n")}\n]`,
    "",
  ].join("\n");
}

/** What a drawn day holds, for the table of what was played. */
export function namesOfDay(day: DrawnDay): string[] {
  const closing = closings[day.number % closings.length];
  const names = variantsOfDay(day).map((variant) => variant.name);
  return closing === undefined ? names : [...names, `closing ${closing.name}`];
}
