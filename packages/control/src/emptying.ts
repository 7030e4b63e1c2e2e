import type { ChainView, Ledger, Member, NodeCard } from "@chutewick/parts";
import { keys } from "./keys.js";

/** Emptying of storage machines before they are taken away (docs/design.md §8.7). */

/** A machine that is being emptied, kept by the identity of its disk. */
export interface EmptyingRecord {
  /** ms of the ledger. */
  readonly since: number;
  readonly name?: string;
}

/**
 * What the head of the control group knows of storage machines by their sessions. It goes with a command, so that every
 * replica judges by the same, and what is answered is judged against the replicated records.
 */
export interface StorageSight {
  readonly machines: readonly SeenMachine[];
  /** machines. Others that must be left to take the queues of one that is emptied. */
  readonly othersLeast: number;
  /** copies. Fewer than `copiesLeast` confirm nothing; `copiesWanted` is what queues are mended to. */
  readonly copiesLeast: number;
  readonly copiesWanted: number;
}

/** A storage machine with a live session. */
export interface SeenMachine {
  readonly identity: string;
  readonly name?: string;
  /** About to stop as planned. */
  readonly leaving: boolean;
}

/** An order to empty a machine, or to keep it after all. */
export interface EmptyCommand {
  readonly kind: "empty";
  /** Identity of its disk, or its name in the deployment, which stays though its disk is lost (§13.8). */
  readonly identity: string;
  readonly wanted: boolean;
  readonly name?: string;
  /** Filled in by the head; absent in entries of earlier releases, which were judged before they were entered. */
  readonly sight?: StorageSight;
}

/** A read of how far the emptying of a machine is. */
export interface EmptyingQuery {
  readonly kind: "emptying";
  readonly machine: string;
  /** Filled in by the head. */
  readonly sight?: StorageSight;
}

/** How far the emptying of a machine is; undefined where none was asked for. */
export type EmptyingState = "emptying" | "emptied" | undefined;

/** Why a machine is not emptied, or kept. */
export interface EmptyingRefusal {
  readonly kind: "REFUSED" | "UNKNOWN_MACHINE" | "TOO_FEW";
  readonly reason: string;
}

/** Reads records by key: a replica's ledger, or the feed that follows it. */
export type Records = Pick<Ledger, "read" | "under">;

/** What the head knows of the storage machines with a live session. */
function sightOf(
  live: readonly NodeCard[],
  policy: Pick<StorageSight, "othersLeast" | "copiesLeast" | "copiesWanted">,
): StorageSight {
  const machines: SeenMachine[] = [];
  for (const { identity, name, leaving } of live)
    machines.push({ identity, leaving, ...(name === undefined ? {} : { name }) });
  const { othersLeast, copiesLeast, copiesWanted } = policy;
  return { machines, othersLeast, copiesLeast, copiesWanted };
}

/** Machines being emptied, also under the identity that they got with a new disk. */
function emptyingMachines(
  records: Records,
  machines: readonly Pick<SeenMachine, "identity" | "name">[],
): Map<string, EmptyingRecord> {
  const found = new Map<string, EmptyingRecord>();
  const byName = new Map<string, EmptyingRecord>();
  for (const [key, record] of records.under<EmptyingRecord>(keys.emptying)) {
    found.set(key.slice(keys.emptying.length), record);
    if (record.name !== undefined) byName.set(record.name, record);
  }
  for (const { identity, name } of machines) {
    const record = name === undefined ? undefined : byName.get(name);
    if (record !== undefined) found.set(identity, record);
  }
  return found;
}

/** The command as it is entered: with what the head knows, and a machine called by its name by the identity of its disk. */
function resolved(records: Records, command: EmptyCommand, sight: StorageSight): EmptyCommand {
  for (const [identity, { name }] of emptyingMachines(records, sight.machines))
    if (name === command.identity) return { ...command, identity, name, sight };
  for (const { identity, name } of sight.machines)
    if (name === command.identity) return { ...command, identity, name, sight };
  return { ...command, sight };
}

/**
 * Takes an order to empty or keep a machine. One that stands already is acknowledged again and changes nothing, since it may
 * be the same order, sent again after a lost answer.
 */
function take(ledger: Ledger, command: EmptyCommand, time: number): EmptyingRefusal | undefined {
  const { sight, identity, wanted, name } = command;
  if (sight !== undefined) {
    const isEmptying = emptyingMachines(ledger, sight.machines).has(identity);
    if (wanted && isEmptying) return undefined;
    const refusal = wanted
      ? refuseEmptying(ledger, command, sight)
      : refuseKeeping(command, isEmptying);
    if (refusal !== undefined) return refusal;
  }
  if (wanted)
    ledger.put(keys.emptying + identity, {
      since: time,
      ...(name === undefined ? {} : { name }),
    } satisfies EmptyingRecord);
  else ledger.remove(keys.emptying + identity);
  return undefined;
}

function refuseKeeping(
  { identity, name = identity }: EmptyCommand,
  isEmptying: boolean,
): EmptyingRefusal | undefined {
  return isEmptying ? undefined : { kind: "REFUSED", reason: `${name}: is not being emptied` };
}

function refuseEmptying(
  records: Records,
  { identity, name = identity }: EmptyCommand,
  sight: StorageSight,
): EmptyingRefusal | undefined {
  if (!isKnown(records, identity, sight))
    return { kind: "UNKNOWN_MACHINE", reason: `${name}: there is no such storage machine` };
  const others = takers(records, sight);
  others.delete(identity);
  const { othersLeast } = sight;
  if (others.size < othersLeast)
    return {
      kind: "TOO_FEW",
      reason: `${name}: only ${others.size} other machines could take its queues, and ${othersLeast} copies are promised; add one first`,
    };
  return undefined;
}

function isKnown(records: Records, identity: string, sight: StorageSight): boolean {
  for (const machine of sight.machines) if (machine.identity === identity) return true;
  for (const [, view] of records.under<ChainView>(keys.queue))
    if (view.members.some(hasIdentity, { identity })) return true;
  return false;
}

/** Machines that may be given queues. */
function takers(records: Records, { machines }: StorageSight): Set<string> {
  const emptying = emptyingMachines(records, machines);
  const found = new Set<string>();
  for (const { identity, leaving } of machines)
    if (!leaving && !emptying.has(identity)) found.add(identity);
  return found;
}

/** How far the emptying of a machine is, by its name or by the identity of its disk. */
function state(records: Records, machine: string, sight: StorageSight): EmptyingState {
  const mine = new Set<string>();
  for (const [identity, { name }] of emptyingMachines(records, sight.machines))
    if (identity === machine || name === machine) mine.add(identity);
  if (mine.size === 0) return undefined;
  const others = takers(records, sight);
  const wanted = Math.max(sight.copiesLeast, Math.min(sight.copiesWanted, others.size));
  for (const [, view] of records.under<ChainView>(keys.queue))
    if (isLeft(view, mine) || copiesAt(view, others) < wanted) return "emptying";
  return "emptied";
}

function isLeft({ members, joiner }: ChainView, mine: ReadonlySet<string>): boolean {
  for (const { identity } of members) if (mine.has(identity)) return true;
  return joiner !== undefined && mine.has(joiner.identity);
}

function copiesAt({ members }: ChainView, machines: ReadonlySet<string>): number {
  let copies = 0;
  for (const { identity } of members) if (machines.has(identity)) copies += 1;
  return copies;
}

function hasIdentity(this: { identity: string }, member: Member): boolean {
  return member.identity === this.identity;
}

export const emptying = { machines: emptyingMachines, resolved, sightOf, state, take };
