/** Why a live request on a passage has no result so far, and how its caller is told (docs/design.md §13.5). */

/** The last thing that went wrong. */
export type RelayFailure =
  | { readonly kind: "no-runner-known" }
  /** No byte went out. */
  | { readonly kind: "unsent"; readonly reason: string }
  /** Another incarnation, or another runner, is at the address. */
  | { readonly kind: "other-runner" }
  | { readonly kind: "no-seat" }
  /** The runner failed with an HTTP status. */
  | { readonly kind: "runner-status"; readonly status: number }
  /** Bytes went out, and no whole result came back. */
  | { readonly kind: "broken"; readonly reason: string }
  | { readonly kind: "time-up" }
  /** A planned stop of this node has no time left. */
  | { readonly kind: "node-ends" };

/** The text that a caller is told. */
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
