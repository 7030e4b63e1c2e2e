import type { Feed, RunnerDescriptor, Sessions } from "@chutewick/parts";
import type { RunnersMessage } from "./control-messages.js";
import { keys } from "./keys.js";
import type { Deregistration } from "./machine.js";

/** Whether this incarnation of a runner or a later one was deregistered. */
export function isDeregistered(
  { id, incarnation }: Pick<RunnerDescriptor, "id" | "incarnation">,
  feed: Feed,
): boolean {
  const deregistration = feed.read<Deregistration>(keys.deregistrationKey(id));
  return (deregistration?.incarnation ?? 0) >= incarnation;
}

/**
 * Stores a runner's own report in the registry, and returns the message to broadcast if the report is urgent (docs/design.md §13.8).
 * Reports of a changed state are urgent; while no majority is reachable, so is each newer report, since nodes may use the registry
 * of a machine that doesn't receive it otherwise. All other reports are distributed with the registry.
 */
export function recordReport(
  report: RunnerDescriptor,
  sessions: Sessions,
  hasQuorum: boolean,
  now: number,
): RunnersMessage | undefined {
  const { newer, mustForward: news } = sessions.recordAnnouncement(report, now);
  const isUrgent = news || (newer && !hasQuorum);
  return isUrgent ? { kind: "runners", runners: [report] } : undefined;
}
