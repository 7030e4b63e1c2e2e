import {
  constants,
  type ChainView,
  type Ledger,
  type Limits,
  type StateMachine,
  type Selector,
} from "@chutewick/parts";
import { configuration, type Configuration, type VersionedConfiguration } from "./configuration.js";
import {
  dutyLedger,
  type ClaimAct,
  type ClaimResult,
  type FinishAct,
} from "./duties/duty-ledger.js";
import { drain, type DrainCommand, type DrainQuery, type DrainState } from "./emptying.js";
import { keys } from "./keys.js";
import { OrderLog } from "./order-log.js";
import { configurationIn, putConfiguration } from "./tenants-record.js";

/** Commands of the control state machine: configuration, queue placement, deregistrations, drains (docs/design.md §9). */
export type ControlCommand =
  | PutCommand
  | PatchCommand
  | { kind: "goodbye"; runner: string; incarnation: number }
  | { kind: "forget-goodbyes" }
  | { kind: "place"; queue: string; view: ChainView }
  | { kind: "review"; queue: string; view: ChainView }
  | { kind: "stand"; queue: string; standing: QueueQuota }
  | { kind: "fleet"; fleet: FleetRecord }
  | DrainCommand
  | DrainQuery
  | ClaimAct
  | FinishAct
  | { kind: "read" };

/** Replaces the whole configuration. */
export interface PutCommand {
  readonly kind: "put";
  /** Version that must be in force; undefined to accept any. */
  readonly expected: number | undefined;
  /** Version number chosen by the operator, above the one in force; the next number if undefined. */
  readonly mark?: number;
  readonly value: unknown;
  /** The configuration as the operator wrote it, returned to reads. */
  readonly origin?: string;
  /**
   * Idempotency key; the field name is that of earlier releases. Without a key, `origin` serves as the key if the operator chose the
   * version number.
   */
  readonly word?: string;
}

/** Changes the configuration by a JSON merge patch (RFC 7396). */
export interface PatchCommand {
  readonly kind: "patch";
  /** Version that must be in force; undefined to accept any. */
  readonly expected: number | undefined;
  readonly change: unknown;
  /** Idempotency key. */
  readonly word?: string;
}

/** Result of a control command. */
export type ControlResult =
  | { kind: "IN_FORCE"; mark: number; warnings?: readonly string[] }
  | { kind: "CONFLICT"; mark: number }
  | { kind: "REFUSED"; reason: string }
  /** Reasons for refusing a drain. */
  | { kind: "UNKNOWN_MACHINE"; reason: string }
  | { kind: "TOO_FEW"; reason: string }
  /** The machine is already being drained. Only heads of earlier releases return it; it counts as an acknowledgement. */
  | { kind: "UNDER_WAY"; reason: string }
  | { kind: "EMPTYING"; state: DrainState }
  | ClaimResult
  | { kind: "DONE" }
  | { kind: "CONFIGURATION"; mark: number; value: Configuration; origin?: string };

/** Record of a runner's deregistration. */
export interface Deregistration {
  readonly runner: string;
  /** This and every earlier incarnation of the runner is deregistered. */
  readonly incarnation: number;
  /** Ledger time in ms. */
  readonly at: number;
}

/**
 * Nodes of which a majority must accept each change. While the fleet itself changes, a majority of both the current and the previous
 * addresses must accept it (docs/design.md §7.4).
 */
export interface FleetRecord {
  /** Version of the record. */
  readonly mark: number;
  readonly addresses: readonly string[];
  readonly previous: readonly string[];
}

/** Quota of a queue: season, throttle level, limits and share of waiting work (docs/design.md §8.4, §8.5). */
export interface QueueQuota {
  /** Version of this record; each change must have the next one. */
  readonly mark: number;
  /** Version of the share that the queue's owner has to apply: limits and target. */
  readonly shareMark: number;
  readonly season: string | null;
  /** Configured limits of the season or the model; missing in records of earlier releases. */
  readonly base?: Limits;
  /** Limits in force: the configured limits reduced to the throttle level. */
  readonly limits: Limits;
  /** Throttle level: how many eighths of the configured refill rate live traffic leaves to the queue. */
  readonly pace: number;
  /** Number of items that may wait, summed over all classes. */
  readonly target: number;
  /** Number of items that may wait until the owner has reported that it applied the targets, summed over all classes. */
  readonly granted: number;
  /** Shares by season, in the order in which they are matched; missing in records of earlier releases. */
  readonly classes?: readonly QuotaClass[];
}

/** Share of a queue's waiting work that belongs to one season. */
export interface QuotaClass {
  /** Name of the season; "" for lots (batch jobs) that no season selects. */
  readonly season: string;
  readonly select: readonly Selector[];
  readonly runners: readonly Selector[];
  readonly target: number;
  readonly granted: number;
}

/** Classes of a queue's quota; a record of an earlier release counts as a single class. */
export function quotaClasses(standing: QueueQuota | undefined): readonly QuotaClass[] {
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

/** A put or a patch, reduced to the configuration that it results in. */
interface ConfigurationOrder {
  readonly expected: number | undefined;
  readonly mark?: number;
  readonly origin?: string;
  readonly key: string | undefined;
  readonly value: unknown;
}

/** Idempotency key by which a retry of the command is recognised. */
function idempotencyKeyOf(command: PutCommand | PatchCommand): string | undefined {
  if (command.word !== undefined || command.kind === "patch") return command.word;
  return command.mark === undefined ? undefined : command.origin;
}

/** Whether a command is idempotent, so that it may be submitted again. */
export function isIdempotent(command: ControlCommand): boolean {
  switch (command.kind) {
    case "read":
    case "emptying":
    case "goodbye":
      return true;
    case "put":
    case "patch":
      return idempotencyKeyOf(command) !== undefined;
    default:
      return false;
  }
}

/** Replicated state machine that applies committed control commands to the ledger. */
export class ControlStateMachine implements StateMachine {
  rebuild(): void {
    // There is no derived state: every command reads its records by key.
  }

  apply(ledger: Ledger, input: unknown, time: number): ControlResult {
    const command = input as ControlCommand;
    const current = configurationIn(ledger);
    switch (command.kind) {
      case "read":
        return {
          kind: "CONFIGURATION",
          mark: current.mark,
          value: current.value,
          ...(current.origin === undefined ? {} : { origin: current.origin }),
        };
      case "put":
        return this.#applyOrder(
          ledger,
          current,
          { ...command, key: idempotencyKeyOf(command) },
          time,
        );
      case "patch":
        return this.#applyOrder(
          ledger,
          current,
          {
            expected: command.expected,
            key: command.word,
            value: configuration.patch(current.value, command.change),
          },
          time,
        );
      case "goodbye": {
        const key = keys.deregistrationKey(command.runner);
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
          if (deregistration.at + constants.deregistrationRetentionMs < time) ledger.remove(key);
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
        const mark = ledger.read<QueueQuota>(key)?.mark ?? 0;
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
   * Accepts an order or returns why not. The checks run in this order: whether it was accepted before, whether its base version is in
   * force, and whether it is valid. So the loser of two orders on the same base gets a conflict, and a retry gets its earlier
   * acknowledgement. The complete configuration is validated, so a refused change has no partial effect.
   */
  #applyOrder(
    ledger: Ledger,
    current: VersionedConfiguration,
    { expected, mark: requestedVersion, origin, key, value }: ConfigurationOrder,
    time: number,
  ): ControlResult {
    const log = new OrderLog(ledger, current.origin);
    const acceptedVersion = log.find(key);
    if (acceptedVersion !== undefined) return { kind: "IN_FORCE", mark: acceptedVersion };
    if (expected !== undefined && expected !== null && expected !== current.mark)
      return { kind: "CONFLICT", mark: current.mark };
    const checked = configuration.check(value);
    if (!checked.ok) return { kind: "REFUSED", reason: checked.reason };
    if (
      requestedVersion !== undefined &&
      !(Number.isSafeInteger(requestedVersion) && requestedVersion > current.mark)
    )
      return {
        kind: "REFUSED",
        reason: `(whole): the mark ${requestedVersion} must be a whole number above ${current.mark}, which is in force`,
      };
    const version = requestedVersion ?? current.mark + 1;
    putConfiguration(ledger, {
      mark: version,
      value: checked.value,
      ...(origin === undefined ? {} : { origin }),
    });
    log.add(key, version, time);
    const warnings = configuration.warnings(checked.value);
    return { kind: "IN_FORCE", mark: version, ...(warnings.length === 0 ? {} : { warnings }) };
  }
}
