import type { ChainView, Ledger, Member, NodeDescriptor } from "@chutewick/parts";
import { keys } from "./keys.js";

/** Drain of storage machines before their removal ("emptying" in messages and records; docs/design.md §8.7). */

/** Record of a machine that is being drained, stored under the identity of its disk. */
export interface DrainRecord {
  /** Ledger time in ms at which the drain started. */
  readonly since: number;
  /** Name of the machine in the deployment. */
  readonly name?: string;
}

/**
 * Storage machines with a live session, as observed by the head of the control group. The head adds them to a command, so that every
 * replica decides from the same observation and from its replicated records.
 */
export interface ObservedStorage {
  readonly machines: readonly ObservedMachine[];
  /** Number of other machines that must remain to take over the queues of a drained machine. */
  readonly othersLeast: number;
  /** Number of replicas below which a queue cannot commit. */
  readonly copiesLeast: number;
  /** Number of replicas to which queues are repaired. */
  readonly copiesWanted: number;
}

/** A storage machine with a live session. */
export interface ObservedMachine {
  readonly identity: string;
  readonly name?: string;
  /** Whether a planned stop has begun. */
  readonly leaving: boolean;
}

/** Order to drain a machine, or to cancel its drain. */
export interface DrainCommand {
  readonly kind: "empty";
  /** Identity of its disk, or its name in the deployment, which survives the loss of the disk (docs/design.md §13.8). */
  readonly identity: string;
  /** True to drain the machine, false to cancel the drain. */
  readonly wanted: boolean;
  readonly name?: string;
  /** Observed machines, set by the head; missing in log entries of earlier releases, which were checked before submission. */
  readonly sight?: ObservedStorage;
}

/** Query for the progress of a drain. */
export interface DrainQuery {
  readonly kind: "emptying";
  readonly machine: string;
  /** Observed machines, set by the head. */
  readonly sight?: ObservedStorage;
}

/** Progress of a drain; undefined if the machine is not being drained. */
export type DrainState = "emptying" | "emptied" | undefined;

/** Why an order to drain a machine, or to cancel its drain, was refused. */
export interface DrainRefusal {
  readonly kind: "REFUSED" | "UNKNOWN_MACHINE" | "TOO_FEW";
  readonly reason: string;
}

/** Reads records by key: a replica's ledger, or the feed that follows it. */
export type Records = Pick<Ledger, "read" | "under">;

/** Observation of the storage machines with a live session, to be added to a command. */
function observe(
  live: readonly NodeDescriptor[],
  policy: Pick<ObservedStorage, "othersLeast" | "copiesLeast" | "copiesWanted">,
): ObservedStorage {
  const machines: ObservedMachine[] = [];
  for (const { identity, name, leaving } of live)
    machines.push({ identity, leaving, ...(name === undefined ? {} : { name }) });
  const { othersLeast, copiesLeast, copiesWanted } = policy;
  return { machines, othersLeast, copiesLeast, copiesWanted };
}

/** Machines being drained, by identity; a machine whose disk was replaced is also listed under its new identity. */
function drainingMachines(
  records: Records,
  machines: readonly Pick<ObservedMachine, "identity" | "name">[],
): Map<string, DrainRecord> {
  const result = new Map<string, DrainRecord>();
  const byName = new Map<string, DrainRecord>();
  for (const [key, record] of records.under<DrainRecord>(keys.emptying)) {
    result.set(key.slice(keys.emptying.length), record);
    if (record.name !== undefined) byName.set(record.name, record);
  }
  for (const { identity, name } of machines) {
    const record = name === undefined ? undefined : byName.get(name);
    if (record !== undefined) result.set(identity, record);
  }
  return result;
}

/** Completes a command for submission: adds the observed machines, and replaces a machine's name by the identity of its disk. */
function withTarget(
  records: Records,
  command: DrainCommand,
  observed: ObservedStorage,
): DrainCommand {
  for (const [identity, { name }] of drainingMachines(records, observed.machines))
    if (name === command.identity) return { ...command, identity, name, sight: observed };
  for (const { identity, name } of observed.machines)
    if (name === command.identity) return { ...command, identity, name, sight: observed };
  return { ...command, sight: observed };
}

/**
 * Applies an order to drain a machine or to cancel its drain. An order to drain a machine that is already being drained is
 * acknowledged without effect, since it may be a retry after a lost answer.
 */
function apply(ledger: Ledger, command: DrainCommand, time: number): DrainRefusal | undefined {
  const { sight: observed, identity, wanted, name } = command;
  if (observed !== undefined) {
    const isDraining = drainingMachines(ledger, observed.machines).has(identity);
    if (wanted && isDraining) return undefined;
    const refusal = wanted
      ? refuseDrain(ledger, command, observed)
      : refuseCancellation(command, isDraining);
    if (refusal !== undefined) return refusal;
  }
  if (wanted)
    ledger.put(keys.emptying + identity, {
      since: time,
      ...(name === undefined ? {} : { name }),
    } satisfies DrainRecord);
  else ledger.remove(keys.emptying + identity);
  return undefined;
}

function refuseCancellation(
  { identity, name = identity }: DrainCommand,
  isDraining: boolean,
): DrainRefusal | undefined {
  return isDraining ? undefined : { kind: "REFUSED", reason: `${name}: is not being emptied` };
}

function refuseDrain(
  records: Records,
  { identity, name = identity }: DrainCommand,
  observed: ObservedStorage,
): DrainRefusal | undefined {
  if (!isKnown(records, identity, observed))
    return { kind: "UNKNOWN_MACHINE", reason: `${name}: there is no such storage machine` };
  const others = availableMachines(records, observed);
  others.delete(identity);
  const { othersLeast } = observed;
  if (others.size < othersLeast)
    return {
      kind: "TOO_FEW",
      reason: `${name}: only ${others.size} other machines could take its queues, and ${othersLeast} copies are promised; add one first`,
    };
  return undefined;
}

function isKnown(records: Records, identity: string, observed: ObservedStorage): boolean {
  for (const machine of observed.machines) if (machine.identity === identity) return true;
  for (const [, view] of records.under<ChainView>(keys.queue))
    if (view.members.some(hasIdentity, { identity })) return true;
  return false;
}

/** Identities of the machines that may take over queues. */
function availableMachines(records: Records, { machines }: ObservedStorage): Set<string> {
  const drained = drainingMachines(records, machines);
  const result = new Set<string>();
  for (const { identity, leaving } of machines)
    if (!leaving && !drained.has(identity)) result.add(identity);
  return result;
}

/** Progress of a machine's drain; the machine is given by its name or by the identity of its disk. */
function state(records: Records, machine: string, observed: ObservedStorage): DrainState {
  const identities = new Set<string>();
  for (const [identity, { name }] of drainingMachines(records, observed.machines))
    if (identity === machine || name === machine) identities.add(identity);
  if (identities.size === 0) return undefined;
  const others = availableMachines(records, observed);
  const wanted = Math.max(observed.copiesLeast, Math.min(observed.copiesWanted, others.size));
  for (const [, view] of records.under<ChainView>(keys.queue))
    if (isStoredAt(view, identities) || copiesAt(view, others) < wanted) return "emptying";
  return "emptied";
}

function isStoredAt({ members, joiner }: ChainView, identities: ReadonlySet<string>): boolean {
  for (const { identity } of members) if (identities.has(identity)) return true;
  return joiner !== undefined && identities.has(joiner.identity);
}

function copiesAt({ members }: ChainView, machines: ReadonlySet<string>): number {
  let copies = 0;
  for (const { identity } of members) if (machines.has(identity)) copies += 1;
  return copies;
}

function hasIdentity(this: { identity: string }, member: Member): boolean {
  return member.identity === this.identity;
}

export const drain = { machines: drainingMachines, withTarget, observe, state, apply };
