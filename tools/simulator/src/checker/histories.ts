import {
  judgeConfiguration,
  judge,
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

/** What a simulated run's operators and clients saw, as histories that tools/history judges (docs/testing.md §4). */

/** What was seen of the configuration; each change is one sending of an order. */
export type OrderSight = Pick<Sight, "founding" | "changes" | "reads" | "begins">;

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
function configurationHistory(sight: OrderSight): RegisterOperation[] {
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

/** ms. When the last order was acknowledged for the first time; 0 where none was. */
function lastAcknowledgedAt(changes: readonly ChangeRecord[]): number {
  const acknowledgedAt = new Map<string, number>();
  for (const { id, order = id, told, endedAt } of changes) {
    if (told !== "confirmed") continue;
    acknowledgedAt.set(order, Math.min(endedAt!, acknowledgedAt.get(order) ?? endedAt!));
  }
  return Math.max(0, ...acknowledgedAt.values());
}

/** The verdict over what operators and nodes saw of the configuration. */
export function judgeOrders(sight: OrderSight): Violation[] {
  const found: Violation[] = [...judgeConfiguration(configurationHistory(sight))];
  /** A history that ends before anybody reads again would let every order vanish. */
  const acknowledgedAt = lastAcknowledgedAt(sight.changes);
  if (!sight.reads.some(({ askedAt }) => askedAt > acknowledgedAt))
    found.push({ rule: "confirmed-gone", facts: "nobody read after the last acknowledged order" });
  return found;
}

/** The verdict over every history of a campaign. */
export function judgeHistories(sight: Sight): Violation[] {
  const found = judgeOrders(sight);
  for (const lot of sight.lots)
    for (const { rule, facts } of judge(lotLog, lotHistory(lot)))
      found.push({ rule, facts: `${lot.key}: ${facts}` });
  return found;
}
