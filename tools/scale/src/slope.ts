/** Straight lines through what was measured (docs/CAPACITY.md): value = rest + sum of slope x variable. */
export interface Point {
  readonly at: readonly number[];
  readonly value: number;
}

export interface Line {
  readonly rest: number;
  readonly slopes: readonly number[];
  /** Part of the spread that the line explains; 1 is all of it. */
  readonly fit: number;
}

export function lineThrough(points: readonly Point[]): Line {
  const width = (points[0]?.at.length ?? 0) + 1;
  if (points.length < width) throw new Error("a line needs more sizes than it has variables");
  /** Variables are brought to the same size first, so that the sums stay well behaved. */
  const scales: number[] = [1];
  for (let column = 0; column < width - 1; column += 1) {
    let most = 0;
    for (const point of points) most = Math.max(most, Math.abs(point.at[column]!));
    scales.push(most === 0 ? 1 : most);
  }
  const rows: number[][] = [];
  for (let row = 0; row < width; row += 1) rows.push(new Array<number>(width + 1).fill(0));
  for (const point of points) {
    const terms = [1];
    for (const [column, at] of point.at.entries()) terms.push(at / scales[column + 1]!);
    for (let row = 0; row < width; row += 1) {
      for (let column = 0; column < width; column += 1)
        rows[row]![column]! += terms[row]! * terms[column]!;
      rows[row]![width]! += terms[row]! * point.value;
    }
  }
  const found = eliminated(rows, width);
  const slopes: number[] = [];
  for (let column = 1; column < width; column += 1) slopes.push(found[column]! / scales[column]!);
  const line = { rest: found[0]!, slopes };
  let mean = 0;
  for (const point of points) mean += point.value / points.length;
  let spread = 0;
  let missed = 0;
  for (const point of points) {
    spread += (point.value - mean) ** 2;
    missed += (point.value - valueOn(line, point.at)) ** 2;
  }
  return { ...line, fit: spread === 0 ? 1 : 1 - missed / spread };
}

export function valueOn(line: Pick<Line, "rest" | "slopes">, at: readonly number[]): number {
  let value = line.rest;
  for (const [column, slope] of line.slopes.entries()) value += slope * at[column]!;
  return value;
}

/** Gauss with the largest pivot. */
function eliminated(rows: number[][], width: number): number[] {
  for (let column = 0; column < width; column += 1) {
    let best = column;
    for (let row = column + 1; row < width; row += 1)
      if (Math.abs(rows[row]![column]!) > Math.abs(rows[best]![column]!)) best = row;
    [rows[column], rows[best]] = [rows[best]!, rows[column]!];
    const pivot = rows[column]![column]!;
    if (Math.abs(pivot) < 1e-12)
      throw new Error("the sizes measured do not tell the variables apart");
    for (let row = 0; row < width; row += 1) {
      if (row === column) continue;
      const part = rows[row]![column]! / pivot;
      for (let at = column; at <= width; at += 1) rows[row]![at]! -= part * rows[column]![at]!;
    }
  }
  const found: number[] = [];
  for (let row = 0; row < width; row += 1) found.push(rows[row]![width]! / rows[row]![row]!);
  return found;
}
