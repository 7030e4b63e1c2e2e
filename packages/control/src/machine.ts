import {
  constants,
  type ChainView,
  type Ledger,
  type Limits,
  type Machine,
  type Selector,
} from "@chutewick/parts";
import { configuration, type Configuration, type MarkedConfiguration } from "./configuration.js";
import {
  dutyLedger,
  type ClaimAct,
  type ClaimResult,
  type FinishAct,
} from "./duties/duty-ledger.js";
import { drain, type DrainCommand, type DrainQuery, type EmptyingState } from "./emptying.js";
import { keys } from "./keys.js";
import { OrderLog } from "./order-log.js";
import { configurationIn, putConfiguration } from "./tenants-record.js";

/** Control state: configuration, placement of queues, deregistrations, emptying of machines (docs/design.md §9). */
export type ControlCommand =
  | PutCommand
  | PatchCommand
  | { kind: "goodbye"; runner: string; incarnation: number }
  | { kind: "forget-goodbyes" }
  | { kind: "place"; queue: string; view: ChainView }
  | { kind: "review"; queue: string; view: ChainView }
  | { kind: "stand"; queue: string; standing: QueueStanding }
  | { kind: "fleet"; fleet: FleetRecord }
  | DrainCommand
  | DrainQuery
  | ClaimAct
  | FinishAct
  | { kind: "read" };

/** A whole configuration on top of a base. */
export interface PutCommand {
  readonly kind: "put";
  /** The version that must be in force; undefined for whichever is. */
  readonly expected: number | undefined;
  /** The operator's own number for the new version, above the one in force; the next where there is none. */
  readonly mark?: number;
  readonly value: unknown;
  /** The operator's own text of the whole, told back to reads. */
  readonly origin?: string;
  /** Idempotency key; where there is none and the operator has a number, the origin stands for it. Named as in earlier releases. */
  readonly word?: string;
}

/** A change of a configuration, by RFC 7396. */
export interface PatchCommand {
  readonly kind: "patch";
  readonly expected: number | undefined;
  readonly change: unknown;
  /** Idempotency key. */
  readonly word?: string;
}

export type ControlResult =
  | { kind: "IN_FORCE"; mark: number; warnings?: readonly string[] }
  | { kind: "CONFLICT"; mark: number }
  | { kind: "REFUSED"; reason: string }
  /** Why a machine is not going to be emptied. */
  | { kind: "UNKNOWN_MACHINE"; reason: string }
  | { kind: "TOO_FEW"; reason: string }
  /** Being emptied already; from heads of earlier releases, and an acknowledgement like any other. */
  | { kind: "UNDER_WAY"; reason: string }
  | { kind: "EMPTYING"; state: EmptyingState }
  | ClaimResult
  | { kind: "DONE" }
  | { kind: "CONFIGURATION"; mark: number; value: Configuration; origin?: string };

export interface Deregistration {
  readonly runner: string;
  /** This life and every earlier one is closed. */
  readonly incarnation: number;
  readonly at: number;
}

/** Addresses whose majority must take each change; while it changes, a majority of both must (§7.4). */
export interface FleetRecord {
  readonly mark: number;
  readonly addresses: readonly string[];
  readonly previous: readonly string[];
}

/** What holds for a queue: season, pace and share of waiting work (§8.4, §8.5). */
export interface QueueStanding {
  /** Of this record; each change builds on the one before. */
  readonly mark: number;
  /** Of what the queue's owner is to enter: limits and target. */
  readonly shareMark: number;
  readonly season: string | null;
  /** The limits as the season or the model has them; absent in what an earlier release wrote. */
  readonly base?: Limits;
  /** The limits in force: the same at the pace that live work leaves. */
  readonly limits: Limits;
  /** Eighths of the configured refill that live traffic leaves. */
  readonly pace: number;
  /** Sums over the classes: items that may wait from now on, and that may still come to wait until the owner has told that it entered the targets. */
  readonly target: number;
  readonly granted: number;
  /** By season, in the order in which they are asked; absent in what an earlier release wrote. */
  readonly classes?: readonly StandingClass[];
}

export interface StandingClass {
  /** "" for lots that no season selects. */
  readonly season: string;
  readonly select: readonly Selector[];
  readonly runners: readonly Selector[];
  readonly target: number;
  readonly granted: number;
}

export function standingClasses(standing: QueueStanding | undefined): readonly StandingClass[] {
  if (standing === undefined) return [];
  return (
    standing.classes ?? [
      {
        season: standing.season ?? "",
        select: [],
        runners: [],
        target: standing.target,
        granted: standing.granted,
      },
    ]
  );
}

interface Order {
  readonly expected: number | undefined;
  readonly mark?: number;
  readonly origin?: string;
  readonly key: string | undefined;
  readonly value: unknown;
}

/** The key by which an order sent again is known. */
function keyOf(command: PutCommand | PatchCommand): string | undefined {
  if (command.word !== undefined || command.kind === "patch") return command.word;
  return command.mark === undefined ? undefined : command.origin;
}

/** Whether an order may be entered twice and is the same as once. */
export function isRepeatable(command: ControlCommand): boolean {
  switch (command.kind) {
    case "read":
    case "emptying":
    case "goodbye":
      return true;
    case "put":
    case "patch":
      return keyOf(command) !== undefined;
    default:
      return false;
  }
}

export class ControlMachine implements Machine {
  rebuild(): void {
    // Nothing is derived: every command reads its records by key.
  }

  apply(ledger: Ledger, input: unknown, time: number): ControlResult {
    const command = input as ControlCommand;
    const held = configurationIn(ledger);
    switch (command.kind) {
      case "read":
        return {
          kind: "CONFIGURATION",
          mark: held.mark,
          value: held.value,
          ...(held.origin === undefined ? {} : { origin: held.origin }),
        };
      case "put":
        return this.#enter(ledger, held, { ...command, key: keyOf(command) }, time);
      case "patch":
        return this.#enter(
          ledger,
          held,
          {
            expected: command.expected,
            key: command.word,
            value: configuration.patch(held.value, command.change),
          },
          time,
        );
      case "goodbye": {
        const key = keys.goodbyeKey(command.runner);
        if ((ledger.read<Deregistration>(key)?.incarnation ?? 0) < command.incarnation)
          ledger.put(key, {
            runner: command.runner,
            incarnation: command.incarnation,
            at: time,
          } satisfies Deregistration);
        return { kind: "DONE" };
      }
      case "forget-goodbyes": {
        for (const [key, deregistration] of [...ledger.under<Deregistration>(keys.goodbye)])
          if (deregistration.at + constants.deregistrationKept < time) ledger.remove(key);
        return { kind: "DONE" };
      }
      case "place":
      case "review": {
        const key = keys.queue + command.queue;
        const mark = ledger.read<ChainView>(key)?.mark ?? 0;
        if (command.view.mark !== mark + 1) return { kind: "CONFLICT", mark };
        ledger.put(key, command.view);
        return { kind: "DONE" };
      }
      case "stand": {
        const key = keys.standing + command.queue;
        const mark = ledger.read<QueueStanding>(key)?.mark ?? 0;
        if (command.standing.mark !== mark + 1) return { kind: "CONFLICT", mark };
        ledger.put(key, command.standing);
        return { kind: "DONE" };
      }
      case "fleet": {
        const mark = ledger.read<FleetRecord>(keys.fleet)?.mark ?? 0;
        if (command.fleet.mark !== mark + 1) return { kind: "CONFLICT", mark };
        ledger.put(keys.fleet, command.fleet);
        return { kind: "DONE" };
      }
      case "empty":
        return drain.apply(ledger, command, time) ?? { kind: "DONE" };
      case "claim-act":
        return dutyLedger.claim(ledger, command, time);
      case "finish-act":
        dutyLedger.finish(ledger, command, time);
        return { kind: "DONE" };
      case "emptying":
        return {
          kind: "EMPTYING",
          state:
            command.sight === undefined
              ? undefined
              : drain.state(ledger, command.machine, command.sight),
        };
    }
  }

  /**
   * Takes an order, or says why not, in this order: it was taken already; another version than its base is in force; it is
   * invalid. So of two orders on one base the loser hears of the conflict, and one sent again hears that it was taken. Checked
   * on the merged whole, so nothing of a refused change takes effect.
   */
  #enter(
    ledger: Ledger,
    held: MarkedConfiguration,
    { expected, mark: own, origin, key, value }: Order,
    time: number,
  ): ControlResult {
    const log = new OrderLog(ledger, held.origin);
    const taken = log.find(key);
    if (taken !== undefined) return { kind: "IN_FORCE", mark: taken };
    if (expected !== undefined && expected !== null && expected !== held.mark)
      return { kind: "CONFLICT", mark: held.mark };
    const checked = configuration.check(value);
    if (!checked.ok) return { kind: "REFUSED", reason: checked.reason };
    if (own !== undefined && !(Number.isSafeInteger(own) && own > held.mark))
      return {
        kind: "REFUSED",
        reason: `(whole): the mark ${own} must be a whole number above ${held.mark}, which is in force`,
      };
    const mark = own ?? held.mark + 1;
    putConfiguration(ledger, {
      mark,
      value: checked.value,
      ...(origin === undefined ? {} : { origin }),
    });
    log.add(key, mark, time);
    const warnings = configuration.warnings(checked.value);
    return { kind: "IN_FORCE", mark, ...(warnings.length === 0 ? {} : { warnings }) };
  }
}
