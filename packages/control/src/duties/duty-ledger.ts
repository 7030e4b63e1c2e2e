import { constants, type Ledger } from "@chutewick/parts";
import { keys } from "../keys.js";
import { isSuperseding, type ActBody, type ActName } from "./duty-acts.js";
import { numberRanges, type NumberRange, type NumberRanges } from "./number-ranges.js";

/**
 * The replicated rules of duties (docs/design.md §14). A claim is a round of the control group for a single act: it decides at
 * once who acts, with which fence, and what is said. The record of a subject stays for ever, so its fence never falls.
 */

/** Asks for the round of one act. */
export interface ClaimAct extends ActName {
  readonly kind: "claim-act";
  /** Name of the machine that asks. */
  readonly holder: string;
  /** What the act says if nobody decided it before. */
  readonly body: ActBody;
  /** ms of the ledger. Another holder wins only when the last one has won nothing for so long. */
  readonly lease: number;
  /** Where the platform has seen a higher fence than the ledger has. */
  readonly fenceAtLeast?: number;
}

/** Tells that the platform has taken an act. */
export interface FinishAct extends ActName {
  readonly kind: "finish-act";
  readonly holder: string;
}

/** What became of a claim. */
export type ClaimResult =
  /** The round is won; the body is what was decided first, whoever claimed then. */
  | { readonly kind: "ACT_WON"; readonly fence: number; readonly body: ActBody }
  /** Another machine holds the subject; ms until its lease may be over. */
  | { readonly kind: "ACT_HELD"; readonly holder: string; readonly wait: number }
  /** The platform has taken the act, or a newer one that makes it void. */
  | { readonly kind: "ACT_FINISHED" };

/** Whether a result of a control command is that of a claim. */
export function isClaimResult(result: { readonly kind: string }): result is ClaimResult {
  return ["ACT_WON", "ACT_HELD", "ACT_FINISHED"].includes(result.kind);
}

/** The record of a subject: who won the last round, and which acts are decided or done. */
export interface DutyRecord {
  readonly fence: number;
  readonly holder: string;
  /** ms of the ledger. When the holder won its last round. */
  readonly at: number;
  /** Numbers of acts that are decided and not finished, ascending. */
  readonly open: readonly number[];
  /** Numbers of acts that are never decided again. */
  readonly finished: NumberRanges;
  /** The newest act that was decided. */
  readonly newest: { readonly number: number; readonly body: ActBody };
  /** The act that was finished last. */
  readonly last?: FinishedAct;
}

/** An act that the platform has taken. */
export interface FinishedAct {
  readonly number: number;
  readonly holder: string;
  /** ms of the ledger. */
  readonly at: number;
}

function claim(ledger: Ledger, command: ClaimAct, time: number): ClaimResult {
  const key = keys.dutyKey(command);
  const record = ledger.read<DutyRecord>(key);
  if (record !== undefined && numberRanges.has(record.finished, command.number))
    return { kind: "ACT_FINISHED" };
  const wait = waitOf(record, command, time);
  if (record !== undefined && wait > 0) return { kind: "ACT_HELD", holder: record.holder, wait };
  const body = decide(ledger, record, command);
  const fence = fenceOf(record, command);
  ledger.put(key, { ...decided(ledger, record, command, body), fence, at: time });
  return { kind: "ACT_WON", fence, body };
}

/** ms until the claim may win: none for the holder itself. */
function waitOf(record: DutyRecord | undefined, command: ClaimAct, time: number): number {
  if (record === undefined || record.holder === command.holder) return 0;
  return record.at + command.lease - time;
}

/** The fence rises with each change of the holder, and where the platform has seen a higher one. */
function fenceOf(record: DutyRecord | undefined, command: ClaimAct): number {
  const least = command.fenceAtLeast ?? 0;
  if (record === undefined) return Math.max(1, least);
  const fence = record.holder === command.holder ? record.fence : record.fence + 1;
  return Math.max(fence, least);
}

/** What the act says: as it was decided first, which is kept until the act is finished. */
function decide(ledger: Ledger, record: DutyRecord | undefined, command: ClaimAct): ActBody {
  if (record?.open.includes(command.number) === true)
    return ledger.read<ActBody>(keys.actKey(command)) ?? command.body;
  ledger.put(keys.actKey(command), command.body);
  return command.body;
}

/** The record with the act among those that are open. */
function decided(
  ledger: Ledger,
  record: DutyRecord | undefined,
  command: ClaimAct,
  body: ActBody,
): Omit<DutyRecord, "fence" | "at"> {
  const { number, holder } = command;
  const others = (record?.open ?? []).filter((open) => open !== number);
  const open = [...others, number].sort(ascending);
  const voided = voidedBy(command, open);
  for (const old of voided) ledger.remove(keys.actKey({ ...command, number: old }));
  const isNewest = record === undefined || number >= record.newest.number;
  return {
    holder,
    open: open.filter((kept) => !voided.includes(kept)),
    finished: withAll(record?.finished ?? [], voidRanges(command, voided)),
    newest: isNewest ? { number, body } : record.newest,
    ...(record?.last === undefined ? {} : { last: record.last }),
  };
}

/** Open acts that are given up: those a newer one makes void, and the oldest ones beyond the bound. */
function voidedBy(command: ClaimAct, open: readonly number[]): readonly number[] {
  if (isSuperseding(command.duty)) return open.filter((number) => number < command.number);
  const excess = Math.max(0, open.length - constants.openActsMost);
  return open.filter((number) => number !== command.number).slice(0, excess);
}

/** Where a newer act makes older ones void, so it does with those that nobody has decided yet. */
function voidRanges(command: ClaimAct, voided: readonly number[]): readonly NumberRange[] {
  if (isSuperseding(command.duty)) return [[0, command.number - 1]];
  return voided.map((number) => [number, number]);
}

function withAll(ranges: NumberRanges, added: readonly NumberRange[]): NumberRanges {
  let all = ranges;
  for (const range of added) all = numberRanges.add(all, range);
  return numberRanges.bounded(all, constants.finishedRangesMost);
}

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
