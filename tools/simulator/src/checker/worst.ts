import type { LotRecord, Sight } from "./records.js";

/** ms. The latest moments at which a rule's time limit was still used; a negative one means that nothing came after. */
export interface Worst {
  /** New work at a runner after its deregistration was confirmed, and after it was heard. */
  goodbyeConfirmed: number;
  goodbyeHeard: number;
  /** Work begun on an older mark after a change was confirmed. */
  change: number;
  /** A new item of a lot after its cancelling was told as done, and after it was asked for. */
  cancel: number;
  cancelAsked: number;
}

export function worst(sight: Sight): Worst {
  const found: Worst = {
    goodbyeConfirmed: -1,
    goodbyeHeard: -1,
    change: -1,
    cancel: -1,
    cancelAsked: -1,
  };
  for (const deregistration of sight.deregistrations) {
    for (const run of sight.runs) {
      if (
        run.runner !== deregistration.runner ||
        run.incarnation !== deregistration.incarnation ||
        deregistration.heardAt === undefined
      )
        continue;
      if (deregistration.confirmedAt !== undefined)
        found.goodbyeConfirmed = Math.max(
          found.goodbyeConfirmed,
          run.at - deregistration.confirmedAt,
        );
      found.goodbyeHeard = Math.max(found.goodbyeHeard, run.at - deregistration.heardAt);
    }
  }
  for (const change of sight.changes) {
    if (change.told !== "confirmed") continue;
    for (const begin of sight.begins)
      if (begin.mark < change.mark!)
        found.change = Math.max(found.change, begin.at - change.endedAt!);
  }
  measureCancels(sight, found);
  return found;
}

/** How late new items of cancelled lots began. */
function measureCancels(sight: Sight, found: Worst): void {
  const cancelled = new Map<string, LotRecord>();
  for (const lot of sight.lots) if (lot.cancelledAt !== undefined) cancelled.set(lot.key, lot);
  for (const run of sight.runs) {
    const lot =
      typeof run.prompt === "string"
        ? undefined
        : cancelled.get((run.prompt as { key: string } | null)?.key ?? "");
    if (lot === undefined) continue;
    found.cancel = Math.max(found.cancel, run.at - lot.cancelledAt!);
    found.cancelAsked = Math.max(found.cancelAsked, run.at - lot.cancelAskedAt!);
  }
}
