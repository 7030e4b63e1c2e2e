/** Whole numbers from the first to the last, both included. */
export type NumberRange = readonly [first: number, last: number];

/** A set of whole numbers as disjoint ranges in ascending order, none of them next to another. */
export type NumberRanges = readonly NumberRange[];

function has(ranges: NumberRanges, number: number): boolean {
  return ranges.some(([first, last]) => first <= number && number <= last);
}

/** The same with all numbers of a range; ranges that meet become one. */
function add(ranges: NumberRanges, added: NumberRange): NumberRanges {
  let [first, last] = added;
  const before: NumberRange[] = [];
  const after: NumberRange[] = [];
  for (const range of ranges) {
    if (range[1] < first - 1) before.push(range);
    else if (range[0] > last + 1) after.push(range);
    else {
      first = Math.min(first, range[0]);
      last = Math.max(last, range[1]);
    }
  }
  return [...before, [first, last], ...after];
}

/** The same in at most so many ranges: the lowest ones are joined, with what lies between them. */
function bounded(ranges: NumberRanges, most: number): NumberRanges {
  const excess = ranges.length - most;
  if (excess <= 0) return ranges;
  return add(ranges, [ranges[0]![0], ranges[excess]![1]]);
}

export const numberRanges = { has, add, bounded };
