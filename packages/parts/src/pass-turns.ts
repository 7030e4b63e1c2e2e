import { constants } from "./constants.js";
import type { PassCommand } from "./pass-messages.js";
import type { PassLot, TaskRecord } from "./pass-records.js";
import type { WaitingItem } from "./waiting.js";

/** A waiting item with what its turn depends on. */
export interface WaitingTask extends WaitingItem {
  readonly lot: PassLot;
  readonly restsUntil: number;
}

/** An item in its place in the queue, from its records. */
export function waitingTask(key: string, task: TaskRecord, lot: PassLot): WaitingTask {
  return { sequence: task.sequence, key, lot, restsUntil: task.restsUntil ?? 0 };
}

/** Items whose time has run out are left to the expiry, and one that breaks again and again does not hold up those behind it. */
export function mayRun({ lot, restsUntil }: WaitingTask, time: number): boolean {
  return lot.until > time && restsUntil <= time;
}

/** Late already, it lets those pass that still can be in time, though not for ever. */
export function yields({ lot }: WaitingTask, time: number): boolean {
  return lot.yieldsFrom !== undefined && time >= lot.yieldsFrom && time < lot.yieldsUntil!;
}

/** The record of a lot as it is handed in. */
export function lotOf(command: Extract<PassCommand, { kind: "hand-in" }>, time: number): PassLot {
  const { keeps, within, entries } = command;
  return {
    id: command.lot,
    way: command.way,
    host: command.host,
    ...(command.tenant === undefined ? {} : { tenant: command.tenant }),
    total: entries.length,
    open: entries.length,
    listed: 0,
    goesMost: command.goesMost,
    until: time + keeps + constants.deadlineGrace,
    ...(within === undefined
      ? {}
      : {
          yieldsFrom: command.late === true ? time : time + within - constants.runUsual,
          yieldsUntil: time + keeps * constants.yieldPart,
        }),
    ...(entries.length === 0 ? { finishedAt: time } : {}),
  };
}

/** ms for which an item rests after so many runs on end broke without an event. */
export function restOf(breaks: number): number {
  return Math.min(constants.restMost, constants.restFirst * 2 ** (breaks - 2));
}
