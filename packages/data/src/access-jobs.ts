/** The jobs that an access node runs on runners for routes: live requests, and prompts dequeued from queues. */
import type { Way } from "@chutewick/control";
import type { Selector } from "@chutewick/parts";
import type { RunnerRequestBody, RunnerWork } from "./access-output.js";

/** A request whose caller waits for the result (docs/design.md §6). */
export interface LiveRequest {
  readonly kind: "live";
  readonly ticket: string;
  readonly route: Way;
  readonly work: RunnerWork;
  readonly triedRunners: Set<string>;
  /** Number of runners tried although they appeared to be full. */
  fullRunnersTried: number;
  /** Shortest Retry-After (s) of the runners that refused the request for lack of a free slot. */
  retryAfter: number | undefined;
  /** Whether the caller has received the head of a stream. */
  isStreamOpen: boolean;
  /** Number of the next expected piece. */
  nextPiece: number;
}

/** A prompt of a lot (a batch job), dequeued for running (docs/design.md §5). */
export interface DrawnPrompt {
  readonly kind: "prompt";
  readonly queue: string;
  readonly lot: string;
  readonly index: number;
  /** Fencing token: only its holder may record the outcome of the prompt. */
  readonly claim: number;
  readonly prompt: unknown;
  readonly routeName: string;
  /** Selectors of the runners on which the season of the lot allows it to run. */
  readonly selectors: readonly Selector[];
  /** Monotonic time (ms) from which the prompt must not be started any more. */
  readonly grantedUntil: number;
  readonly triedRunners: Set<string>;
  readonly pieces: unknown[];
  /** Monotonic time (ms) of the last sign that a runner works on the prompt. */
  lastProgressAt: number;
}

/** The job that an attempt runs. */
export type Job = LiveRequest | DrawnPrompt;

/** A prompt with the model that it needs. */
export interface PromptToRun {
  /** Id of the request; the runner repeats it in its result. */
  readonly request: string;
  readonly model: string | undefined;
  readonly adapter: string | undefined;
  readonly prompt: unknown;
}

/** Builds the JSON body of a request to a runner. */
export function runnerRequestBody({
  request,
  model,
  adapter,
  prompt,
}: PromptToRun): RunnerRequestBody {
  return {
    inquiry: request,
    model,
    ...(adapter === undefined ? {} : { adapter }),
    prompt,
  };
}
