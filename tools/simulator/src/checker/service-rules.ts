import { ABOUT, KEPT_WITHIN } from "./bounds.js";
import type { DeregistrationRecord, Report, Sight } from "./records.js";
import type { RunRecord } from "../runners.js";

/** Rules for the fleet as a whole: changes and deregistrations are kept to, bounds hold, and service comes back. */

/** ms for which work sent before a deregistration may still be on its way. */
const ON_ITS_WAY = 10;
/** ms. Within which each kind of service is back after the last fault. */
const BACK_WITHIN = 12_000;

/** Whether new work keeps to a change about 2 s after it was acknowledged; orders themselves are judged as histories. */
export function checkPromptness(sight: Sight, report: Report): void {
  for (const begin of sight.begins)
    for (const change of sight.changes) {
      if (change.told !== "confirmed" || begin.mark >= change.mark!) continue;
      const late = begin.at - change.endedAt!;
      if (late > KEPT_WITHIN * ABOUT)
        report(
          "change-ignored",
          `${begin.node} began work on mark ${begin.mark} ${Math.round(late)} ms after ${change.mark} was confirmed`,
        );
    }
}

/** Whether runners that deregistered are given no new work. */
export function checkDeregistrations({ deregistrations, runs }: Sight, report: Report): void {
  for (const deregistration of deregistrations)
    for (const run of runs)
      if (run.runner === deregistration.runner && run.incarnation === deregistration.incarnation)
        checkRunAfter(deregistration, run, report);
}

function checkRunAfter(
  { heardAt, confirmedAt }: DeregistrationRecord,
  { runner, at }: RunRecord,
  report: Report,
): void {
  if (heardAt === undefined) return;
  if (at > heardAt + KEPT_WITHIN * ABOUT)
    return report(
      "goodbye",
      `${runner} got work ${Math.round(at - heardAt)} ms after its goodbye was heard`,
    );
  const isLate = at > heardAt + KEPT_WITHIN;
  if (confirmedAt !== undefined && at > confirmedAt + ON_ITS_WAY && isLate)
    report(
      "goodbye",
      `${runner} got work ${Math.round(at - confirmedAt)} ms after its goodbye was confirmed`,
    );
}

/** Whether no more waited than may. */
export function checkWaiting(sight: Sight, report: Report): void {
  for (const { at, waiting, allowance } of sight.waiting)
    if (waiting > allowance * ABOUT)
      report("allowance", `${waiting} items wait at ${Math.round(at)}, and ${allowance} may`);
}

/** Whether all is copied again at the end. */
export function checkRepair({ repaired, emptiedHolds }: Sight, report: Report): void {
  if (!repaired) report("repair", "three whole copies of everything do not stand at the end");
  if (emptiedHolds) report("repair", "a machine to be emptied still holds a queue at the end");
}

/** Whether each kind of service came back in time after the last fault. */
export function checkService({ serviceAt, healedAt }: Sight, report: Report): void {
  const { live, lot, change, finished } = serviceAt;
  for (const [what, at] of Object.entries({ live, lot, change, finished })) {
    if (at === undefined) report("service", `${what}: not back after the last fault`);
    else if (what !== "finished" && at - healedAt > BACK_WITHIN)
      report("service", `${what}: back only ${Math.round(at - healedAt)} ms after the last fault`);
  }
}
