/** Messages between access nodes and the owners of queues (docs/design.md §3, §13.7). */
import type { ControlMessage } from "@chutewick/control";
import type { Claim, QueueCommand, QueueResult } from "@chutewick/parts";

/** Requests to the owner of a queue, their results, and messages without a reply. */
export type QueueMessage =
  /** hold: long-poll timeout in ms, for a read of results or a dequeue that finds nothing. */
  | {
      readonly kind: "queue-inquiry";
      readonly ticket: string;
      readonly queue: string;
      readonly command: QueueCommand;
      readonly hold?: number;
    }
  /** held: time in ms that the owner held the request before it processed it. */
  | {
      readonly kind: "queue-result";
      readonly ticket: string;
      readonly outcome: QueueOutcome;
      readonly held?: number;
    }
  /** Heartbeat of claims that are still being worked on: items of routes, and tasks (items) of passages. */
  | {
      readonly kind: "life";
      readonly queue: string;
      readonly items: readonly Claim[];
      readonly tasks?: readonly Claim[];
    }
  /** The lot has ended; its attempts in progress are cancelled. */
  | { readonly kind: "lot-ended"; readonly lot: string };

/** The outcome of a request to the owner of a queue. */
export type QueueOutcome =
  /** Committed. */
  | { readonly kind: "confirmed"; readonly value: QueueResult }
  /** Certainly not accepted by this machine; another one may own the queue. */
  | { readonly kind: "elsewhere"; readonly reason: string }
  /** It may have been accepted or not. */
  | { readonly kind: "unknown" };

/** Every message that a node of the data plane may receive. */
export type DataMessage = ControlMessage | QueueMessage;
