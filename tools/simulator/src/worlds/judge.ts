import type { Violation } from "../checker.js";
import { judgeOrders } from "../checker/histories.js";
import type { History } from "./history.js";

/** What must hold of the history of a simulated world. */
export function judge(history: History): Violation[] {
  const { reads, begins } = history;
  const sight = { founding: [], changes: history.changes(), reads, begins };
  return [...judgeOrders(sight), ...judgeNodes(history), ...history.violations];
}

/** A node that holds a lease serves no configuration older than one confirmed before. */
function judgeNodes(history: History): Violation[] {
  const found: Violation[] = [];
  const confirmed = history.changes().filter(({ told }) => told === "confirmed");
  confirmed.sort((left, right) => left.endedAt! - right.endedAt!);
  const observed = [...history.begins].sort((left, right) => left.at - right.at);
  let next = 0;
  let newest = 0;
  for (const { node, at, mark } of observed) {
    while (next < confirmed.length && confirmed[next]!.endedAt! < at) {
      newest = Math.max(newest, confirmed[next]!.mark!);
      next += 1;
    }
    if (mark < newest)
      found.push({
        rule: "node-serves-old",
        facts: `${node} serves ${mark} at ${Math.round(at)} ms, ${newest} was confirmed before`,
      });
  }
  return found;
}
