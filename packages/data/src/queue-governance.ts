/**
 * Applies the configuration that the owner of a queue knows to a command before it is proposed to the queue's log
 * (docs/design.md §7, §8.4).
 */
import { assignmentLifetimeMs, type QueueCommand } from "@chutewick/parts";
import { configuration, type Configuration } from "@chutewick/control";
import type { QueueRefusals } from "./queue-refusals.js";

/** The state of a queue that a command is checked against. */
export interface QueueContext {
  readonly queue: string;
  readonly configuration: Configuration;
  /** Whether the queue was assigned a share of the quota for waiting work. */
  readonly hasShare: boolean;
  readonly refusals: QueueRefusals;
}

/** The command to be appended to the log, or the reason for its refusal. */
export type CheckedCommand =
  | { readonly kind: "entered"; readonly command: QueueCommand }
  | { readonly kind: "refused"; readonly reason: string };

type AdmitCommand = Extract<QueueCommand, { kind: "admit" }>;
type SubmitCommand = Extract<QueueCommand, { kind: "hand-in" }>;

/**
 * Whether a command depends on the configuration or a season, so that the owner needs a lease for it. Results and cancellations
 * never wait for a lease.
 */
export function requiresLease({ kind }: QueueCommand): boolean {
  return kind === "admit" || kind === "pop" || kind === "hand-in" || kind === "draw";
}

/** Applies the configuration of the owner to a command. */
export function applyConfiguration(
  command: QueueCommand,
  queue: QueueContext,
  now: number,
): CheckedCommand {
  if (command.kind === "admit") return applyToAdmission(command, queue);
  if (command.kind === "hand-in") return applyToSubmission(command, queue, now);
  return { kind: "entered", command };
}

/** A lot has labels of its own and of its route; the labels of its model and adapter come from the configuration. */
function applyToAdmission(command: AdmitCommand, context: QueueContext): CheckedCommand {
  const queuePlans = configuration.queues(context.configuration);
  const queuePlan = queuePlans.find(({ queue }) => queue === context.queue);
  if (queuePlan === undefined) return refused("the configuration has no such queue");
  if (!context.hasShare) return refused("the queue has no share of waiting work yet");
  const labels = { ...command.labels, ...queuePlan.labels };
  return { kind: "entered", command: { ...command, allowance: queuePlan.waiting, labels } };
}

/**
 * The limits in the configuration of the owner take precedence over those of the command. Each queue that lots of the passage
 * may be assigned to gets an equal part of the allowance.
 */
function applyToSubmission(
  command: SubmitCommand,
  queue: QueueContext,
  now: number,
): CheckedCommand {
  const { passages } = queue.configuration;
  if (command.knownFor === undefined) return refused("the lot directory was not asked for the lot");
  const passage = Object.hasOwn(passages, command.way) ? passages[command.way] : undefined;
  if (passage === undefined || passage.kind !== "lot")
    return refused("the configuration has no such passage for lots");
  const queueCount = Math.max(1, configuration.queuesOf(queue.configuration, passage).length);
  const allowance =
    passage.waitingTokens === 0 ? 0 : Math.max(1, passage.waitingTokens / queueCount);
  const keeps = configuration.keepsMs(passage);
  if (command.knownFor < assignmentLifetimeMs(keeps))
    return refused("the lot directory would forget the lot before its queue does");
  const refusedAt = queue.refusals.firstRefusedAt(command.lot);
  const late = refusedAt !== undefined && now - refusedAt > passage.aim;
  return {
    kind: "entered",
    command: {
      ...command,
      ...(late ? { late } : {}),
      allowance,
      goesMost: passage.goesMost,
      keeps,
      within: passage.within,
    },
  };
}

function refused(reason: string): CheckedCommand {
  return { kind: "refused", reason };
}
