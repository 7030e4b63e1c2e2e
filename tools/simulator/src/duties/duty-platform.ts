import type { DutyCall, DutyOutcome } from "@chutewick/control";
import { keys } from "@chutewick/control";
import type { World } from "../world.js";

/** How the platform behaves for a while. */
export type PlatformMood = "well" | "silent" | "busy" | "reset" | "slow" | "down";

/** A call as the platform saw it. */
export interface SeenCall {
  readonly at: number;
  readonly subject: string;
  readonly number: number;
  readonly holder: string;
  readonly fence: number;
  readonly body: string;
  readonly isAccepted: boolean;
}

/** ms that a slow platform takes, and the others at most. */
const slowMost = 9_000;
const usualMost = 5;

/** Stand-in of the platform: keeps the highest fence of each subject, and a record of all calls that came through. */
export class DutyPlatform {
  mood: PlatformMood = "well";
  /** Share of the connections that are slow to open. */
  slowConnectShare = 0.1;
  readonly seen: SeenCall[] = [];
  readonly #world: World;
  readonly #fences = new Map<string, number>();

  constructor(world: World) {
    this.#world = world;
  }

  /** A call that came over the network; the outcome is told unless the platform, or a slow answer, is lost. */
  arrived(call: DutyCall, tell: (outcome: DutyOutcome) => void): void {
    const { chance } = this.#world;
    switch (this.mood) {
      case "down":
        return tell("lost");
      case "busy":
        return tell("busy");
      case "silent":
        /** Some are taken, and their answers lost. */
        if (chance.happens(0.5)) this.#take(call);
        return;
      case "reset":
        if (chance.happens(0.5)) this.#take(call);
        return tell("lost");
      case "slow":
      case "well": {
        const most = this.mood === "slow" ? slowMost : usualMost;
        const outcome = this.#take(call);
        this.#world.after(chance.between(1, most), () => tell(outcome));
        return;
      }
    }
  }

  #take({ act, holder, fence, body }: DutyCall): DutyOutcome {
    const subject = keys.dutyKey(act);
    const highest = this.#fences.get(subject) ?? 0;
    const isAccepted = fence >= highest;
    this.#fences.set(subject, Math.max(fence, highest));
    const text = JSON.stringify(body);
    const { number } = act;
    const at = this.#world.now;
    this.seen.push({ at, subject, number, holder, fence, body: text, isAccepted });
    return isAccepted ? "taken" : "outdated";
  }
}
