/** What a deployment tells of the duties at its platform; all times in ms (docs/design.md §14). */
export interface DutyBounds {
  /** The duties that are asked for; where there is none, nothing is claimed. */
  readonly kinds: readonly ("usage" | "scaling")[];
  /** Calls a second that the platform takes of all machines together. */
  readonly callsPerSecond: number;
  /** Holders of a subject never change to and fro within this. */
  readonly lease: number;
  /** What a process that freezes between its last look at the clock and the send may be late without harm. */
  readonly thawSlack: number;
  /** Length of a window of usage, and what time after its end its report is due. */
  readonly window: number;
  readonly reportWithin: number;
}

/** The most that the first byte of a call may go out after its round was asked for. */
const freshMost = 1_000;

/** Time that a round counts from when it was asked for: far less than the lease, so the next holder's round comes after the call. */
function freshFor({ lease, thawSlack }: DutyBounds): number {
  return Math.min(freshMost, (lease - thawSlack) / 3);
}

export const dutyBounds = { freshFor };
