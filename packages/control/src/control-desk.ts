/** The API of a control machine towards adapters (docs/design.md §13.2). */
import type { RunnerDescriptor } from "@chutewick/parts";
import type { ReportAnswer, ControlOutcome } from "./control-messages.js";
import type { ControlCommand } from "./machine.js";

/** Operations that an adapter, or the built-in interface, may call on a control machine. */
export interface ControlApi {
  /** Whether this machine knows the state of the control group well enough to accept requests. */
  isReady(): boolean;
  /** Processes a report of a runner; the sequence number rises with each report. Only accepted reports are acknowledged. */
  announce(card: Omit<RunnerDescriptor, "age">, sequence: number): ReportAnswer["kind"];
  /** Runs a command at the head of the control chain; rejected at once if no quorum of control machines is reachable. */
  inquire(command: ControlCommand, complete: (outcome: ControlOutcome) => void): void;
}

/** A further interface for operators and runners, next to the built-in one. */
export interface ControlAdapter {
  open(api: ControlApi): Promise<void>;
  close(): Promise<void>;
}
