import { bounds } from "../system/machine.js";
import { now } from "./time.js";

/** A planned stop with the start after it, or anything else. */
export type TroubleKind = "planned-stop" | "fault";

/** A trouble on a machine, over when `to` is known. */
interface Trouble {
  readonly machine: string;
  readonly kind: TroubleKind;
  readonly from: number;
  to: number | undefined;
}

/** Which machines were in trouble when, and which are in touch (the rules' word for machines that bounds hold for). */
export class CalmLog {
  #troubles: Trouble[] = [];

  /** Notes a trouble; the result ends it. */
  begin(machine: string, kind: TroubleKind): () => void {
    const trouble: Trouble = { machine, kind, from: now(), to: undefined };
    this.#troubles.push(trouble);
    return () => {
      trouble.to ??= now();
    };
  }

  isInTrouble(machine: string): boolean {
    return this.#troubles.some((each) => each.machine === machine && each.to === undefined);
  }

  /** Whether the machine had no trouble in this time, nor in the contact time before it. */
  wasCalm(machine: string, from: number, to: number): boolean {
    const since = from - bounds.contactMs;
    function overlaps(trouble: Trouble): boolean {
      return trouble.machine === machine && trouble.from <= to && (trouble.to ?? to) >= since;
    }
    return !this.#troubles.some(overlaps);
  }

  /** The same, where a planned stop is no trouble. */
  hadNoFault(machine: string, from: number, to: number): boolean {
    const since = from - bounds.contactMs;
    function overlaps(trouble: Trouble): boolean {
      const isFault = trouble.kind === "fault" && trouble.machine === machine;
      return isFault && trouble.from <= to && (trouble.to ?? to) >= since;
    }
    return !this.#troubles.some(overlaps);
  }

  /** The same for every machine with a disk: only then is the core settled. */
  wereDisksCalm(from: number, to: number): boolean {
    const since = from - bounds.contactMs;
    function overlaps(trouble: Trouble): boolean {
      const hasDisk = !trouble.machine.startsWith("access");
      return hasDisk && trouble.from <= to && (trouble.to ?? to) >= since;
    }
    return !this.#troubles.some(overlaps);
  }
}
