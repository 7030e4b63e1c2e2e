import { equal, ok, throws } from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import {
  breaksAt,
  letter,
  lineThrough,
  roles,
  scale,
  told,
  type Line,
  type Point,
  type Rows,
} from "@chutewick/scale";

interface World {
  rows: Rows;
  line: Line;
}

async function theScaleRunIsMade(this: World): Promise<void> {
  this.rows = await scale({ tiny: true, processes: false });
}
When("the scale run is made at tiny sizes", { timeout: 120_000 }, theScaleRunIsMade);

function everyRoleHasLines(this: World): void {
  for (const role of roles) {
    const units = new Set<string>();
    for (const row of this.rows.rows) if (row.role === role) units.add(row.unit.split("/")[0]!);
    ok(units.has("bytes"), `${role}: no line for bytes`);
    ok(units.has("ms"), `${role}: no line for the processor`);
  }
}
Then("every role has lines for bytes and for the processor", everyRoleHasLines);

function everyLineIsWhole(this: World): void {
  for (const { role, what, points, slopes, rest, by } of this.rows.rows) {
    const sizes = new Set<string>();
    for (const { at, value } of points) {
      sizes.add(at.join());
      ok(Number.isFinite(value) && at.every(Number.isFinite), `${role}, ${what}: ${value}`);
    }
    ok(sizes.size >= 3, `${role}, ${what}: ${sizes.size} sizes`);
    equal(slopes.length, by.length, `${role}, ${what}`);
    ok(Number.isFinite(rest) && slopes.every(Number.isFinite), `${role}, ${what}: no line`);
  }
}
Then("every line goes through at least three sizes, with numbers all of them", everyLineIsWhole);

/** Lots of the tables are of the usual sizes' bodies, and whole processes are not begun here: these alone may lack. */
function everyValueStands(this: World): void {
  let values = 0;
  for (const { role, what, value } of [
    ...told.full(this.rows, letter),
    ...told.proposed(this.rows, letter),
  ]) {
    if (Number.isFinite(value)) values += 1;
    else ok(/largest lot|process|beat/.test(what), `${role}, ${what}: no value`);
  }
  ok(values > 60, `${values} values`);
}
Then("at full size there is a value for every line of the tables", everyValueStands);

function theTablesNameAll(this: World): void {
  const text = told.markdown(this.rows, letter);
  for (const role of roles) ok(text.includes(`| ${role} |`), role);
  const lines = told.full(this.rows, letter);
  const place = lines.findIndex(isOneLot);
  const part = breaksAt(this.rows, letter, place);
  const { value, budget } = lines[place]!;
  ok(
    part !== undefined && Math.abs(part * value - budget!) < 1,
    `${part} of ${value} is not ${budget}`,
  );
  ok(text.includes(`${Math.floor(letter.nodes * part)} nodes`));
}
Then("the tables name all roles, and where something breaks", theTablesNameAll);

function isOneLot(line: { what: string }): boolean {
  return line.what === "the largest lot in one entry: items";
}

const measured: readonly Point[] = [
  { at: [10], value: 1_000 },
  { at: [20], value: 2_000 },
  { at: [40], value: 4_000 },
];

function bytesForEachNode(this: World, each: number): void {
  const points: Point[] = [];
  for (const { at, value } of measured) points.push({ at, value: (value * each) / 100 });
  this.line = lineThrough(points);
}
Given("{int} bytes for each node, measured at 10, 20 and 40 nodes", bytesForEachNode);

function theLineGives(this: World, each: number): void {
  const { slopes, rest, fit } = this.line;
  equal(slopes.length, 1);
  for (const [found, wanted] of [
    [slopes[0]!, each],
    [rest, 0],
    [fit, 1],
  ] as const)
    ok(Math.abs(found - wanted) < 1e-6, `${found} in place of ${wanted}`);
}
Then("the line through them gives {int} for each node and nothing besides", theLineGives);

function tooFewSizes(): void {
  function begin(): void {
    lineThrough([
      { at: [1, 2], value: 1 },
      { at: [2, 4], value: 2 },
    ]);
  }
  throws(begin);
}
Then("a line through two sizes for two variables is refused", tooFewSizes);
