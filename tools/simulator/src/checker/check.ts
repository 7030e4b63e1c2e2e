import type { RunRecord } from "../runners.js";
import { judgeHistories } from "./histories.js";
import { checkLots } from "./lot-rules.js";
import type { Report, Sight, Violation } from "./records.js";
import { checkRequests } from "./request-rules.js";
import {
  checkDeregistrations,
  checkPromptness,
  checkRepair,
  checkService,
  checkWaiting,
} from "./service-rules.js";

/** Compares what clients, runners and operators saw with every line of what must never happen (docs/testing.md §3). */
export function check(sight: Sight): Violation[] {
  const found: Violation[] = [];
  const report: Report = (rule, facts) => {
    found.push({ rule, facts });
  };
  const runs = sortRuns(sight.runs, report);
  checkRequests(sight, (prompt) => runs.get(prompt) ?? [], report);
  checkLots(sight, ({ key }, item) => runs.get(itemName(key, item)) ?? [], report);
  checkPromptness(sight, report);
  found.push(...judgeHistories(sight));
  checkDeregistrations(sight, report);
  checkWaiting(sight, report);
  checkRepair(sight, report);
  checkService(sight, report);
  return found;
}

/** Runs by the prompt of their request, or by their item's name. */
function sortRuns(all: readonly RunRecord[], report: Report): Map<string, RunRecord[]> {
  const sorted = new Map<string, RunRecord[]>();
  for (const run of all) {
    const { prompt, inquiry } = run;
    if (prompt === null) {
      report("result-changed", `${inquiry} ran again after it had ended`);
      continue;
    }
    const name = typeof prompt === "string" ? prompt : itemNameOf(prompt);
    const held = sorted.get(name);
    if (held === undefined) sorted.set(name, [run]);
    else held.push(run);
  }
  return sorted;
}

function itemNameOf(prompt: unknown): string {
  const { key, slip } = prompt as { key: string; slip: number };
  return itemName(key, slip);
}

/** Differs from the prompts of all requests. */
function itemName(lot: string, item: number): string {
  return `${lot}/${item}`;
}
