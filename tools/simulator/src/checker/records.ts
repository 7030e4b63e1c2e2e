import type { RunRecord } from "../runners.js";

/** What clients, runners and operators saw in one run; times are ms of virtual time. */

/** A live request and its answer. */
export interface RequestRecord {
  readonly prompt: string;
  readonly kind: "one-shot" | "stream" | "fetch";
  readonly askedAt: number;
  endedAt?: number;
  told?: "done" | "not-run" | "may-have-run" | "runner-failed" | "torn" | "left" | "refused";
  value?: unknown;
  readonly pieces: { number: number; data: unknown }[];
  closed?: number;
}

/** A lot as its client handed it in, and what it was told of it. */
export interface LotRecord {
  readonly key: string;
  readonly count: number;
  /** What it brings of its own. */
  readonly labels?: Readonly<Record<string, string>>;
  readonly tries: string[];
  lot?: string;
  acceptedAt?: number;
  /** By what the client was told of the time it has. */
  endsAt?: number;
  cancelAskedAt?: number;
  cancelledAt?: number;
  readonly views: LotView[];
  /** Each sending of it, as its client saw it. */
  readonly handIns: HandInRecord[];
}

/** One sending of a lot. */
export interface HandInRecord {
  readonly askedAt: number;
  readonly at: number;
  /** "accepted", "refused", or what else was told; all else leaves its outcome unknown. */
  readonly told: string;
  readonly lot: string | undefined;
}

/** One look at a lot. */
export interface LotView {
  readonly askedAt: number;
  readonly at: number;
  /** It was said that there is no such lot. */
  readonly missing?: boolean;
  readonly state: string;
  readonly items: readonly { index: number; state: string; result?: unknown; reason?: string }[];
}

/** One sending of an order for the configuration. */
export interface ChangeRecord {
  readonly id: string;
  readonly kind: "good" | "malformed" | "racing";
  readonly askedAt: number;
  endedAt?: number;
  /** The mark that it builds on. */
  readonly expected: number;
  /** Of all sendings of one order; its own id where it is sent once. */
  readonly order?: string;
  /** Names what it writes; its own id where absent. */
  readonly value?: string;
  /** The mark it is to get; the next where absent. */
  readonly version?: number;
  told?: "confirmed" | "conflict" | "refused" | "not-run" | "unknown";
  /** The mark that it got, or the one that was in force instead. */
  mark?: number;
}

/** One read of the configuration. */
export interface ReadRecord {
  readonly askedAt: number;
  readonly at: number;
  readonly mark: number;
  /** Names of the changes that the configuration holds. */
  readonly id: string | undefined;
}

/** The configuration under which a node sent the first byte of an attempt. */
export interface BeginRecord {
  readonly node: string;
  readonly at: number;
  readonly mark: number;
  readonly id: string | undefined;
}

/** A runner that takes no more work. */
export interface DeregistrationRecord {
  readonly runner: string;
  readonly incarnation: number;
  readonly saidAt: number;
  /** When its word first reached a process that was not frozen. */
  heardAt?: number;
  confirmedAt?: number;
}

/** Everything that was seen of one run. */
export interface Sight {
  readonly inquiries: RequestRecord[];
  readonly lots: LotRecord[];
  /** The sendings of the first configuration. */
  readonly founding: ChangeRecord[];
  readonly changes: ChangeRecord[];
  readonly reads: ReadRecord[];
  readonly begins: BeginRecord[];
  readonly deregistrations: DeregistrationRecord[];
  readonly runs: RunRecord[];
  readonly waiting: { at: number; waiting: number; allowance: number }[];
  /** When all was mended, and when each kind of service was first seen whole again. */
  healedAt: number;
  serviceAt: { live?: number; lot?: number; change?: number; finished?: number };
  /** ms that a lot has. */
  readonly deadline: number;
  /** Whether, at the end, three whole copies of everything stand, and an emptied machine holds none. */
  repaired: boolean;
  emptiedHolds: boolean;
}

/** A rule that was broken, and what shows it. */
export interface Violation {
  readonly rule: string;
  readonly facts: string;
}

/** Takes each violation that a rule finds. */
export type Report = (rule: string, facts: string) => void;
