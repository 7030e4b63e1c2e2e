/** Steps of draw-days.feature. */
import { deepEqual, equal, notEqual, ok } from "node:assert/strict";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Given, Then, When, type DataTable } from "@cucumber/cucumber";
import {
  closings,
  drawDay,
  editions,
  namesOfDay,
  newestDay,
  NEWEST_EDITION,
  readCoverage,
  readSpans,
  tableOf,
  variantsOfDay,
  type Edition,
} from "@chutewick/draw-days";

interface DaysWorld {
  seed: number;
  days: number[];
  folder: string;
  rows: Map<string, string[]>;
  reports: string[];
}

When(
  "as many days are drawn with seed {int} as it takes to go through the catalogue once",
  function (this: DaysWorld, seed: number) {
    this.seed = seed;
    const variants = editions[NEWEST_EDITION];
    const each = variantsOfDay(newestDay(0, seed)).length;
    const count = Math.max(Math.ceil(variants.length / each), closings.length);
    this.days = Array.from({ length: count }, (_, day) => day);
  },
);

Then("each variant stands in one of them, twice, at different moments", function (this: DaysWorld) {
  const held = new Map<string, number>();
  for (const day of this.days) {
    const moments = [...drawDay(newestDay(day, this.seed)).matchAll(/^ {2}\{ at = ([\d.]+)/gm)];
    const own = variantsOfDay(newestDay(day, this.seed));
    equal(moments.length, own.length * 2);
    equal(new Set(moments.map((moment) => moment[1])).size, moments.length);
    for (const { name } of own) held.set(name, day);
  }
  const variants = editions[NEWEST_EDITION];
  equal(held.size, new Set(variants.map(({ name }) => name)).size);
  equal(held.size, variants.length);
});

Then("every closing fault ends one of them", function (this: DaysWorld) {
  const texts = this.days.map((day) => namesOfDay(newestDay(day, this.seed)).join(";"));
  for (const closing of closings)
    ok(closing === undefined || texts.some((text) => text.includes(`closing ${closing.name}`)));
});

Then(
  "day {int} of seed {int} is the same each time, and another with seed {int}",
  function (day: number, seed: number, other: number) {
    equal(drawDay(newestDay(day, seed)), drawDay(newestDay(day, seed)));
    notEqual(drawDay(newestDay(day, seed)), drawDay(newestDay(day, other)));
  },
);

Given("a journal whose entries hold", function (this: DaysWorld, table: DataTable) {
  this.folder = mkdtempSync(join(tmpdir(), "journal-"));
  table.hashes().forEach((row, index) => {
    const day = {
      name: row.day,
      troubles: row.troubles === "" ? [] : row.troubles!.split(","),
      rules: row.rules === "" ? {} : { [row.rules!]: 1 },
    };
    const entry = { site: row.site, days: [day] };
    writeFileSync(join(this.folder, `2026-${index}.json`), JSON.stringify(entry));
  });
});

When(
  "the table of played days is made for {string} and {string}",
  function (this: DaysWorld, one: string, other: string) {
    const text = tableOf(readCoverage(this.folder, ""), [one, other]);
    const cells = text.split("\n").map((line) => line.split("|").map((cell) => cell.trim()));
    this.rows = new Map(cells.map(([, name, ...counts]) => [name ?? "", counts.slice(0, 2)]));
  },
);

Then(
  "the row of {string} is {string} and {string}",
  function (this: DaysWorld, held: string, one: string, other: string) {
    equal(this.rows.get(held)?.join(), [one, other].join());
  },
);

Then(
  "each variant of day 0 of seed 7 in edition {int} has the row {string} and {string}",
  function (this: DaysWorld, edition: Edition, one: string, other: string) {
    for (const name of namesOfDay({ number: 0, seed: 7, edition }))
      equal(this.rows.get(name)?.join(), [one, other].join(), name);
  },
);

Given(
  "reports of days in which {string} took",
  function (this: DaysWorld, span: string, table: DataTable) {
    const folder = mkdtempSync(join(tmpdir(), "reports-"));
    this.reports = table.hashes().map(({ median, longest }, index) => {
      const path = join(folder, `${index}.json`);
      const took = median === "" ? null : [Number(median), Number(longest)];
      writeFileSync(path, JSON.stringify({ times: { [span]: took } }));
      return path;
    });
  },
);

Then(
  "{string} occurred on {int} days, and took",
  function (this: DaysWorld, name: string, days: number, table: DataTable) {
    const [row] = table.hashes();
    const [median, medianLongest, longest] = Object.values(row!).map(Number);
    deepEqual(readSpans(this.reports), [{ name, days, median, medianLongest, longest }]);
  },
);
