import type { BeginRecord, ChangeRecord, ReadRecord, Violation } from "../checker.js";

/** What clients of one simulated run asked and were told. All moments are ms of virtual time. */

/** One sending of an order to one control machine. */
export interface Sending {
  readonly machine: string;
  readonly askedAt: number;
  answeredAt?: number;
  /** What the machine answered, whether or not the answer reached the operator. */
  answer?: "confirmed" | "conflict" | "refused" | "not-run" | "unknown";
  /** The version that the answer names: the order's own, or the one in force that it conflicts with. */
  mark?: number;
}

/** An operator's order: the same number, base and text at each of its sendings. */
export interface OrderRecord {
  readonly id: string;
  readonly base: number;
  readonly number: number;
  readonly askedAt: number;
  readonly sendings: Sending[];
}

/** A lot of which the caller was told that it was taken. */
export interface AcceptedLot {
  readonly id: string;
  readonly items: number;
  readonly acceptedAt: number;
}

/** Time from the end of all faults until everything was served again. */
export interface Recovery {
  readonly healedAt: number;
  readonly took: number;
}

export class History {
  readonly orders: OrderRecord[] = [];
  readonly reads: ReadRecord[] = [];
  readonly begins: BeginRecord[] = [];
  readonly lots: AcceptedLot[] = [];
  readonly recoveries: Recovery[] = [];
  readonly violations: Violation[] = [];
  /** How often each kind of fault was played. */
  readonly faults: Record<string, number> = {};
  /** How often clients heard each kind of answer. */
  readonly counts: Record<string, number> = {};

  fault(kind: string): void {
    this.faults[kind] = (this.faults[kind] ?? 0) + 1;
  }

  count(kind: string): void {
    this.counts[kind] = (this.counts[kind] ?? 0) + 1;
  }

  violate(rule: string, facts: string): void {
    this.violations.push({ rule, facts });
  }

  /** Orders as the checker of the storms reads them: one outcome for all sendings of each. */
  changes(): ChangeRecord[] {
    return this.orders.map(changeOf);
  }
}

/**
 * A refusal that holds for ever. A conflict with an older version than the base is none: the same order
 * may be taken once the base is in force.
 */
export function isFinalRefusal({ base }: OrderRecord, { answer, mark }: Sending): boolean {
  return answer === "refused" || (answer === "conflict" && mark! > base);
}

/** A confirmation counts from the moment it left the machine, since the answer may have been delivered then. */
function changeOf(order: OrderRecord): ChangeRecord {
  const { id, base, askedAt, sendings } = order;
  const change: ChangeRecord = { id, kind: "racing", askedAt, expected: base };
  const confirmed = earliest(sendings.filter(({ answer }) => answer === "confirmed"));
  if (confirmed !== undefined)
    return { ...change, told: "confirmed", endedAt: confirmed.answeredAt!, mark: confirmed.mark! };
  const refused = earliest(sendings.filter((sending) => isFinalRefusal(order, sending)));
  if (refused !== undefined) return { ...change, told: "conflict", endedAt: refused.answeredAt! };
  const surelyNotRun = sendings.every(
    ({ answer }) => answer === "not-run" || answer === "conflict",
  );
  return { ...change, told: surelyNotRun ? "not-run" : "unknown" };
}

function earliest(sendings: readonly Sending[]): Sending | undefined {
  const [first, ...others] = sendings;
  if (first === undefined) return undefined;
  return others.reduce(
    (left, right) => (right.answeredAt! < left.answeredAt! ? right : left),
    first,
  );
}
