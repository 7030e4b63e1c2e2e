/** Recurring time windows by a cron expression in a named time zone (docs/design.md §8.8). */
import { constants } from "@chutewick/parts";
import { Cron } from "croner";

/** A recurring window: it opens at the times of a cron expression. */
export interface Calendar {
  /** A cron expression of five fields. */
  readonly calendar: string;
  /** IANA name of the time zone. */
  readonly zone: string;
  readonly lastsMinutes: number;
}

/** One opening of a calendar: start inclusive, end exclusive, wall-clock times in ms. */
export interface Window {
  readonly start: number;
  readonly end: number;
}

/** Cache of parsed expressions by zone and expression; cleared when it exceeds 1000 entries. */
const parsed = new Map<string, Cron>();

function cronOf({ calendar, zone }: Calendar): Cron {
  const key = `${zone} ${calendar}`;
  let cron = parsed.get(key);
  if (cron === undefined) {
    cron = new Cron(calendar, { timezone: zone, paused: true });
    if (parsed.size > 1_000) parsed.clear();
    parsed.set(key, cron);
  }
  return cron;
}

/** Why a calendar is invalid, as path and reason; undefined if it is valid. */
function problemWith(rule: Calendar, start: number, end: number): string | undefined {
  try {
    new Intl.DateTimeFormat("en", { timeZone: rule.zone });
  } catch {
    return `zone: ${rule.zone} is not a time zone, such as America/Lima`;
  }
  if (rule.calendar.trim().split(/\s+/).length !== 5)
    return "calendar: must have five fields: minute, hour, day, month, day of the week";
  let starts: number[];
  try {
    starts = startsFrom(rule, start - 1, constants.maxCheckedWindows);
  } catch (error) {
    return `calendar: ${(error as Error).message}`;
  }
  if (starts.length === 0 || starts[0]! >= end)
    return "calendar: never opens between start and end";
  const durationMs = rule.lastsMinutes * 60_000;
  for (const [index, opening] of starts.entries()) {
    const next = starts[index + 1];
    if (next !== undefined && next < opening + durationMs)
      return `lastsMinutes: the window of ${new Date(opening).toISOString()} is not over when the next opens, at ${new Date(next).toISOString()}`;
  }
  return undefined;
}

/** The next openings after a time, as wall-clock times in ms. */
function startsFrom(rule: Calendar, after: number, count: number): number[] {
  const cron = cronOf(rule);
  const starts: number[] = [];
  let from = new Date(after);
  for (let number = 0; number < count; number += 1) {
    const next = cron.nextRun(from);
    if (next === null) break;
    starts.push(next.getTime());
    from = next;
  }
  return starts;
}

/** The open window and the next ones, within the start and end of the season. */
function windows(rule: Calendar, start: number, end: number, wall: number): Window[] {
  const durationMs = rule.lastsMinutes * 60_000;
  const found: Window[] = [];
  // A window is over once its duration has passed; openings before the start of the season do not count.
  for (const opening of startsFrom(
    rule,
    Math.max(wall - durationMs, start - 1),
    constants.maxListedWindows,
  )) {
    if (opening >= end) break;
    found.push({ start: opening, end: Math.min(opening + durationMs, end) });
  }
  return found;
}

export const calendars = { problemWith, windows };
