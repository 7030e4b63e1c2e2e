import { now } from "./time.js";

/** What a run can find broken. */
export type Rule =
  | "CONFIG_IN_FORCE"
  | "CONFIG_ORDERS"
  | "LOST"
  | "NOT_ENDED"
  | "REFUSED_RAN"
  | "TWICE"
  | "MIXED"
  | "ENDED_BY_ITSELF"
  | "LOTS"
  | "OWN_COUNTERS"
  | "START";

/** One finding, with its time in ms from the start of the run. */
export interface Violation {
  readonly rule: Rule;
  readonly at: number;
  readonly facts: string;
}

/** The findings of one run. */
export class Violations {
  readonly found: Violation[] = [];
  readonly begun = now();
  #journal: string[] = [];

  add(rule: Rule, facts: string): void {
    const violation: Violation = { rule, at: Math.round(now() - this.begun), facts };
    this.found.push(violation);
    this.note(`VIOLATION ${rule} ${facts}`);
  }

  /** A line for the journal of the run, which is kept if the run fails. */
  note(text: string): void {
    const seconds = ((now() - this.begun) / 1_000).toFixed(3);
    this.#journal.push(`${seconds} ${text}`);
  }

  get journal(): string {
    return `${this.#journal.join("\n")}\n`;
  }
}
