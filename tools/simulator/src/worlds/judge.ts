import type { Violation } from "../checker.js";
import { isFinalRefusal, type History, type OrderRecord } from "./history.js";
import { checkOrders } from "./order-rules.js";

/** What must hold of the history of a simulated world. */
export function judge(history: History): Violation[] {
  return [
    ...judgeOrders(history),
    ...judgeRepeatedOrders(history),
    ...judgeNodes(history),
    ...history.violations,
  ];
}

/**
 * The one place where orders and reads are checked for consistency: another check with the same
 * records may take its place here.
 */
function judgeOrders(history: History): Violation[] {
  const found: Violation[] = [];
  const { reads, begins } = history;
  const sight = { changes: history.changes(), reads, begins };
  checkOrders(sight, (rule, facts) => found.push({ rule, facts }));
  return found;
}

/** An order that was taken is never refused, however often and wherever it is sent. */
function judgeRepeatedOrders(history: History): Violation[] {
  const found: Violation[] = [];
  for (const order of history.orders) {
    const { sendings } = order;
    const confirmed = sendings.some(({ answer }) => answer === "confirmed");
    if (confirmed && sendings.some((sending) => isFinalRefusal(order, sending)))
      found.push({ rule: "taken-then-refused", facts: describe(order) });
  }
  return found;
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

function describe({ id, base, number, sendings }: OrderRecord): string {
  const told = sendings.map(
    ({ machine, askedAt, answeredAt, answer }) =>
      `${machine} ${Math.round(askedAt)}-${Math.round(answeredAt ?? NaN)} ${answer ?? "silent"}`,
  );
  return `${id} (${base} to ${number}): ${told.join(", ")}`;
}
