import {
  judge,
  judgeConfiguration,
  lotLog,
  type LotOperation,
  type LotOutput,
  type PositionedResult,
  type RegisterOperation,
  type RegisterOutput,
} from "@chutewick/history";
import type {
  BeginRecord,
  ChangeRecord,
  LotRecord,
  LotView,
  ReadRecord,
  Sight,
  Violation,
} from "./records.js";

/** What a campaign's operators and clients saw, as histories that tools/history judges (docs/testing.md §3). */

function orderOutput({ told, mark }: ChangeRecord): RegisterOutput | undefined {
  switch (told) {
    case "confirmed":
      return { kind: "accepted", version: mark! };
    case "conflict":
      return { kind: "conflict", version: mark };
    case "refused":
      return { kind: "invalid" };
    case "not-run":
      return { kind: "not-run" };
    default:
      return undefined;
  }
}

function orderOperation(change: ChangeRecord): RegisterOperation {
  return {
    client: change.id,
    calledAt: change.askedAt,
    returnedAt: change.endedAt ?? Number.POSITIVE_INFINITY,
    input: {
      kind: "order",
      order: change.order ?? change.id,
      value: change.value ?? change.id,
      base: change.expected,
      version: change.version,
      isValid: change.kind !== "malformed",
    },
    output: orderOutput(change),
  };
}

function readOperation({ askedAt, at, mark, id }: ReadRecord): RegisterOperation {
  return {
    client: "operator",
    calledAt: askedAt,
    returnedAt: at,
    input: { kind: "read" },
    output: { kind: "value", version: mark, value: id },
  };
}

/** The configuration that each node began work with, where it differs from the one before. */
function observations(begins: readonly BeginRecord[]): RegisterOperation[] {
  const found: RegisterOperation[] = [];
  const before = new Map<string, BeginRecord>();
  for (const begin of begins) {
    const { node, at, mark, id } = begin;
    const last = before.get(node);
    if (last !== undefined && last.mark === mark && last.id === id) continue;
    before.set(node, begin);
    found.push({
      client: node,
      calledAt: at,
      returnedAt: at,
      input: { kind: "observe", replica: node },
      output: { kind: "value", version: mark, value: id },
    });
  }
  return found;
}

/** Everything that operators and nodes saw of the configuration. */
export function configurationHistory(sight: Sight): RegisterOperation[] {
  return [
    ...[...sight.founding, ...sight.changes].map(orderOperation),
    ...sight.reads.map(readOperation),
    ...observations(sight.begins),
  ];
}

function isFinal(state: string): boolean {
  return state === "solved" || state === "failed" || state === "cancelled";
}

function viewOutput(view: LotView): LotOutput {
  if (view.missing === true) return { kind: "missing" };
  const results: PositionedResult[] = [];
  for (const { index, state, result, reason } of view.items)
    if (isFinal(state))
      results.push({
        position: index,
        item: String(index),
        content: JSON.stringify([state, result, reason]),
      });
  const isEnded = view.state === "done" || view.state === "cancelled";
  return { kind: "results", results, ending: isEnded ? view.state : undefined };
}

/** Everything that the clients of one lot saw. */
export function lotHistory(lot: LotRecord): LotOperation[] {
  const operations: LotOperation[] = [];
  for (const { askedAt, at, told, lot: name } of lot.handIns)
    operations.push({
      client: lot.key,
      calledAt: askedAt,
      returnedAt: at,
      input: { kind: "admit" },
      output:
        told === "accepted"
          ? { kind: "admitted", lot: name! }
          : told === "refused"
            ? { kind: "refused" }
            : undefined,
    });
  for (const view of lot.views)
    operations.push({
      client: lot.key,
      calledAt: view.askedAt,
      returnedAt: view.at,
      input: { kind: "read", from: 0 },
      output: viewOutput(view),
    });
  return operations;
}

/** ms. When the last acknowledged order was acknowledged; 0 where none was. */
function lastAcknowledgedAt(sight: Sight): number {
  let last = 0;
  for (const { told, endedAt } of sight.changes)
    if (told === "confirmed") last = Math.max(last, endedAt!);
  return last;
}

/** The verdict over every history of a campaign. */
export function judgeHistories(sight: Sight): Violation[] {
  const found: Violation[] = [...judgeConfiguration(configurationHistory(sight))];
  for (const lot of sight.lots)
    for (const { rule, facts } of judge(lotLog, lotHistory(lot)))
      found.push({ rule, facts: `${lot.key}: ${facts}` });
  /** A history that ends before anybody reads again would let every order vanish. */
  const confirmedAt = lastAcknowledgedAt(sight);
  if (!sight.reads.some(({ askedAt }) => askedAt > confirmedAt))
    found.push({ rule: "confirmed-gone", facts: "nobody read after the last acknowledged order" });
  return found;
}
