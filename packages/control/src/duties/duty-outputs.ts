/** Commands and calls that the performer of duties issues, and their outcomes. */
import type { ControlOutcome } from "../control-messages.js";
import type { ActBody, ActName } from "./duty-acts.js";
import type { ClaimAct, FinishAct } from "./duty-ledger.js";

/** An output of the performer. */
export type DutyOutput = DutyCommandOutput | DutyCallOutput;

/** A command for the control group; its outcome is reported back with the ticket. */
export interface DutyCommandOutput {
  readonly kind: "inquire";
  readonly ticket: string;
  readonly command: ClaimAct | FinishAct;
}

/** A call to the platform; its outcome is reported back with the ticket. */
export interface DutyCallOutput {
  readonly kind: "call";
  readonly ticket: string;
  readonly call: DutyCall;
}

/** One call to the platform, in a round that was won for it. */
export interface DutyCall {
  readonly act: ActName;
  readonly body: ActBody;
  readonly holder: string;
  readonly fence: number;
  /** Deadline in monotonic ms of this machine for the first byte; after it the round has expired. */
  readonly sendBy: number;
  /** Timeout in ms for the answer. */
  readonly patience: number;
}

/** The outcome of a call. */
export type DutyOutcome =
  /** The platform accepted the act. */
  | "taken"
  /** The platform has seen a higher fencing number of the same subject. */
  | "outdated"
  /** The platform is overloaded or failed. */
  | "busy"
  /** No answer: unreachable, disconnected or timed out. The act may or may not have been accepted. */
  | "lost"
  /** Certainly not sent, as the round had expired. */
  | "unsent"
  /** The platform will never accept the act in this form. */
  | "rejected";

/** The outcome of a command. */
export type DutyCommandOutcome = ControlOutcome;
