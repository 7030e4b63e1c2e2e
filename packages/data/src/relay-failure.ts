/** Failures of live requests on passages, and their texts for callers (docs/design.md §13.5). */

/** The most recent failure of a live request. */
export type RelayFailure =
  | { readonly kind: "no-runner-known" }
  /** The attempt failed before its first byte was sent. */
  | { readonly kind: "unsent"; readonly reason: string }
  /** Another runner, or another incarnation of the chosen one, answered at its address. */
  | { readonly kind: "other-runner" }
  /** The runner had no free concurrency slot. */
  | { readonly kind: "no-seat" }
  /** The runner answered with an HTTP error status. */
  | { readonly kind: "runner-status"; readonly status: number }
  /** Bytes were sent, and no complete result was received. */
  | { readonly kind: "broken"; readonly reason: string }
  /** The deadline of the request passed. */
  | { readonly kind: "time-up" }
  /** The time of a planned stop of this node is over. */
  | { readonly kind: "node-ends" };

/** Text of a failure, as it is returned to the caller. */
export function describeFailure(failure: RelayFailure): string {
  switch (failure.kind) {
    case "no-runner-known":
      return "no runner is known";
    case "other-runner":
      return "another runner stands there";
    case "no-seat":
      return "the runner has no seat";
    case "runner-status":
      return `the runner answered ${failure.status}`;
    case "time-up":
      return "the time is up";
    case "node-ends":
      return "this node is about to end";
    case "unsent":
    case "broken":
      return failure.reason;
  }
}
