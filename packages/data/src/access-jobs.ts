/** What an access node runs on runners by way of a route: live requests, and prompts drawn from queues. */
import type { Way } from "@chutewick/control";
import type { Selector } from "@chutewick/parts";
import type { RunnerRequestBody, Work } from "./access-output.js";

/** A request whose caller waits for the result (docs/design.md §6). */
export interface LiveRequest {
  readonly kind: "live";
  readonly ticket: string;
  readonly route: Way;
  readonly work: Work;
  readonly triedRunners: Set<string>;
  /** Runners tried though they looked full. */
  fullRunnersTried: number;
  /** s after which the soonest of those that refused for want of a seat is to be asked again. */
  retryAfter: number | undefined;
  /** The caller was told that a stream begins. */
  isStreamOpen: boolean;
  /** Number of the piece that comes next. */
  nextPiece: number;
}

/** A prompt of a lot, drawn from its queue (docs/design.md §5). */
export interface DrawnPrompt {
  readonly kind: "prompt";
  readonly queue: string;
  readonly lot: string;
  readonly index: number;
  /** Fencing token: only its holder may record how the prompt ended. */
  readonly claim: number;
  readonly prompt: unknown;
  readonly routeName: string;
  /** Which runners the season of its lot chose. */
  readonly selectors: readonly Selector[];
  /** Moment (ms, monotonic) from which it may not be begun any more. */
  readonly grantedUntil: number;
  readonly triedRunners: Set<string>;
  readonly pieces: unknown[];
  /** When it last showed that it is worked on. */
  lastProgressAt: number;
}

/** What an attempt runs. */
export type Job = LiveRequest | DrawnPrompt;

/** What a runner is asked for. */
export interface PromptToRun {
  /** Id of the request, by which the runner names its result. */
  readonly request: string;
  readonly model: string | undefined;
  readonly adapter: string | undefined;
  readonly prompt: unknown;
}

/** The body of a request to a runner. */
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
