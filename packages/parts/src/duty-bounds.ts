/** Bounds of a deployment for duties, the calls to its platform; all times in ms (docs/design.md §14). */
export interface DutyBounds {
  /** Enabled duties; without any, no machine claims one. */
  readonly kinds: readonly ("usage" | "scaling")[];
  /** Calls per second that the platform accepts from all machines together. */
  readonly callsPerSecond: number;
  /** Duration of a lease on a subject; its holder does not change within it. */
  readonly lease: number;
  /** Tolerated delay of a process that is suspended between its last clock check and the send. */
  readonly thawSlack: number;
  /** Length of a usage window, and the time after its end at which its report is due. */
  readonly window: number;
  readonly reportWithin: number;
}

/** Maximum time from the request of a round to the first byte of its call. */
const MAX_ROUND_VALIDITY_MS = 1_000;

/** Validity of a round in ms from its request: far shorter than the lease, so that the next holder's round follows the call. */
function roundValidity({ lease, thawSlack }: DutyBounds): number {
  return Math.min(MAX_ROUND_VALIDITY_MS, (lease - thawSlack) / 3);
}

export const dutyBounds = { roundValidityMs: roundValidity };
