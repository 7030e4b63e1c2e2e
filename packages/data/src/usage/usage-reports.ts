/** Tells control machines what the usage counter of an access node counts; without I/O (docs/design.md §14.2). */
import type { LeaseMessage, UsageMessage, UsageTakenMessage } from "@chutewick/control";
import { constants } from "@chutewick/parts";
import type { Send } from "../membership.js";
import type { UsageCounter } from "./usage-counter.js";

/** How one control machine stands with the counts of this node. */
interface ControlStanding {
  /** Of the control machine. */
  life: string;
  /** The last change that this life of it has acknowledged. */
  acknowledged: number;
  /** ms, monotonic. */
  heardAt: number;
  toldAt: number;
}

/** Tells each control machine what it has not acknowledged yet, in bounded messages. */
export class UsageReports {
  readonly #counter: UsageCounter;
  /** The life of this node. */
  readonly #life: string;
  /** By address. */
  readonly #controls = new Map<string, ControlStanding>();
  #told = 0;

  constructor(counter: UsageCounter, life: string) {
    this.#counter = counter;
    this.#life = life;
  }

  /** Messages with counts that were sent. */
  get told(): number {
    return this.#told;
  }

  /** A control machine is there; one that restarted lacks all that an earlier life of it took. */
  heard(from: string, { stamp }: LeaseMessage, now: number): void {
    if (stamp === undefined) return;
    const held = this.#controls.get(from);
    if (held?.life === stamp.life) held.heardAt = now;
    else
      this.#controls.set(from, {
        life: stamp.life,
        acknowledged: 0,
        heardAt: now,
        toldAt: Number.NEGATIVE_INFINITY,
      });
  }

  /** An acknowledgement counts only where nothing is missing between it and what was acknowledged before. */
  taken(from: string, { life, since, upTo }: UsageTakenMessage): void {
    const held = this.#controls.get(from);
    if (held === undefined || held.life !== life || since > held.acknowledged) return;
    held.acknowledged = Math.max(held.acknowledged, upTo);
  }

  /** Tells what is new: with the heartbeats, which go out at the same moment, and soon where none does. */
  beat(now: number, areHeartbeatsSent: boolean): Send[] {
    const sends: Send[] = [];
    for (const [to, control] of this.#controls) {
      if (now - control.heardAt > constants.sessionLasts) this.#controls.delete(to);
      else if (this.#isDue(control, now, areHeartbeatsSent)) {
        control.toldAt = now;
        sends.push({ kind: "send", to, message: this.#messageSince(control.acknowledged) });
      }
    }
    this.#told += sends.length;
    return sends;
  }

  #isDue({ acknowledged, toldAt }: ControlStanding, now: number, withHeartbeats: boolean): boolean {
    if (acknowledged >= this.#counter.changes) return false;
    return withHeartbeats || now - toldAt >= constants.usageTellEvery;
  }

  #messageSince(since: number): UsageMessage {
    return { kind: "usage", life: this.#life, since, ...this.#counter.changedSince(since) };
  }
}
