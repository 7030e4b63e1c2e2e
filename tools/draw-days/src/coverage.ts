/** Which kinds of trouble were played on which deployment, counted from the bench's journal. */
import { readFileSync, readdirSync } from "node:fs";
import { join } from "node:path";
import { dayOfName, namesOfDay } from "./draw.js";

/** What is read of one day in an entry of the journal. */
interface JournalDay {
  readonly name: string;
  readonly troubles?: readonly string[];
  readonly rules?: Readonly<Record<string, unknown>>;
  readonly fault?: unknown;
}

interface JournalEntry {
  readonly site: string | null;
  readonly days?: readonly JournalDay[];
}

/** How often one kind or variant was played on one deployment, and on how many of those days a rule broke. */
export interface Count {
  played: number;
  broken: number;
}

/** Counts by kind or variant, then by deployment. */
export type Coverage = Map<string, Map<string, Count>>;

/** The kinds of a day, and the variants too where it was drawn by this tool. */
function heldBy(day: JournalDay): string[] {
  const kinds = day.troubles ?? [];
  const drawn = dayOfName(day.name);
  if (drawn === undefined) return [...kinds];
  return [...new Set([...kinds, ...namesOfDay(drawn)])];
}

function isBroken(day: JournalDay): boolean {
  return Object.keys(day.rules ?? {}).length > 0 || (day.fault ?? undefined) !== undefined;
}

function countDay(coverage: Coverage, site: string, day: JournalDay): void {
  for (const held of heldBy(day)) {
    const sites = coverage.get(held) ?? new Map<string, Count>();
    const count = sites.get(site) ?? { played: 0, broken: 0 };
    count.played += 1;
    if (isBroken(day)) count.broken += 1;
    coverage.set(held, sites.set(site, count));
  }
}

/** Reads all entries of a journal folder whose file name is `since` or later. */
export function readCoverage(folder: string, since: string): Coverage {
  const coverage: Coverage = new Map();
  const names = readdirSync(folder).filter((name) => name.endsWith(".json") && name >= since);
  for (const name of names.sort()) {
    const entry = JSON.parse(readFileSync(join(folder, name), "utf8")) as JournalEntry;
    for (const day of entry.days ?? []) countDay(coverage, entry.site ?? "unknown", day);
  }
  return coverage;
}

/** A Markdown table: days played, and in brackets those on which a rule broke. */
export function tableOf(coverage: Coverage, sites: readonly string[]): string {
  const rows = [...coverage].sort(([one], [other]) => (one < other ? -1 : 1));
  const cellOf = (count: Count | undefined): string => {
    if (count === undefined) return "**0**";
    return count.broken === 0 ? `${count.played}` : `${count.played} (${count.broken})`;
  };
  const lines = rows.map(
    ([held, counts]) =>
      `| ${[held, ...sites.map((site) => cellOf(counts.get(site)))].join(" | ")} |`,
  );
  const head = `| kind | ${sites.join(" | ")} |`;
  return [head, `|${" --- |".repeat(sites.length + 1)}`, ...lines, ""].join("\n");
}
