import {
  ControlStateMachine as ControlRecords,
  keys,
  type ControlCommand,
  type ControlOutcome,
  type DutyCall,
  type DutyRecord,
} from "@chutewick/control";
import { Ledger, type Change } from "@chutewick/parts";
import type { Receiver } from "../world/world.js";
import type { World } from "../world.js";

/** A command on its way to the group. */
export interface AskMessage {
  readonly kind: "ask";
  readonly ticket: string;
  readonly command: ControlCommand;
}

/** Its outcome. */
export interface ToldMessage {
  readonly kind: "told";
  readonly ticket: string;
  readonly outcome: ControlOutcome;
}

/** The confirmed records as of a place. */
export interface RecordsMessage {
  readonly kind: "records";
  readonly place: number;
  readonly records: readonly Change[];
}

/** ms. Between copies of the records that are told anew, as any may be lost. */
const tellEvery = 200;

/**
 * Stand-in of the group's chain for the model of duties: the real records behind one linearizable log, which may stand still.
 * Its time is as that of heads that follow each other: never ahead, and sometimes behind.
 */
export class DutyGroup implements Receiver {
  readonly alive = true;
  /** Calls that went out after another machine had won. */
  readonly lateCalls: string[] = [];
  readonly address = "group";
  readonly #world: World;
  readonly #ledger = new Ledger();
  readonly #records = new ControlRecords();
  readonly #members: readonly string[];
  #place = 0;
  /** ms. Until when nothing is confirmed; what was asked meanwhile is entered then. */
  #standsUntil = 0;
  /** ms by which the time of the log is behind. */
  #behind = 0;

  constructor(world: World, members: readonly string[]) {
    this.#world = world;
    this.#members = members;
    world.machines.set(this.address, this);
    this.#tellAgain();
  }

  mine(act: () => void): () => void {
    return act;
  }

  /** No head for a while; the time in between may not count. */
  standStill(milliseconds: number, isTimeLost: boolean): void {
    this.#standsUntil = Math.max(this.#standsUntil, this.#world.now + milliseconds);
    if (isTimeLost) this.#behind += this.#world.chance.between(0, milliseconds);
  }

  /** A call goes out: no later round may have been won by another. */
  sent({ act, fence, holder }: DutyCall): void {
    const record = this.#ledger.read<DutyRecord>(keys.dutyKey(act));
    if (record === undefined || record.fence <= fence) return;
    const { now } = this.#world;
    this.lateCalls.push(
      `late call: ${holder} with fence ${fence} at ${Math.round(now)} ms, after ${record.holder} won with ${record.fence}`,
    );
  }

  arrived(message: unknown, from: string): void {
    const { ticket, command } = message as AskMessage;
    this.#world.at(this.#standsUntil, () => this.#enter(ticket, command, from));
  }

  #enter(ticket: string, command: ControlCommand, from: string): void {
    const time = this.#world.now - this.#behind;
    const value = this.#records.apply(this.#ledger, command, time);
    if (this.#ledger.drainChanges().length > 0) this.#place += 1;
    const outcome: ControlOutcome = { kind: "confirmed", value, place: this.#place };
    this.#world.send(this.address, from, { kind: "told", ticket, outcome } satisfies ToldMessage);
    this.#tellAll();
  }

  #tellAgain(): void {
    this.#tellAll();
    this.#world.after(tellEvery, () => this.#tellAgain());
  }

  #tellAll(): void {
    const records = this.#ledger.snapshot();
    const message: RecordsMessage = { kind: "records", place: this.#place, records };
    for (const member of this.#members) this.#world.send(this.address, member, message);
  }
}
