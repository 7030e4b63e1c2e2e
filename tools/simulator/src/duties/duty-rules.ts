import type { SeenCall } from "./duty-platform.js";

/** What breaks the rule that one machine at a time acts, of the calls that a platform saw. */
export function brokenDutyRules(seen: readonly SeenCall[], lease: number): string[] {
  return [...differingReports(seen), ...sharedFences(seen), ...toAndFro(seen, lease)];
}

/** Two accepted reports for one window with other counts. */
function differingReports(seen: readonly SeenCall[]): string[] {
  const broken: string[] = [];
  const bodies = new Map<string, SeenCall>();
  for (const call of seen) {
    if (!call.isAccepted || !call.subject.startsWith("duty/usage")) continue;
    const name = `${call.subject}/${call.number}`;
    const first = bodies.get(name) ?? call;
    bodies.set(name, first);
    if (first.body !== call.body)
      broken.push(`other counts: ${describe(first)}, then ${describe(call)}`);
  }
  return broken;
}

/** The same fence by two holders. */
function sharedFences(seen: readonly SeenCall[]): string[] {
  const broken: string[] = [];
  const holders = new Map<string, SeenCall>();
  for (const call of seen) {
    const name = `${call.subject}/${call.fence}`;
    const first = holders.get(name) ?? call;
    holders.set(name, first);
    if (first.holder !== call.holder)
      broken.push(`one fence, two holders: ${describe(first)}, then ${describe(call)}`);
  }
  return broken;
}

/** Holders A, B, A within a lease, of the calls that were accepted. */
function toAndFro(seen: readonly SeenCall[], lease: number): string[] {
  const broken: string[] = [];
  const accepted = seen.filter(({ isAccepted }) => isAccepted);
  for (const [index, last] of accepted.entries()) {
    const before = accepted.slice(0, index).filter(({ subject }) => subject === last.subject);
    const between = before.findLastIndex(({ holder }) => holder !== last.holder);
    const earlier = before.slice(0, Math.max(0, between));
    const first = earlier.findLast(({ holder }) => holder === last.holder);
    if (first === undefined || last.at - first.at >= lease) continue;
    const calls = [first, before[between]!, last].map(describe);
    broken.push(`to and fro within the lease: ${calls.join("; ")}`);
  }
  return broken;
}

function describe({ at, holder, fence, subject, number, body }: SeenCall): string {
  return `${holder} with fence ${fence} at ${Math.round(at)} ms (${subject} ${number}: ${body})`;
}
