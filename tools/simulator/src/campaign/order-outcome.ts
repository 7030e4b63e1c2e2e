import type { Configuration, ControlOutcome } from "@chutewick/control";
import type { ChangeRecord } from "../checker.js";

/** What operators learn of the configuration from answers of control machines. */

/** What an operator learnt of an order. */
export function toldOf(outcome: ControlOutcome | undefined): Pick<ChangeRecord, "told" | "mark"> {
  if (outcome === undefined || outcome.kind === "unknown") return { told: "unknown" };
  if (outcome.kind === "not-run") return { told: "not-run" };
  switch (outcome.value.kind) {
    case "IN_FORCE":
      return { told: "confirmed", mark: outcome.value.mark };
    case "CONFLICT":
      return { told: "conflict", mark: outcome.value.mark };
    default:
      return { told: "refused" };
  }
}

/** The name of the order that entered a configuration, as its labels tell it. */
export function orderIdOf(value: Configuration): string | undefined {
  return value.ways["slips"]?.labels["change"];
}
