import type { ControlOutcome } from "../control-messages.js";
import type { ActBody, ActName } from "./duty-acts.js";
import type { ClaimAct, FinishAct } from "./duty-ledger.js";

/** What the performer of duties asks of its surroundings. */
export type DutyOutput = DutyInquiry | DutyCallOutput;

/** A command for the control group; its outcome is to be told under the ticket. */
export interface DutyInquiry {
  readonly kind: "inquire";
  readonly ticket: string;
  readonly command: ClaimAct | FinishAct;
}

/** A call to the platform; its outcome is to be told under the ticket. */
export interface DutyCallOutput {
  readonly kind: "call";
  readonly ticket: string;
  readonly call: DutyCall;
}

/** One call to the platform under a round that was won for it. */
export interface DutyCall {
  readonly act: ActName;
  readonly body: ActBody;
  readonly holder: string;
  readonly fence: number;
  /** ms, of this machine's monotonic clock. No byte may go out later: the round is too old then. */
  readonly sendBy: number;
  /** ms. The answer is waited for this long. */
  readonly patience: number;
}

/** What became of a call. */
export type DutyOutcome =
  /** The platform took it. */
  | "taken"
  /** The platform has seen a higher fence of the same subject. */
  | "outdated"
  /** The platform takes no more now, or failed. */
  | "busy"
  /** No answer: not reached, cut off or too slow. Whether it was taken is not known. */
  | "lost"
  /** Surely not sent, as the round was too old. */
  | "unsent"
  /** The platform will never take it as it is. */
  | "rejected";

/** What became of a command. */
export type DutyInquiryOutcome = ControlOutcome;
