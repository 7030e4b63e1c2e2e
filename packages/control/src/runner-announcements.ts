import type { Feed, RunnerCard, Sessions } from "@chutewick/parts";
import type { RunnersMessage } from "./control-messages.js";
import { keys } from "./keys.js";
import type { Deregistration } from "./machine.js";

/** Whether this life of a runner, or a later one, was deregistered. */
export function isDeregistered(
  { id, incarnation }: Pick<RunnerCard, "id" | "incarnation">,
  feed: Feed,
): boolean {
  const deregistration = feed.read<Deregistration>(keys.goodbyeKey(id));
  return (deregistration?.incarnation ?? 0) >= incarnation;
}

/**
 * Takes a runner's own report into the registry, and gives what is to be told to others at once (docs/design.md §13.8): news,
 * and without contact to a majority each newer report, since nodes may be reading the registry of a machine that never hears
 * of it. The rest goes with the registry.
 */
export function takeReport(
  report: RunnerCard,
  sessions: Sessions,
  inContact: boolean,
  now: number,
): RunnersMessage | undefined {
  const { newer, news } = sessions.announced(report, now);
  const isUrgent = news || (newer && !inContact);
  return isUrgent ? { kind: "runners", runners: [report] } : undefined;
}
