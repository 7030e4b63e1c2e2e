/**
 * Dequeues the prompts of lots (batch jobs), runs them on runners, and reports their outcomes to the storage machines that
 * own the queues (docs/design.md §5).
 */
import {
  constants,
  rendezvous,
  holderDurationMs,
  type ChainView,
  type ClaimEnding,
  type QueueCommand,
  type QueueResult,
  type RunnerDescriptor,
} from "@chutewick/parts";
import { configuration, keys, quotaClasses, type QueueQuota } from "@chutewick/control";
import type { AccessCounts } from "./access-counts.js";
import { runnerRequestBody, type DrawnPrompt } from "./access-jobs.js";
import type { AccessOutput, RunnerEvent, RunnerWork } from "./access-output.js";
import type { Admission } from "./admission.js";
import type { Attempts } from "./attempts.js";
import { groupByQueue, type QueueClaim } from "./claims-by-queue.js";
import { queueOfLot } from "./lot-names.js";
import type { Membership } from "./membership.js";
import type { PendingCalls } from "./pending-calls.js";
import type { QueueOutcome } from "./queue-messages.js";
import type { RunnerDemand, RunnerSelection } from "./runner-selection.js";

/** Delay before a queue is dequeued from again when no runner accepted a prompt. */
const NO_RUNNER_BACKOFF_MS = constants.emptyQueuePauseMs * 2;
/** How long the outcome of a prompt is sent to the queue owner before giving up. */
const RECORD_TIMEOUT_MS = constants.ownerTimeoutMs * 3;

/** Dispatch state of one queue at this node. */
interface QueueDispatch {
  readonly queue: string;
  readonly model: string;
  readonly adapter: string | undefined;
  /** Time before which the queue is not dequeued from again. */
  resumeAt: number;
  /** Whether a dequeue request is in flight. */
  isDequeuing: boolean;
  /** Number of prompts that were dequeued and whose outcome has not been sent to the owner. */
  inFlight: number;
}

type DequeuedPrompt = Extract<QueueResult, { kind: "TAKEN" }>;

/** Components of the access node that the dispatcher uses. */
export interface PromptDispatcherDependencies {
  readonly membership: Membership;
  readonly admission: Admission;
  readonly attempts: Attempts;
  readonly selection: RunnerSelection;
  readonly pendingCalls: PendingCalls;
  readonly counts: AccessCounts;
}

/** Dispatches the prompts of all model and adapter queues at one access node. */
export class PromptDispatcher {
  #membership: Membership;
  #admission: Admission;
  #attempts: Attempts;
  #selection: RunnerSelection;
  #pendingCalls: PendingCalls;
  #counts: AccessCounts;
  #dispatches = new Map<string, QueueDispatch>();
  #heartbeatAt = 0;

  constructor(parts: PromptDispatcherDependencies) {
    this.#membership = parts.membership;
    this.#admission = parts.admission;
    this.#attempts = parts.attempts;
    this.#selection = parts.selection;
    this.#pendingCalls = parts.pendingCalls;
    this.#counts = parts.counts;
  }

  tick(now: number): AccessOutput[] {
    const outputs: AccessOutput[] = [];
    if (now - this.#heartbeatAt >= constants.promptHeartbeatIntervalMs) {
      this.#heartbeatAt = now;
      outputs.push(...this.#heartbeats(now));
    }
    if (this.#admission.isOpen(now)) outputs.push(...this.#dequeueFromQueues(now));
    return outputs;
  }

  /** Clears all backoffs after a change of limits, since they were computed from the previous ones. */
  clearBackoffs(): void {
    for (const dispatch of this.#dispatches.values()) dispatch.resumeAt = 0;
  }

  /** Handles the result of a call that already timed out: a prompt granted too late is returned to its queue at once, with its rate-limit token. */
  handleLateResult(outcome: QueueOutcome, now: number): AccessOutput[] {
    if (outcome.kind !== "confirmed" || outcome.value.kind !== "TAKEN") return [];
    const { lot, index, go } = outcome.value;
    const command: QueueCommand = { kind: "record", lot, index, go, ending: { kind: "unsent" } };
    const patience = constants.ownerTimeoutMs;
    const call = { queue: queueOfLot(lot)!, command, patience, onResult: ignoreResult };
    return this.#pendingCalls.start(call, now);
  }

  /** Handles an event that the connection to a runner reports for an attempt of a prompt. */
  handleAttemptEvent(
    attempt: number,
    prompt: DrawnPrompt,
    event: RunnerEvent,
    now: number,
  ): AccessOutput[] {
    switch (event.kind) {
      case "opened":
        return [];
      case "piece":
        if (event.number !== prompt.pieces.length)
          return [{ kind: "abandon", go: attempt }, ...this.#recordBroken(attempt, prompt, now)];
        prompt.pieces.push(event.data);
        prompt.lastProgressAt = now;
        return [];
      case "closed": {
        const isWhole = event.pieces === prompt.pieces.length;
        if (!isWhole) return this.#recordBroken(attempt, prompt, now);
        return this.#end(attempt, prompt, { kind: "solved", result: prompt.pieces }, now);
      }
      case "troubled":
        return this.#end(attempt, prompt, { kind: "trouble", reason: event.reason }, now);
      case "unsent":
      case "refused":
        this.#attempts.end(attempt);
        return this.#tryNextRunner(prompt, now);
      default:
        return this.#recordBroken(attempt, prompt, now);
    }
  }

  /** Covers every existing queue, even one that is no longer configured: accepted lots are still processed. */
  #dequeueFromQueues(now: number): AccessOutput[] {
    const outputs: AccessOutput[] = [];
    const accessNodes: string[] = [];
    for (const node of this.#membership.liveNodes("access")) accessNodes.push(node.identity);
    for (const [key] of this.#membership.follower.under<ChainView>(keys.queue)) {
      const queue = key.slice(keys.queue.length);
      if (!configuration.isModelQueue(queue)) continue;
      const dispatchers = rendezvous
        .rank(queue, accessNodes)
        .slice(0, constants.dispatchersPerQueue);
      if (dispatchers.includes(this.#membership.identity))
        outputs.push(...this.#dequeue(this.#dispatchOf(queue), now));
    }
    return outputs;
  }

  #dispatchOf(queue: string): QueueDispatch {
    let dispatch = this.#dispatches.get(queue);
    if (dispatch === undefined) {
      const [model, adapter] = configuration.modelOf(queue);
      dispatch = { queue, model, adapter, resumeAt: 0, isDequeuing: false, inFlight: 0 };
      this.#dispatches.set(queue, dispatch);
    }
    return dispatch;
  }

  /** Sends one dequeue request at a time and never repeats it, since a repeated request would claim a second prompt. */
  #dequeue(dispatch: QueueDispatch, now: number): AccessOutput[] {
    if (
      dispatch.isDequeuing ||
      now < dispatch.resumeAt ||
      dispatch.inFlight >= constants.maxPromptsPerDispatcher
    )
      return [];
    const saturated = this.#saturatedSeasons(dispatch, now);
    if (saturated === undefined) return [];
    dispatch.isDequeuing = true;
    const command: QueueCommand = {
      kind: "pop",
      holder: this.#membership.identity,
      ...(saturated.length === 0 ? {} : { unable: saturated }),
    };
    const askedAt = now;
    const onResult = (outcome: QueueOutcome, later: number): AccessOutput[] => {
      dispatch.isDequeuing = false;
      return this.#handleDequeueResult(dispatch, outcome, askedAt, later);
    };
    const call = { queue: dispatch.queue, command, patience: constants.grantDurationMs, onResult };
    return this.#pendingCalls.start(call, now);
  }

  #handleDequeueResult(
    dispatch: QueueDispatch,
    outcome: QueueOutcome,
    askedAt: number,
    now: number,
  ): AccessOutput[] {
    if (outcome.kind !== "confirmed") {
      dispatch.resumeAt = now + constants.emptyQueuePauseMs;
      return [];
    }
    const { value } = outcome;
    if (value.kind === "TAKEN") {
      this.#counts.popped += 1;
      dispatch.inFlight += 1;
      const prompt = promptJob(dispatch.queue, value, askedAt, now);
      return [...this.#tryNextRunner(prompt, now), ...this.#dequeue(dispatch, now)];
    }
    const pause =
      value.kind === "RATE_LIMITED"
        ? (value.wait ?? constants.maxDispatcherPauseMs)
        : constants.emptyQueuePauseMs;
    dispatch.resumeAt = now + pause;
    return [];
  }

  /** Returns the seasons (calendar classes) of a queue whose runners have no free slots now; undefined if no runner has any. */
  #saturatedSeasons({ queue, model, adapter }: QueueDispatch, now: number): string[] | undefined {
    const demand: RunnerDemand = {
      kind: "model",
      model,
      adapter,
      labels: {},
      tried: new Set(),
      slotFraction: constants.lotSlotFraction,
    };
    if (this.#selection.choose(demand, now) === undefined) return undefined;
    const quota = this.#membership.follower.read<QueueQuota>(keys.standing + queue);
    const full: string[] = [];
    for (const { season, runners: selectors } of quotaClasses(quota)) {
      if (selectors.length === 0) continue;
      if (this.#selection.choose({ ...demand, selectors }, now) === undefined) full.push(season);
    }
    return full;
  }

  #tryNextRunner(prompt: DrawnPrompt, now: number): AccessOutput[] {
    const dispatch = this.#dispatchOf(prompt.queue);
    const runner = this.#chooseRunner(prompt, dispatch, now);
    if (runner === undefined) {
      dispatch.resumeAt = Math.max(dispatch.resumeAt, now + NO_RUNNER_BACKOFF_MS);
      return this.#record(prompt, { kind: "unsent" }, now);
    }
    prompt.triedRunners.add(runner.id);
    const request = `${prompt.lot}/${prompt.index}/${prompt.claim}`;
    const { model, adapter } = dispatch;
    const body = runnerRequestBody({ request, model, adapter, prompt: prompt.prompt });
    const work: RunnerWork = { kind: "stream", request, body };
    const silence = constants.promptSilenceTimeoutMs;
    return [this.#attempts.start({ job: prompt, runner, work, silence }, now)];
  }

  #chooseRunner(
    prompt: DrawnPrompt,
    { model, adapter }: QueueDispatch,
    now: number,
  ): RunnerDescriptor | undefined {
    const { triedRunners, selectors } = prompt;
    if (now > prompt.grantedUntil || triedRunners.size >= constants.maxRunnersTried)
      return undefined;
    const { ways } = this.#membership.configuration.value;
    return this.#selection.choose(
      {
        kind: "model",
        model,
        adapter,
        labels: ways[prompt.routeName]?.runners ?? {},
        selectors,
        tried: triedRunners,
        slotFraction: constants.lotSlotFraction,
      },
      now,
    );
  }

  /** Records that the prompt may have run but returned no complete result. */
  #recordBroken(attempt: number, prompt: DrawnPrompt, now: number): AccessOutput[] {
    return this.#end(attempt, prompt, { kind: "broken" }, now);
  }

  #end(attempt: number, prompt: DrawnPrompt, ending: ClaimEnding, now: number): AccessOutput[] {
    this.#attempts.end(attempt);
    return this.#record(prompt, ending, now);
  }

  #record(prompt: DrawnPrompt, ending: ClaimEnding, now: number): AccessOutput[] {
    this.#dispatchOf(prompt.queue).inFlight -= 1;
    this.#count(ending);
    const { queue, lot, index, claim } = prompt;
    const command: QueueCommand = { kind: "record", lot, index, go: claim, ending };
    const call = { queue, command, patience: RECORD_TIMEOUT_MS, onResult: ignoreResult };
    return this.#pendingCalls.start(call, now);
  }

  #count({ kind }: ClaimEnding): void {
    if (kind === "solved") this.#counts.solved += 1;
    else if (kind === "trouble") this.#counts.troubled += 1;
    else if (kind === "unsent") this.#counts.givenBack += 1;
    else this.#counts.broken += 1;
  }

  /** Sends heartbeats for claimed prompts. Runners report only on themselves, so a prompt counts as alive while its output makes progress here. */
  #heartbeats(now: number): AccessOutput[] {
    const outputs: AccessOutput[] = [];
    for (const [queue, items] of groupByQueue(this.#claims(now))) {
      const owner = this.#pendingCalls.ownerOf(queue);
      if (owner !== undefined)
        outputs.push({ kind: "send", to: owner, message: { kind: "life", queue, items } });
    }
    return outputs;
  }

  /** Yields the claims of prompts that make progress and of those whose outcome the owner has not recorded yet. */
  *#claims(now: number): Generator<QueueClaim> {
    for (const { queue, lot, index, claim, lastProgressAt } of this.#attempts.prompts())
      if (now - lastProgressAt <= constants.promptSilenceTimeoutMs)
        yield [queue, { lot, index, go: claim }];
    for (const { queue, command } of this.#pendingCalls.values()) {
      if (command.kind !== "record") continue;
      yield [queue, { lot: command.lot, index: command.index, go: command.go }];
    }
  }
}

/** @param askedAt when the dequeue request was sent; the grant counts from then */
function promptJob(
  queue: string,
  dequeued: DequeuedPrompt,
  askedAt: number,
  now: number,
): DrawnPrompt {
  return {
    kind: "prompt",
    queue,
    lot: dequeued.lot,
    index: dequeued.index,
    claim: dequeued.go,
    prompt: dequeued.prompt,
    routeName: dequeued.way,
    selectors: dequeued.runners ?? [],
    grantedUntil: askedAt + holderDurationMs(constants.grantDurationMs),
    triedRunners: new Set(),
    pieces: [],
    lastProgressAt: now,
  };
}

function ignoreResult(): AccessOutput[] {
  return [];
}
