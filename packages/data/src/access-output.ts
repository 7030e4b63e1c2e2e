/** What an access node's core asks of its shell, and what links to runners tell the core (docs/design.md §5, §6). */
import type { ErrorBody } from "./error-reply.js";
import type { PassOutput } from "./pass.js";
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
  /** Send to a runner; `mayStart(go)` is asked again at the last moment before the first byte. silence in ms. */
  | {
      readonly kind: "run";
      readonly go: number;
      readonly url: string;
      readonly work: Work;
      readonly silence: number;
    }
  | { readonly kind: "abandon"; readonly go: number }
  | { readonly kind: "note"; readonly text: string; readonly facts: Record<string, unknown> }
  | PassOutput;

/** What a runner is sent for a live request or a drawn prompt. */
export type Work =
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

/** What a runner's link tells of one attempt. */
export type GoEvent =
  /** No byte went out. */
  | { readonly kind: "unsent"; readonly reason: string }
  /** The runner said outright that it did not take it. retryAfter in s. */
  | { readonly kind: "refused"; readonly retryAfter: number }
  /** The runner said that it failed. */
  | { readonly kind: "troubled"; readonly reason: string }
  /** Bytes went out, and no whole result came back. */
  | { readonly kind: "broken"; readonly reason: string }
  | { readonly kind: "opened" }
  | { readonly kind: "piece"; readonly number: number; readonly data: unknown }
  | { readonly kind: "closed"; readonly pieces: number }
  | { readonly kind: "whole"; readonly value: unknown }
  | {
      readonly kind: "bytes";
      readonly status: number;
      readonly type: string;
      readonly bytes: Uint8Array;
    };
