/**
 * Days of our own for the users' bench.
 *
 *   npm run draw-days -- write --from 0 --to 9 --seed 1 --folder days   one file a day
 *   npm run draw-days -- table --since 20261202T06                      what the journal says was played
 *   npm run draw-days -- recovery days/*.json                           how soon the days of these reports recovered
 */
import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { command, number, option, restPositionals, run, string, subcommands } from "cmd-ts";
import { readCoverage, tableOf } from "./coverage.js";
import { readSpans, spansTable } from "./recovery.js";
import { drawDay, nameOfDay, namesOfDay, newestDay } from "./draw.js";

function writeDays(given: { from: number; to: number; seed: number; folder: string }): void {
  mkdirSync(given.folder, { recursive: true });
  for (let number = given.from; number <= given.to; number += 1) {
    const day = newestDay(number, given.seed);
    const path = join(given.folder, `${nameOfDay(day)}.toml`);
    writeFileSync(path, drawDay(day));
    process.stdout.write(`${path}: ${namesOfDay(day).join("; ")}\n`);
  }
}

const write = command({
  name: "write",
  description: "days of every kind of trouble, several at once and each more than once",
  args: {
    from: option({ type: number, long: "from", defaultValue: () => 0 }),
    to: option({ type: number, long: "to", defaultValue: () => 9 }),
    seed: option({ type: number, long: "seed", defaultValue: () => 1 }),
    folder: option({ type: string, long: "folder", defaultValue: () => "days" }),
  },
  handler: writeDays,
});

const table = command({
  name: "table",
  description: "days played by kind and deployment, from the journal",
  args: {
    folder: option({ type: string, long: "folder", defaultValue: () => "journal" }),
    since: option({ type: string, long: "since", defaultValue: () => "" }),
    sites: restPositionals({ type: string, displayName: "site" }),
  },
  handler: ({ folder, since, sites }) => {
    process.stdout.write(tableOf(readCoverage(folder, since), sites));
  },
});

const recovery = command({
  name: "recovery",
  description: "how soon a deployment serves again, from reports of days played",
  args: { reports: restPositionals({ type: string, displayName: "report" }) },
  handler: ({ reports }) => {
    process.stdout.write(spansTable(readSpans(reports)));
  },
});

void run(
  subcommands({ name: "draw-days", cmds: { write, table, recovery } }),
  process.argv.slice(2),
);
