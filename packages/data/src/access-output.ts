/** Commands of an access node's core to its shell, and events of connections to runners (docs/design.md §5, §6). */
import type { ErrorBody } from "./error-reply.js";
import type { PassageOutput } from "./pass.js";
import type { DataMessage } from "./queue-messages.js";

/** A command of the core to its shell. */
export type AccessOutput =
  | { readonly kind: "send"; readonly to: string; readonly message: DataMessage }
  | {
      readonly kind: "reply";
      readonly ticket: string;
      readonly status: number;
      readonly body: unknown;
    }
  | {
      readonly kind: "reply-bytes";
      readonly ticket: string;
      readonly status: number;
      readonly type: string;
      readonly bytes: Uint8Array;
    }
  | { readonly kind: "stream-open"; readonly ticket: string }
  | {
      readonly kind: "stream-piece";
      readonly ticket: string;
      readonly number: number;
      readonly data: unknown;
    }
  | { readonly kind: "stream-close"; readonly ticket: string; readonly pieces: number }
  | { readonly kind: "stream-trouble"; readonly ticket: string; readonly body: ErrorBody }
  /**
   * Sends work to a runner. `go` numbers the attempt; `mayStart(go)` is called once more right before the first byte is sent.
   * The attempt fails after `silence` ms without data from the runner.
   */
  | {
      readonly kind: "run";
      readonly go: number;
      readonly url: string;
      readonly work: RunnerWork;
      readonly silence: number;
    }
  /** Closes the connection of an attempt whose result is no longer needed. */
  | { readonly kind: "abandon"; readonly go: number }
  /** Logs a line and counts it; `text` is the label of the metric. */
  | { readonly kind: "note"; readonly text: string; readonly facts: Record<string, unknown> }
  | PassageOutput;

/** The work that is sent to a runner for a live request or a dequeued prompt. */
export type RunnerWork =
  | { readonly kind: "stream"; readonly request: string; readonly body: RunnerRequestBody }
  | { readonly kind: "one-shot"; readonly request: string; readonly body: RunnerRequestBody }
  | { readonly kind: "fetch"; readonly request: string; readonly path: string };

/** The JSON body of a request to a runner, as docs/interface.md publishes it. */
export type RunnerRequestBody = {
  readonly inquiry: string;
  readonly model?: string | undefined;
  readonly adapter?: string;
  readonly prompt: unknown;
};

/** An event of the connection on which one attempt runs. */
export type RunnerEvent =
  /** The attempt failed before its first byte was sent. */
  | { readonly kind: "unsent"; readonly reason: string }
  /** The runner rejected the work and did not run it. retryAfter in s. */
  | { readonly kind: "refused"; readonly retryAfter: number }
  /** The runner reported that the work failed. */
  | { readonly kind: "troubled"; readonly reason: string }
  /** Bytes were sent, and no complete result was received: the work may have run. */
  | { readonly kind: "broken"; readonly reason: string }
  /** The runner started a stream. */
  | { readonly kind: "opened" }
  | { readonly kind: "piece"; readonly number: number; readonly data: unknown }
  /** The runner ended the stream, and states how many pieces it sent. */
  | { readonly kind: "closed"; readonly pieces: number }
  /** The complete JSON result. */
  | { readonly kind: "whole"; readonly value: unknown }
  /** The complete result of a fetch. */
  | {
      readonly kind: "bytes";
      readonly status: number;
      readonly type: string;
      readonly bytes: Uint8Array;
    };
