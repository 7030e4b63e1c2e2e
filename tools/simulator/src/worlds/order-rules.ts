import type { BeginRecord, ChangeRecord, ReadRecord } from "../checker.js";

/**
 * Rules for orders with one outcome each: one winner for a base and a version, nothing refused takes
 * effect, nothing confirmed is gone. The search of tools/history stays undecided on the worlds' histories.
 */
export interface OrderSight {
  readonly changes: readonly ChangeRecord[];
  readonly reads: readonly ReadRecord[];
  readonly begins: readonly BeginRecord[];
}

type Breach = (rule: string, facts: string) => void;

/** ms. New work keeps to a change about two seconds after it was confirmed. */
const CHANGE_BOUND = 2_200;

export function checkOrders(sight: OrderSight, breach: Breach): void {
  const confirmed = sight.changes.filter(({ told }) => told === "confirmed");
  checkWinners(confirmed, breach);
  checkWithoutEffect(sight, breach);
  checkNodes(sight.begins, confirmed, breach);
  checkReads(sight.reads, confirmed, breach);
}

function checkWinners(confirmed: readonly ChangeRecord[], breach: Breach): void {
  const versions = new Map<number, string>();
  const bases = new Map<number, string>();
  for (const { id, mark, expected } of confirmed) {
    const same = versions.get(mark!);
    if (same !== undefined) breach("two-winners", `${same} and ${id} both hold mark ${mark}`);
    const built = bases.get(expected);
    if (built !== undefined) breach("two-winners", `${built} and ${id} both built on ${expected}`);
    versions.set(mark!, id);
    bases.set(expected, id);
  }
}

function checkWithoutEffect({ changes, reads, begins }: OrderSight, breach: Breach): void {
  const never = new Set<string>();
  for (const { id, told } of changes)
    if (told === "conflict" || told === "refused" || told === "not-run") never.add(id);
  for (const { id } of reads)
    if (id !== undefined && never.has(id))
      breach("refused-takes-effect", `an operator reads ${id}`);
  for (const { id, node } of begins)
    if (id !== undefined && never.has(id)) breach("refused-takes-effect", `${node} works on ${id}`);
}

function checkNodes(
  begins: readonly BeginRecord[],
  confirmed: readonly ChangeRecord[],
  breach: Breach,
): void {
  const reached = new Map<string, number>();
  for (const { node, at, mark } of begins) {
    const before = reached.get(node) ?? 0;
    if (mark < before) breach("slips-back", `${node} went from mark ${before} to ${mark}`);
    reached.set(node, mark);
    for (const change of confirmed)
      if (mark < change.mark! && at > change.endedAt! + CHANGE_BOUND)
        breach("change-ignored", `${node} works on ${mark} after ${change.mark} was confirmed`);
  }
}

function checkReads(
  reads: readonly ReadRecord[],
  confirmed: readonly ChangeRecord[],
  breach: Breach,
): void {
  const owners = new Map(confirmed.map(({ id, mark }) => [mark!, id]));
  for (const { askedAt, mark, id } of reads) {
    const owner = owners.get(mark);
    if (owner !== undefined && owner !== id)
      breach("confirmed-gone", `mark ${mark} was confirmed as ${owner} and reads ${id}`);
    for (const change of confirmed)
      if (askedAt > change.endedAt! && mark < change.mark!)
        breach("confirmed-gone", `a read shows ${mark} after ${change.mark} was confirmed`);
  }
  const highest = Math.max(0, ...confirmed.map(({ mark }) => mark!));
  const last = reads.at(-1);
  if (last === undefined || last.mark < highest)
    breach("confirmed-gone", `the last read shows ${last?.mark}, ${highest} was confirmed`);
}
