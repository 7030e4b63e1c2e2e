/**
 * Replicated state machine of duties (docs/design.md §14). A claim is a round of the control group for a single act: it decides in
 * one step who performs the act, with which fencing number, and with which content. The record of a subject is never removed, so
 * its fencing number never falls.
 */
import { constants, type Ledger } from "@chutewick/parts";
import { keys } from "../keys.js";
import { isSuperseding, type ActBody, type ActName } from "./duty-acts.js";
import { numberRanges, type NumberRange, type NumberRanges } from "./number-ranges.js";

/** Requests the round of one act. */
export interface ClaimAct extends ActName {
  readonly kind: "claim-act";
  /** Name of the machine that requests the round. */
  readonly holder: string;
  /** Content of the act, unless an earlier round has decided it. */
  readonly body: ActBody;
  /** Duration of the lease in ms of ledger time. Another holder wins only after the last one has won no round for this long. */
  readonly lease: number;
  /** Minimum for the fencing number, if the platform has seen a higher one than the ledger has. */
  readonly fenceAtLeast?: number;
}

/** Reports that the platform has accepted an act. */
export interface FinishAct extends ActName {
  readonly kind: "finish-act";
  readonly holder: string;
}

/** The result of a claim. */
export type ClaimResult =
  /** The round is won. The body is the one that was decided first, by whichever holder. */
  | { readonly kind: "ACT_WON"; readonly fence: number; readonly body: ActBody }
  /** Another machine holds the subject; `wait` is the time in ms until its lease may end. */
  | { readonly kind: "ACT_HELD"; readonly holder: string; readonly wait: number }
  /** The platform has accepted the act, or a newer one that supersedes it. */
  | { readonly kind: "ACT_FINISHED" };

/** Whether the result of a control command is the result of a claim. */
export function isClaimResult(result: { readonly kind: string }): result is ClaimResult {
  return ["ACT_WON", "ACT_HELD", "ACT_FINISHED"].includes(result.kind);
}

/** The record of a subject: who won the last round, and which acts are decided or done. */
export interface DutyRecord {
  readonly fence: number;
  readonly holder: string;
  /** Ledger time in ms at which the holder won its last round. */
  readonly at: number;
  /** Numbers of the acts that are decided but not finished, ascending. */
  readonly open: readonly number[];
  /** Numbers of the acts that are never decided again. */
  readonly finished: NumberRanges;
  /** The newest act that was decided. */
  readonly newest: { readonly number: number; readonly body: ActBody };
  /** The act that was finished last. */
  readonly last?: FinishedAct;
}

/** An act that the platform has accepted. */
export interface FinishedAct {
  readonly number: number;
  readonly holder: string;
  /** Ledger time in ms. */
  readonly at: number;
}

/** Decides a round. */
function claim(ledger: Ledger, command: ClaimAct, time: number): ClaimResult {
  const key = keys.dutyKey(command);
  const record = ledger.read<DutyRecord>(key);
  if (record !== undefined && numberRanges.has(record.finished, command.number))
    return { kind: "ACT_FINISHED" };
  const wait = waitOf(record, command, time);
  if (record !== undefined && wait > 0) return { kind: "ACT_HELD", holder: record.holder, wait };
  const body = decideBody(ledger, record, command);
  const fence = fenceOf(record, command);
  ledger.put(key, { ...withOpenAct(ledger, record, command, body), fence, at: time });
  return { kind: "ACT_WON", fence, body };
}

/** Time in ms until the claim may win; 0 for the holder itself. */
function waitOf(record: DutyRecord | undefined, command: ClaimAct, time: number): number {
  if (record === undefined || record.holder === command.holder) return 0;
  return record.at + command.lease - time;
}

/** The fencing number. It rises with each change of the holder, and if the platform has seen a higher one. */
function fenceOf(record: DutyRecord | undefined, command: ClaimAct): number {
  const least = command.fenceAtLeast ?? 0;
  if (record === undefined) return Math.max(1, least);
  const fence = record.holder === command.holder ? record.fence : record.fence + 1;
  return Math.max(fence, least);
}

/** The content of the act. The first decision is stored until the act is finished. */
function decideBody(ledger: Ledger, record: DutyRecord | undefined, command: ClaimAct): ActBody {
  if (record?.open.includes(command.number) === true)
    return ledger.read<ActBody>(keys.actKey(command)) ?? command.body;
  ledger.put(keys.actKey(command), command.body);
  return command.body;
}

/** The record with the act added to the open ones. */
function withOpenAct(
  ledger: Ledger,
  record: DutyRecord | undefined,
  command: ClaimAct,
  body: ActBody,
): Omit<DutyRecord, "fence" | "at"> {
  const { number, holder } = command;
  const others = (record?.open ?? []).filter((open) => open !== number);
  const open = [...others, number].sort(ascending);
  const abandoned = abandonedBy(command, open);
  for (const old of abandoned) ledger.remove(keys.actKey({ ...command, number: old }));
  const isNewest = record === undefined || number >= record.newest.number;
  return {
    holder,
    open: open.filter((kept) => !abandoned.includes(kept)),
    finished: withAll(record?.finished ?? [], abandonedRanges(command, abandoned)),
    newest: isNewest ? { number, body } : record.newest,
    ...(record?.last === undefined ? {} : { last: record.last }),
  };
}

/** Open acts that are abandoned: those that a newer one supersedes, and the oldest ones beyond the bound. */
function abandonedBy(command: ClaimAct, open: readonly number[]): readonly number[] {
  if (isSuperseding(command.duty)) return open.filter((number) => number < command.number);
  const excess = Math.max(0, open.length - constants.maxOpenActs);
  return open.filter((number) => number !== command.number).slice(0, excess);
}

/** The numbers that count as finished from now on. A superseding act also covers older ones that were never decided. */
function abandonedRanges(command: ClaimAct, abandoned: readonly number[]): readonly NumberRange[] {
  if (isSuperseding(command.duty)) return [[0, command.number - 1]];
  return abandoned.map((number) => [number, number]);
}

function withAll(ranges: NumberRanges, added: readonly NumberRange[]): NumberRanges {
  let all = ranges;
  for (const range of added) all = numberRanges.add(all, range);
  return numberRanges.bounded(all, constants.maxFinishedRanges);
}

/** Marks an act as finished and removes its content. */
function finish(ledger: Ledger, command: FinishAct, time: number): void {
  const key = keys.dutyKey(command);
  const record = ledger.read<DutyRecord>(key);
  if (record === undefined || !record.open.includes(command.number)) return;
  const { number, holder } = command;
  ledger.remove(keys.actKey(command));
  ledger.put(key, {
    ...record,
    open: record.open.filter((open) => open !== number),
    finished: withAll(record.finished, [[number, number]]),
    last: { number, holder, at: time },
  } satisfies DutyRecord);
}

function ascending(one: number, other: number): number {
  return one - other;
}

export const dutyLedger = { claim, finish };
