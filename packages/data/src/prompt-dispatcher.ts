/** Draws prompts of lots from queues, runs them on runners, and tells the owners how they ended (docs/design.md §5). */
import {
  constants,
  duty,
  heldFor,
  type ChainView,
  type Ending,
  type QueueCommand,
  type QueueResult,
  type RunnerCard,
} from "@chutewick/parts";
import { configuration, keys, standingClasses, type QueueStanding } from "@chutewick/control";
import type { AccessCounts } from "./access-counts.js";
import { runnerRequestBody, type DrawnPrompt } from "./access-jobs.js";
import type { AccessOutput, GoEvent, Work } from "./access-output.js";
import type { Admission } from "./admission.js";
import type { Attempts } from "./attempts.js";
import { groupByQueue, type QueueClaim } from "./claims-by-queue.js";
import { queueOfLot } from "./lot-names.js";
import type { Membership } from "./membership.js";
import type { PendingCalls } from "./pending-calls.js";
import type { QueueOutcome } from "./queue-messages.js";
import type { RunnerDemand, RunnerSelection } from "./runner-selection.js";

/** ms after which a queue is drawn from again when no runner took a prompt. */
const NO_RUNNER_PAUSE = constants.emptyPause * 2;
/** ms for which the owner is told how a prompt ended. */
const RECORD_PATIENCE = constants.ownerPatience * 3;

/** How this node draws from one queue. */
interface QueueDraw {
  readonly queue: string;
  readonly model: string;
  readonly adapter: string | undefined;
  /** Moment before which the queue is not drawn from again. */
  resumeAt: number;
  /** A draw is on its way. */
  isAsking: boolean;
  /** Prompts that run and whose end is not recorded. */
  underWay: number;
}

type TakenPrompt = Extract<QueueResult, { kind: "TAKEN" }>;

/** What the dispatcher needs of its node. */
export interface PromptDispatcherParts {
  readonly membership: Membership;
  readonly admission: Admission;
  readonly attempts: Attempts;
  readonly selection: RunnerSelection;
  readonly pendingCalls: PendingCalls;
  readonly counts: AccessCounts;
}

/** The dispatcher of one access node, for all queues of models and adapters. */
export class PromptDispatcher {
  #membership: Membership;
  #admission: Admission;
  #attempts: Attempts;
  #selection: RunnerSelection;
  #pendingCalls: PendingCalls;
  #counts: AccessCounts;
  #draws = new Map<string, QueueDraw>();
  #heartbeatAt = 0;

  constructor(parts: PromptDispatcherParts) {
    this.#membership = parts.membership;
    this.#admission = parts.admission;
    this.#attempts = parts.attempts;
    this.#selection = parts.selection;
    this.#pendingCalls = parts.pendingCalls;
    this.#counts = parts.counts;
  }

  beat(now: number): AccessOutput[] {
    const outputs: AccessOutput[] = [];
    if (now - this.#heartbeatAt >= constants.lifeEvery) {
      this.#heartbeatAt = now;
      outputs.push(...this.#heartbeats(now));
    }
    if (this.#admission.isOpen(now)) outputs.push(...this.#drawFromQueues(now));
    return outputs;
  }

  /** Limits may have changed: waits told under the old ones no longer bind. */
  endPauses(): void {
    for (const draw of this.#draws.values()) draw.resumeAt = 0;
  }

  /** The result of a call that nobody waits for any more: a prompt granted too late goes back at once, with its token. */
  lateResult(outcome: QueueOutcome, now: number): AccessOutput[] {
    if (outcome.kind !== "confirmed" || outcome.value.kind !== "TAKEN") return [];
    const { lot, index, go } = outcome.value;
    const command: QueueCommand = { kind: "record", lot, index, go, ending: { kind: "unsent" } };
    const patience = constants.ownerPatience;
    const call = { queue: queueOfLot(lot)!, command, patience, onResult: ignoreResult };
    return this.#pendingCalls.ask(call, now);
  }

  /** What the link to a runner tells of an attempt of a prompt. */
  attemptEvent(attempt: number, prompt: DrawnPrompt, event: GoEvent, now: number): AccessOutput[] {
    switch (event.kind) {
      case "opened":
        return [];
      case "piece":
        if (event.number !== prompt.pieces.length)
          return [{ kind: "abandon", go: attempt }, ...this.#break(attempt, prompt, now)];
        prompt.pieces.push(event.data);
        prompt.lastProgressAt = now;
        return [];
      case "closed": {
        const isWhole = event.pieces === prompt.pieces.length;
        if (!isWhole) return this.#break(attempt, prompt, now);
        return this.#end(attempt, prompt, { kind: "solved", result: prompt.pieces }, now);
      }
      case "troubled":
        return this.#end(attempt, prompt, { kind: "trouble", reason: event.reason }, now);
      case "unsent":
      case "refused":
        this.#attempts.end(attempt);
        return this.#tryNextRunner(prompt, now);
      default:
        return this.#break(attempt, prompt, now);
    }
  }

  /** All queues that exist, configured still or not: what was accepted is worked off. */
  #drawFromQueues(now: number): AccessOutput[] {
    const outputs: AccessOutput[] = [];
    const accessNodes: string[] = [];
    for (const card of this.#membership.live("access")) accessNodes.push(card.identity);
    for (const [key] of this.#membership.follower.under<ChainView>(keys.queue)) {
      const queue = key.slice(keys.queue.length);
      if (configuration.isPoolQueue(queue)) continue;
      const dispatchers = duty.rank(queue, accessNodes).slice(0, constants.dispatchersPerQueue);
      if (dispatchers.includes(this.#membership.identity))
        outputs.push(...this.#pop(this.#drawOf(queue), now));
    }
    return outputs;
  }

  #drawOf(queue: string): QueueDraw {
    let draw = this.#draws.get(queue);
    if (draw === undefined) {
      const [model, adapter] = configuration.modelOf(queue);
      draw = { queue, model, adapter, resumeAt: 0, isAsking: false, underWay: 0 };
      this.#draws.set(queue, draw);
    }
    return draw;
  }

  /** One draw at a time: it is asked for once, as a second asking would take a second prompt. */
  #pop(draw: QueueDraw, now: number): AccessOutput[] {
    if (draw.isAsking || now < draw.resumeAt || draw.underWay >= constants.dispatchWidth) return [];
    const unable = this.#seasonsWithoutRoom(draw, now);
    if (unable === undefined) return [];
    draw.isAsking = true;
    const command: QueueCommand = {
      kind: "pop",
      holder: this.#membership.identity,
      ...(unable.length === 0 ? {} : { unable }),
    };
    const askedAt = now;
    const onResult = (outcome: QueueOutcome, later: number): AccessOutput[] => {
      draw.isAsking = false;
      return this.#popped(draw, outcome, askedAt, later);
    };
    const call = { queue: draw.queue, command, patience: constants.grantLasts, onResult };
    return this.#pendingCalls.ask(call, now);
  }

  #popped(draw: QueueDraw, outcome: QueueOutcome, askedAt: number, now: number): AccessOutput[] {
    if (outcome.kind !== "confirmed") {
      draw.resumeAt = now + constants.emptyPause;
      return [];
    }
    const { value } = outcome;
    if (value.kind === "TAKEN") {
      this.#counts.popped += 1;
      draw.underWay += 1;
      const prompt = drawnPrompt(draw.queue, value, askedAt, now);
      return [...this.#tryNextRunner(prompt, now), ...this.#pop(draw, now)];
    }
    const pause =
      value.kind === "RATE_LIMITED" ? (value.wait ?? constants.pauseMost) : constants.emptyPause;
    draw.resumeAt = now + pause;
    return [];
  }

  /** Seasons of a queue whose runners have no room now; undefined where no runner has. */
  #seasonsWithoutRoom({ queue, model, adapter }: QueueDraw, now: number): string[] | undefined {
    const demand: RunnerDemand = {
      kind: "model",
      model,
      adapter,
      labels: {},
      tried: new Set(),
      seatPart: constants.lotPart,
    };
    if (this.#selection.choose(demand, now) === undefined) return undefined;
    const standing = this.#membership.follower.read<QueueStanding>(keys.standing + queue);
    const full: string[] = [];
    for (const { season, runners: selectors } of standingClasses(standing)) {
      if (selectors.length === 0) continue;
      if (this.#selection.choose({ ...demand, selectors }, now) === undefined) full.push(season);
    }
    return full;
  }

  #tryNextRunner(prompt: DrawnPrompt, now: number): AccessOutput[] {
    const draw = this.#drawOf(prompt.queue);
    const runner = this.#nextRunner(prompt, draw, now);
    if (runner === undefined) {
      draw.resumeAt = Math.max(draw.resumeAt, now + NO_RUNNER_PAUSE);
      return this.#record(prompt, { kind: "unsent" }, now);
    }
    prompt.triedRunners.add(runner.id);
    const request = `${prompt.lot}/${prompt.index}/${prompt.claim}`;
    const { model, adapter } = draw;
    const body = runnerRequestBody({ request, model, adapter, prompt: prompt.prompt });
    const work: Work = { kind: "stream", request, body };
    const silence = constants.promptSilence;
    return [this.#attempts.start({ job: prompt, runner, work, silence }, now)];
  }

  #nextRunner(
    prompt: DrawnPrompt,
    { model, adapter }: QueueDraw,
    now: number,
  ): RunnerCard | undefined {
    const { triedRunners, selectors } = prompt;
    if (now > prompt.grantedUntil || triedRunners.size >= constants.runnersTried) return undefined;
    const { ways } = this.#membership.configuration.value;
    return this.#selection.choose(
      {
        kind: "model",
        model,
        adapter,
        labels: ways[prompt.routeName]?.runners ?? {},
        selectors,
        tried: triedRunners,
        seatPart: constants.lotPart,
      },
      now,
    );
  }

  /** It may have run, and no whole result came. */
  #break(attempt: number, prompt: DrawnPrompt, now: number): AccessOutput[] {
    return this.#end(attempt, prompt, { kind: "broken" }, now);
  }

  #end(attempt: number, prompt: DrawnPrompt, ending: Ending, now: number): AccessOutput[] {
    this.#attempts.end(attempt);
    return this.#record(prompt, ending, now);
  }

  #record(prompt: DrawnPrompt, ending: Ending, now: number): AccessOutput[] {
    this.#drawOf(prompt.queue).underWay -= 1;
    this.#count(ending);
    const { queue, lot, index, claim } = prompt;
    const command: QueueCommand = { kind: "record", lot, index, go: claim, ending };
    const call = { queue, command, patience: RECORD_PATIENCE, onResult: ignoreResult };
    return this.#pendingCalls.ask(call, now);
  }

  #count({ kind }: Ending): void {
    if (kind === "solved") this.#counts.solved += 1;
    else if (kind === "trouble") this.#counts.troubled += 1;
    else if (kind === "unsent") this.#counts.givenBack += 1;
    else this.#counts.broken += 1;
  }

  /** Runners report on themselves alone: the sign of life of a prompt is its tokens, seen here (§5.4). */
  #heartbeats(now: number): AccessOutput[] {
    const outputs: AccessOutput[] = [];
    for (const [queue, items] of groupByQueue(this.#claims(now))) {
      const owner = this.#pendingCalls.owner(queue);
      if (owner !== undefined)
        outputs.push({ kind: "send", to: owner, message: { kind: "life", queue, items } });
    }
    return outputs;
  }

  /** Claims of prompts that make progress, and of those whose end the owner has not recorded yet. */
  *#claims(now: number): Generator<QueueClaim> {
    for (const { queue, lot, index, claim, lastProgressAt } of this.#attempts.prompts())
      if (now - lastProgressAt <= constants.promptSilence) yield [queue, { lot, index, go: claim }];
    for (const { queue, command } of this.#pendingCalls.values()) {
      if (command.kind !== "record") continue;
      yield [queue, { lot: command.lot, index: command.index, go: command.go }];
    }
  }
}

/** askedAt: when the draw was asked for, from which its grant counts. */
function drawnPrompt(queue: string, taken: TakenPrompt, askedAt: number, now: number): DrawnPrompt {
  return {
    kind: "prompt",
    queue,
    lot: taken.lot,
    index: taken.index,
    claim: taken.go,
    prompt: taken.prompt,
    routeName: taken.way,
    selectors: taken.runners ?? [],
    grantedUntil: askedAt + heldFor(constants.grantLasts),
    triedRunners: new Set(),
    pieces: [],
    lastProgressAt: now,
  };
}

function ignoreResult(): AccessOutput[] {
  return [];
}
