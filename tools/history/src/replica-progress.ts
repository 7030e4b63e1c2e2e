import type { RegisterInput, RegisterOperation, RegisterOutput } from "./configuration-register.js";
import type { Specification } from "./specification.js";

/** Rules that the observations of one replica can break. */
export type ProgressRule =
  /** It went back to an older version. */
  "slips-back";

/** The newest version that the replica was seen to work with. */
type Progress = number;

/** What a replica works with never goes back; operations of other kinds have no place in its history. */
function step(seen: Progress, { output }: RegisterOperation): Progress | undefined {
  if (output?.kind !== "value" || output.version < seen) return undefined;
  return output.version;
}

function describeOperation({ client, output }: RegisterOperation): string {
  return `${client} works with version ${output?.kind === "value" ? output.version : "?"}`;
}

/**
 * The observations of one replica as a register that only grows.
 *
 * They are judged apart from the configuration's register, which they leave unchanged: observations that each can
 * stand in the register's order, and that no return and later call put in a falling order, can be placed in the order
 * of their versions, each at the latest of its own call, the calls of the observations before it, and the moment at
 * which its version came into force. None of these is later than its return.
 */
export const replicaProgress: Specification<Progress, RegisterInput, RegisterOutput> = {
  initial: 0,
  step,
  key: String,
  isSpent: () => true,
  isExcluded: (seen, operation) => step(seen, operation) === undefined,
  diagnose: () => "slips-back" satisfies ProgressRule,
  resume: (_seen, { output }) => (output?.kind === "value" ? output.version : 0),
  describeState: (seen) => `version ${seen}`,
  describeOperation,
};
