import { constants } from "@chutewick/parts";
import { Cron } from "croner";

/** Recurring windows by a cron-like calendar in a named zone, through a library (docs/design.md §8.8). */
export interface Calendar {
  readonly calendar: string;
  readonly zone: string;
  readonly lastsMinutes: number;
}

/** One opening of a calendar: start inclusive, end exclusive, wall-clock times in ms. */
export interface Window {
  readonly start: number;
  readonly end: number;
}

const read = new Map<string, Cron>();

function cronOf({ calendar, zone }: Calendar): Cron {
  const key = `${zone} ${calendar}`;
  let cron = read.get(key);
  if (cron === undefined) {
    cron = new Cron(calendar, { timezone: zone, paused: true });
    if (read.size > 1_000) read.clear();
    read.set(key, cron);
  }
  return cron;
}

/** Why a calendar cannot be used, as path and reason. */
function refuse(one: Calendar, start: number, end: number): string | undefined {
  try {
    new Intl.DateTimeFormat("en", { timeZone: one.zone });
  } catch {
    return `zone: ${one.zone} is not a time zone, such as America/Lima`;
  }
  if (one.calendar.trim().split(/\s+/).length !== 5)
    return "calendar: must have five fields: minute, hour, day, month, day of the week";
  let moments: number[];
  try {
    moments = startsFrom(one, start - 1, constants.windowsChecked);
  } catch (error) {
    return `calendar: ${(error as Error).message}`;
  }
  if (moments.length === 0 || moments[0]! >= end)
    return "calendar: never opens between start and end";
  const lasts = one.lastsMinutes * 60_000;
  for (const [place, moment] of moments.entries()) {
    const next = moments[place + 1];
    if (next !== undefined && next < moment + lasts)
      return `lastsMinutes: the window of ${new Date(moment).toISOString()} is not over when the next opens, at ${new Date(next).toISOString()}`;
  }
  return undefined;
}

function startsFrom(one: Calendar, after: number, count: number): number[] {
  const cron = cronOf(one);
  const moments: number[] = [];
  let from = new Date(after);
  for (let number = 0; number < count; number += 1) {
    const next = cron.nextRun(from);
    if (next === null) break;
    moments.push(next.getTime());
    from = next;
  }
  return moments;
}

/** The window that is open, or the next ones, within the season's own start and end. */
function windows(one: Calendar, start: number, end: number, wall: number): Window[] {
  const lasts = one.lastsMinutes * 60_000;
  const found: Window[] = [];
  /** A window that opened as long ago as it lasts is over; what opened before the season does not count. */
  for (const moment of startsFrom(one, Math.max(wall - lasts, start - 1), constants.windowsTold)) {
    if (moment >= end) break;
    found.push({ start: moment, end: Math.min(moment + lasts, end) });
  }
  return found;
}

export const calendars = { refuse, windows };
