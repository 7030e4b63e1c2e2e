import { createHash } from "node:crypto";
import {
  constants,
  type ChainView,
  type Ledger,
  type Limits,
  type Machine,
  type Selector,
} from "@chutewick/parts";
import { configuration, type Configuration, type MarkedConfiguration } from "./configuration.js";

/** Control state: configuration, placement of queues, goodbyes, emptying of machines (docs/design.md §9). */
export type ControlCommand =
  /**
   * With the operator's own mark, if any, which goes up in steps of any size; the operator's own text of the whole; and the order
   * word for word as it came, where it is not that text: said again, it is known as taken (§13.8).
   */
  | {
      kind: "put";
      expected: number | undefined;
      mark?: number;
      value: unknown;
      origin?: string;
      word?: string;
    }
  | { kind: "patch"; expected: number | undefined; change: unknown }
  | { kind: "goodbye"; runner: string; incarnation: number }
  | { kind: "forget-goodbyes" }
  | { kind: "place"; queue: string; view: ChainView }
  | { kind: "review"; queue: string; view: ChainView }
  | { kind: "stand"; queue: string; standing: QueueStanding }
  | { kind: "fleet"; fleet: FleetRecord }
  /** By the identity of its disk, or by its name in the deployment, which stays though its disk is lost (§13.8). */
  | { kind: "empty"; identity: string; wanted: boolean; name?: string }
  | { kind: "read" };

export type ControlResult =
  | { kind: "IN_FORCE"; mark: number; warnings?: readonly string[] }
  | { kind: "CONFLICT"; mark: number }
  | { kind: "REFUSED"; reason: string }
  /** Why a machine is not going to be emptied, or is already. */
  | { kind: "UNKNOWN_MACHINE"; reason: string }
  | { kind: "TOO_FEW"; reason: string }
  | { kind: "UNDER_WAY"; reason: string }
  | { kind: "DONE" }
  | { kind: "CONFIGURATION"; mark: number; value: Configuration; origin?: string };

/** Machines that are being emptied, by identity. */
export interface EmptyingRecord {
  readonly since: number;
  readonly name?: string;
}

/** Orders taken lately, by their marks: one that is said again was taken, whatever came after it. */
export interface TakenRecord {
  readonly orders: readonly (readonly [mark: number, digest: string])[];
}

export interface Goodbye {
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

function goodbyeKey(runner: string): string {
  return `goodbye/${runner}`;
}

export const keys = {
  fleet: "fleet",
  configuration: "configuration",
  queue: "queue/",
  standing: "standing/",
  goodbye: "goodbye/",
  emptying: "emptying/",
  taken: "taken",
  goodbyeKey,
};

interface Order {
  readonly expected: number | undefined;
  readonly mark?: number;
  readonly origin?: string;
  readonly word?: string;
}

/** Whether an order may be entered twice and is the same as once. */
export function isRepeatable(command: ControlCommand): boolean {
  switch (command.kind) {
    case "read":
    case "goodbye":
      return true;
    case "put":
      return command.mark !== undefined && (command.word ?? command.origin) !== undefined;
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
    const held = configuration.read(ledger.read<MarkedConfiguration>(keys.configuration));
    switch (command.kind) {
      case "read":
        return {
          kind: "CONFIGURATION",
          mark: held.mark,
          value: held.value,
          ...(held.origin === undefined ? {} : { origin: held.origin }),
        };
      case "put":
        return this.#enter(ledger, held, command, command.value);
      case "patch":
        return this.#enter(
          ledger,
          held,
          { expected: command.expected },
          configuration.patch(held.value, command.change),
        );
      case "goodbye": {
        const key = keys.goodbyeKey(command.runner);
        if ((ledger.read<Goodbye>(key)?.incarnation ?? 0) < command.incarnation)
          ledger.put(key, {
            runner: command.runner,
            incarnation: command.incarnation,
            at: time,
          } satisfies Goodbye);
        return { kind: "DONE" };
      }
      case "forget-goodbyes": {
        for (const [key, goodbye] of [...ledger.under<Goodbye>(keys.goodbye)])
          if (goodbye.at + constants.goodbyeKept < time) ledger.remove(key);
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
      case "empty": {
        if (command.wanted)
          ledger.put(keys.emptying + command.identity, {
            since: time,
            ...(command.name === undefined ? {} : { name: command.name }),
          } satisfies EmptyingRecord);
        else ledger.remove(keys.emptying + command.identity);
        return { kind: "DONE" };
      }
    }
  }

  /** Checked on the merged whole, so nothing of a refused change takes effect; one of two racers wins. */
  #enter(
    ledger: Ledger,
    held: MarkedConfiguration,
    { expected, mark: own, origin, word = origin }: Order,
    value: unknown,
  ): ControlResult {
    const digest =
      word === undefined || own === undefined
        ? undefined
        : createHash("sha256").update(word).digest("base64");
    const taken = ledger.read<TakenRecord>(keys.taken)?.orders ?? [];
    if (digest !== undefined)
      for (const [mark, held] of taken)
        if (mark === own && held === digest) return { kind: "IN_FORCE", mark };
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
    ledger.put(keys.configuration, {
      mark,
      value: checked.value,
      ...(origin === undefined ? {} : { origin }),
    } satisfies MarkedConfiguration);
    if (digest !== undefined)
      ledger.put(keys.taken, {
        orders: [...taken.slice(1 - constants.ordersKept), [mark, digest]],
      } satisfies TakenRecord);
    const warnings = configuration.warnings(checked.value);
    return { kind: "IN_FORCE", mark, ...(warnings.length === 0 ? {} : { warnings }) };
  }
}
