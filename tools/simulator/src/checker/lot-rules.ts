import { constants } from "@chutewick/parts";
import type { RunRecord } from "../runners.js";
import { ABOUT } from "./bounds.js";
import type { LotRecord, LotView, Report, Sight } from "./records.js";

/** Rules for lots: what was taken is listed whole and ends, what was refused or cancelled does not run. */

/** ms after a lot's cancelling in which its items may still begin. */
const CANCEL_TAKES = 3_000;

/** The runs of one item of a lot. */
type RunsOf = (lot: LotRecord, item: number) => readonly RunRecord[];

type Item = LotView["items"][number];

/** Compares each lot with the runs of its items. */
export function checkLots(sight: Sight, runsOf: RunsOf, report: Report): void {
  for (const lot of sight.lots) {
    const isRefused = lot.tries.length > 0 && lot.tries.every((told) => told === "refused");
    for (let item = 0; item < lot.count; item += 1) {
      const runs = runsOf(lot, item);
      if (isRefused && runs.length > 0)
        report(
          "refused-lot-ran",
          `${lot.key} was refused at each of ${lot.tries.length} tries, and item ${item} ran`,
        );
      checkCancelled(lot, item, runs, report);
    }
    if (lot.acceptedAt === undefined) continue;
    for (const view of lot.views)
      checkView(lot, view, { runsOf, report, deadline: sight.deadline });
    checkEnded(lot, report);
  }
}

function checkCancelled(
  lot: LotRecord,
  item: number,
  runs: readonly RunRecord[],
  report: Report,
): void {
  const { key, cancelledAt } = lot;
  if (cancelledAt === undefined) return;
  for (const { at } of runs)
    if (at > cancelledAt + CANCEL_TAKES * ABOUT)
      report(
        "cancelled-lot-ran",
        `${key} item ${item} began ${Math.round(at - cancelledAt)} ms after its cancelling`,
      );
}

interface ViewRules {
  readonly runsOf: RunsOf;
  readonly report: Report;
  /** ms that a lot has. */
  readonly deadline: number;
}

function checkView(lot: LotRecord, view: LotView, rules: ViewRules): void {
  const { runsOf, report } = rules;
  const indexes = new Set<number>();
  for (const item of view.items) {
    if (indexes.has(item.index)) report("lot-items", `${lot.key} lists item ${item.index} twice`);
    indexes.add(item.index);
    const runs = runsOf(lot, item.index);
    if (item.state === "solved") checkSolved(lot, item, runs, report);
    const endsAt = lot.endsAt ?? lot.acceptedAt! + rules.deadline;
    if (item.state === "failed" && view.at < endsAt) checkFailed(lot, item, runs, report);
  }
  if (indexes.size !== lot.count)
    report("lot-items", `${lot.key} lists ${indexes.size} of ${lot.count} items`);
}

/** An item whose lot still has time is given up only after so many of its runners failed. */
function checkFailed(lot: LotRecord, item: Item, runs: readonly RunRecord[], report: Report): void {
  let troubles = 0;
  for (const run of runs) if (run.ending === "trouble") troubles += 1;
  if (troubles < constants.maxFailedAttempts)
    report(
      "given-up-early",
      `${lot.key} item ${item.index} failed after ${troubles} troubles: ${item.reason ?? ""}`,
    );
}

function checkSolved(
  { key }: LotRecord,
  { index, result }: Item,
  runs: readonly RunRecord[],
  report: Report,
): void {
  const pieces = result as {
    prompt: { key: string; slip: number } | null;
    run: number;
    text: number;
  }[];
  const from = new Set<number>();
  for (const [place, { run, prompt, text }] of pieces.entries()) {
    from.add(run);
    if (prompt?.key !== key || prompt.slip !== index)
      report("someone-elses", `${key} item ${index} has a piece of ${prompt?.key}/${prompt?.slip}`);
    if (text !== place)
      report("stream-pieces", `${key} item ${index}: text ${text} at place ${place}`);
  }
  const isWhole = runs.some(
    (run) => from.has(run.number) && run.ending === "done" && run.pieces.length === pieces.length,
  );
  if (from.size !== 1 || !isWhole)
    report(
      "partial-looks-whole",
      `${key} item ${index} has ${pieces.length} pieces of ${from.size} runs, none of them whole`,
    );
}

function checkEnded({ key, views }: LotRecord, report: Report): void {
  const state = views.at(-1)?.state;
  if (state === undefined) report("lot-items", `${key} was accepted and could never be looked up`);
  else if (state !== "done" && state !== "cancelled")
    report("lot-items", `${key} was accepted and never ended: ${state}`);
}
