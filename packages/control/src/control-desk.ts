import type { RunnerCard } from "@chutewick/parts";
import type { ControlOutcome } from "./core.js";
import type { ControlCommand } from "./machine.js";

/** What an interface (ours or an adapter's) may ask of a control machine (docs/design.md §13.2). */
export interface ControlDesk {
  /** Whether this machine knows the group's state well enough to take inquiries. */
  isReady(): boolean;
  /** A runner tells of itself; the sequence rises with each of its words. True where it is taken. */
  announce(card: Omit<RunnerCard, "age">, sequence: number): boolean;
  /** Entered at the head, from wherever it came. */
  inquire(command: ControlCommand, told: (outcome: ControlOutcome) => void): void;
  emptied(name: string): "emptying" | "emptied" | undefined;
}

/** An interface towards operators and runners that stands beside our own. */
export interface ControlFront {
  open(desk: ControlDesk): Promise<void>;
  close(): Promise<void>;
}
