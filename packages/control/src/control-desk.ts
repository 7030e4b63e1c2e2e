import type { RunnerCard } from "@chutewick/parts";
import type { Announced, ControlOutcome } from "./control-messages.js";
import type { ControlCommand } from "./machine.js";

/** What an interface (ours or an adapter's) may ask of a control machine (docs/design.md §13.2). */
export interface ControlDesk {
  /** Whether this machine knows the group's state well enough to take requests. */
  isReady(): boolean;
  /** A report of a runner; the sequence rises with each. It is acknowledged only where it is taken. */
  announce(card: Omit<RunnerCard, "age">, sequence: number): Announced["kind"];
  /** Entered at the head, from wherever it came; refused at once where no majority of control is reached. */
  inquire(command: ControlCommand, told: (outcome: ControlOutcome) => void): void;
}

/** An interface towards operators and runners that stands beside our own. */
export interface ControlFront {
  open(desk: ControlDesk): Promise<void>;
  close(): Promise<void>;
}
