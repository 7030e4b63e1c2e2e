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

  /** Each sending of each order, as the histories of orders have it. */
  changes(): ChangeRecord[] {
    return this.orders.flatMap((order) =>
      order.sendings.map((sending) => changeOf(order, sending)),
    );
  }
}

/** An answer counts from the moment it left the machine, since it may have been delivered then. */
function changeOf({ id, base, number }: OrderRecord, sending: Sending): ChangeRecord {
  const { askedAt, answeredAt, answer = "unknown", mark } = sending;
  const change = { id, kind: "racing", askedAt, expected: base, version: number } as const;
  return {
    ...change,
    told: answer,
    ...(answeredAt === undefined ? {} : { endedAt: answeredAt }),
    ...(mark === undefined ? {} : { mark }),
  };
}
