/** Messages between access nodes and the owners of queues (docs/design.md §3, §13.7). */
import type { ControlMessage } from "@chutewick/control";
import type { Claim, QueueCommand, QueueResult } from "@chutewick/parts";

/** A request to a queue's owner, its result, and what is said beside them. */
export type QueueMessage =
  /** hold in ms: a read of results where there is none yet, or a draw where nothing waits, is kept at the owner so long (§13.7). */
  | {
      readonly kind: "queue-inquiry";
      readonly ticket: string;
      readonly queue: string;
      readonly command: QueueCommand;
      readonly hold?: number;
    }
  /** held in ms: how long the owner kept the request before it began to work on it. */
  | {
      readonly kind: "queue-result";
      readonly ticket: string;
      readonly outcome: QueueOutcome;
      readonly held?: number;
    }
  /** Task heartbeat: claims that are still worked on. */
  | {
      readonly kind: "life";
      readonly queue: string;
      readonly items: readonly Claim[];
      readonly tasks?: readonly Claim[];
    }
  /** What is under way of this lot is dropped. */
  | { readonly kind: "lot-ended"; readonly lot: string };

/** How a request to a queue's owner ended. */
export type QueueOutcome =
  | { readonly kind: "confirmed"; readonly value: QueueResult }
  /** Surely not taken here. */
  | { readonly kind: "elsewhere"; readonly reason: string }
  | { readonly kind: "unknown" };

/** Every message that a node of the data plane may receive. */
export type DataMessage = ControlMessage | QueueMessage;
