/** A range of whole numbers; both ends are included. */
export type NumberRange = readonly [first: number, last: number];

/** A set of whole numbers as disjoint, non-adjacent ranges in ascending order. */
export type NumberRanges = readonly NumberRange[];

function has(ranges: NumberRanges, number: number): boolean {
  return ranges.some(([first, last]) => first <= number && number <= last);
}

/** The set with a range added; overlapping and adjacent ranges are merged. */
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

/** The set in at most `most` ranges: the lowest ranges are merged, including the gaps between them. */
function bounded(ranges: NumberRanges, most: number): NumberRanges {
  const excess = ranges.length - most;
  if (excess <= 0) return ranges;
  return add(ranges, [ranges[0]![0], ranges[excess]![1]]);
}

export const numberRanges = { has, add, bounded };
