/** How soon a deployment serves again, gathered from reports of the users' bench (`run --report FILE`). */
import { readFileSync } from "node:fs";

/** What is read of a report: for each span the median and the longest of the day, in ms; null where it did not occur. */
interface DayReport {
  readonly times: Readonly<Record<string, readonly [median: number, longest: number] | null>>;
}

/** One span over several days, in ms. */
export interface Span {
  readonly name: string;
  /** Days on which it occurred. */
  readonly days: number;
  /** Median of the days' medians. */
  readonly median: number;
  /** Median and longest of the days' longest. */
  readonly medianLongest: number;
  readonly longest: number;
}

function ascending(left: number, right: number): number {
  return left - right;
}

function middleOf(values: readonly number[]): number {
  return [...values].sort(ascending)[Math.floor(values.length / 2)] ?? Number.NaN;
}

/** Reads report files; a span that never occurred is left out. */
export function readSpans(paths: readonly string[]): Span[] {
  const medians = new Map<string, number[]>();
  const longest = new Map<string, number[]>();
  for (const path of paths) {
    const { times } = JSON.parse(readFileSync(path, "utf8")) as DayReport;
    for (const [name, span] of Object.entries(times)) {
      if (span === null) continue;
      medians.set(name, [...(medians.get(name) ?? []), span[0]]);
      longest.set(name, [...(longest.get(name) ?? []), span[1]]);
    }
  }
  return [...medians].map(([name, values]) => ({
    name,
    days: values.length,
    median: middleOf(values),
    medianLongest: middleOf(longest.get(name)!),
    longest: Math.max(...longest.get(name)!),
  }));
}

/** A Markdown table of spans, in ms. */
export function spansTable(spans: readonly Span[]): string {
  const lines = spans.map(
    ({ name, days, median, medianLongest, longest }) =>
      `| ${[name, days, median, medianLongest, longest].join(" | ")} |`,
  );
  return [
    "| span | days | median, ms | median of the days' longest, ms | longest, ms |",
    "| --- | --- | --- | --- | --- |",
    ...lines,
    "",
  ].join("\n");
}
