/** What the configuration that an owner knows says of a command, before it enters the queue (docs/design.md §7, §8.4). */
import { constants, type QueueCommand } from "@chutewick/parts";
import { configuration, type Configuration } from "@chutewick/control";
import type { QueueRefusals } from "./queue-refusals.js";

/** What a command is judged by. */
export interface GovernedQueue {
  readonly queue: string;
  readonly configuration: Configuration;
  /** Whether the queue was assigned a share of waiting work. */
  readonly hasShare: boolean;
  readonly refusals: QueueRefusals;
}

/** The command as it is to be entered, or why it is not taken. */
export type GovernedCommand =
  | { readonly kind: "entered"; readonly command: QueueCommand }
  | { readonly kind: "refused"; readonly reason: string };

type Admit = Extract<QueueCommand, { kind: "admit" }>;
type HandIn = Extract<QueueCommand, { kind: "hand-in" }>;

/** Whether a configuration or a season governs a command, so that it needs a lease; records and cancels never wait for one (§7). */
export function isGoverned({ kind }: QueueCommand): boolean {
  return kind === "admit" || kind === "pop" || kind === "hand-in" || kind === "draw";
}

/** Applies the owner's configuration to a command. */
export function governed(
  command: QueueCommand,
  queue: GovernedQueue,
  now: number,
): GovernedCommand {
  if (command.kind === "admit") return admitted(command, queue);
  if (command.kind === "hand-in") return handedIn(command, queue, now);
  return { kind: "entered", command };
}

/** A lot brings labels of its own and of its route; those of model and adapter are the configuration's. */
function admitted(command: Admit, governedQueue: GovernedQueue): GovernedCommand {
  const plans = configuration.queues(governedQueue.configuration);
  const plan = plans.find(({ queue }) => queue === governedQueue.queue);
  if (plan === undefined) return refused("the configuration has no such queue");
  if (!governedQueue.hasShare) return refused("the queue has no share of waiting work yet");
  const labels = { ...command.labels, ...plan.labels };
  return { kind: "entered", command: { ...command, allowance: plan.waiting, labels } };
}

/** What the owner's configuration says binds, with an equal part of the allowance for each queue that lots of it may fall into. */
function handedIn(command: HandIn, queue: GovernedQueue, now: number): GovernedCommand {
  const { passages } = queue.configuration;
  const passage = Object.hasOwn(passages, command.way) ? passages[command.way] : undefined;
  if (passage === undefined || passage.kind !== "lot")
    return refused("the configuration has no such passage for lots");
  const queueCount = Math.max(1, configuration.queuesOf(queue.configuration, passage).length);
  const allowance =
    passage.waitingTokens === 0 ? 0 : Math.max(1, passage.waitingTokens / queueCount);
  const refusedAt = queue.refusals.firstRefusedAt(command.lot);
  const late = refusedAt !== undefined && now - refusedAt > passage.aim;
  return {
    kind: "entered",
    command: {
      ...command,
      ...(late ? { late } : {}),
      allowance,
      goesMost: passage.goesMost,
      keeps: passage.keeps === undefined ? constants.lotDeadline : passage.keeps * 1_000,
      within: passage.within,
    },
  };
}

function refused(reason: string): GovernedCommand {
  return { kind: "refused", reason };
}
