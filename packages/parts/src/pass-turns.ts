/** The order in which queued items of passages are dequeued: deadlines, target times and backoff. */
import { constants } from "./constants.js";
import type { PassCommand } from "./pass-messages.js";
import type { PassLot, TaskRecord } from "./pass-records.js";
import type { WaitingItem } from "./waiting.js";

/** A queued item with what its dequeue order depends on. */
export interface WaitingTask extends WaitingItem {
  readonly lot: PassLot;
  readonly restsUntil: number;
}

/** Builds the queue entry of an item from its records. */
export function waitingTask(key: string, task: TaskRecord, lot: PassLot): WaitingTask {
  return { sequence: task.sequence, key, lot, restsUntil: task.restsUntil ?? 0 };
}

/** Items past their deadline are left for the expiry, and an item that keeps breaking must not block those behind it. */
export function mayRun({ lot, restsUntil }: WaitingTask, time: number): boolean {
  return lot.until > time && restsUntil <= time;
}

/** An item that will miss its target time yields, for a limited time, to those that can still meet theirs. */
export function yields({ lot }: WaitingTask, time: number): boolean {
  return lot.yieldsFrom !== undefined && time >= lot.yieldsFrom && time < lot.yieldsUntil!;
}

/** The record of a newly submitted lot. */
export function newLot(command: Extract<PassCommand, { kind: "hand-in" }>, time: number): PassLot {
  const { keeps, within, entries } = command;
  return {
    id: command.lot,
    way: command.way,
    host: command.host,
    ...(command.tenant === undefined ? {} : { tenant: command.tenant }),
    ...(command.knownFor === undefined ? {} : { assigned: true }),
    total: entries.length,
    open: entries.length,
    listed: 0,
    goesMost: command.goesMost,
    until: time + keeps + constants.deadlineGraceMs,
    ...(within === undefined
      ? {}
      : {
          yieldsFrom: command.late === true ? time : time + within - constants.expectedRunMs,
          yieldsUntil: time + keeps * constants.yieldFraction,
        }),
    ...(entries.length === 0 ? { finishedAt: time } : {}),
  };
}

/** Exponential backoff in ms after `breaks` (two or more) consecutive runs that broke without an event. */
export function retryDelay(breaks: number): number {
  return Math.min(constants.maxItemRetryMs, constants.firstItemRetryMs * 2 ** (breaks - 2));
}
