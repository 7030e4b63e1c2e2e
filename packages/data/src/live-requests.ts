/** Live requests on routes: the caller waits for the result, and several runners may be tried in turn (docs/design.md §6). */
import { constants, type RunnerDescriptor } from "@chutewick/parts";
import type { AccessCounts } from "./access-counts.js";
import type { LiveRequest } from "./access-jobs.js";
import type { AccessOutput, RunnerEvent } from "./access-output.js";
import { NO_NEW_WORK, type Admission } from "./admission.js";
import type { Attempts } from "./attempts.js";
import { errorReply, notRunReply, type ErrorBody } from "./error-reply.js";
import { checkLiveRequest, type LiveArrival } from "./live-request-check.js";
import type { Membership } from "./membership.js";
import { findRoute } from "./routes.js";
import type { RunnerSelection } from "./runner-selection.js";
import { UnservedRequests } from "./unserved-requests.js";

/** Live requests may use all concurrency slots of a runner. */
const ALL_SLOTS = 1;

/** The parts of an access node that live requests depend on. */
export interface LiveRequestsDependencies {
  readonly membership: Membership;
  readonly admission: Admission;
  readonly attempts: Attempts;
  readonly selection: RunnerSelection;
  readonly counts: AccessCounts;
}

/** Attempt events of the given kinds. */
type AttemptEventOf<Kind extends RunnerEvent["kind"]> = Extract<RunnerEvent, { kind: Kind }>;

/** The live requests of one access node. */
export class LiveRequests {
  #membership: Membership;
  #admission: Admission;
  #attempts: Attempts;
  #selection: RunnerSelection;
  #counts: AccessCounts;
  /** Number of the attempt under way, by ticket. */
  #attemptOf = new Map<string, number>();
  /** Requests that no runner had a free slot for. */
  readonly unserved = new UnservedRequests();

  constructor({ membership, admission, attempts, selection, counts }: LiveRequestsDependencies) {
    this.#membership = membership;
    this.#admission = admission;
    this.#attempts = attempts;
    this.#selection = selection;
    this.#counts = counts;
  }

  /** Number of requests under way. */
  get size(): number {
    return this.#attemptOf.size;
  }

  /** Checks a new request and sends it to a runner. */
  arrive(arrival: LiveArrival, now: number): AccessOutput[] {
    const { ticket, routeName } = arrival;
    this.#counts.live += 1;
    const { value } = this.#membership.configuration;
    if (!this.#admission.isOpen(now)) return this.#refuse(ticket, NO_NEW_WORK);
    const checked = checkLiveRequest(arrival, findRoute(value, routeName));
    if (checked.kind === "reply") return [checked];
    if (this.#attemptOf.size >= constants.maxLiveRequests)
      return this.#refuse(ticket, "this access node has as many inquiries under way as it takes");
    const request: LiveRequest = {
      kind: "live",
      ticket,
      route: checked.route,
      work: checked.work,
      triedRunners: new Set(),
      fullRunnersTried: 0,
      retryAfter: undefined,
      isStreamOpen: false,
      nextPiece: 0,
    };
    return this.#tryNextRunner(request, now);
  }

  /** Abandons the request of a caller that disconnected, which frees the runner's slot. */
  callerLeft(ticket: string): AccessOutput[] {
    const attempt = this.#attemptOf.get(ticket);
    if (attempt === undefined) return [];
    this.#attemptOf.delete(ticket);
    this.#attempts.end(attempt);
    return [{ kind: "abandon", go: attempt }];
  }

  /** Handles an event of the connection on which an attempt of the request runs. */
  handleAttemptEvent(
    attempt: number,
    request: LiveRequest,
    event: RunnerEvent,
    now: number,
  ): AccessOutput[] {
    const { ticket } = request;
    switch (event.kind) {
      case "unsent":
      case "refused":
        return this.#retry(attempt, request, event, now);
      case "troubled":
      case "broken":
        return this.#fail(attempt, request, event);
      case "opened":
        request.isStreamOpen = true;
        return [{ kind: "stream-open", ticket }];
      case "piece":
        return this.#forwardPiece(attempt, request, event);
      case "closed":
        return this.#closeStream(attempt, request, event);
      case "whole": {
        const body = { inquiry: ticket, result: event.value };
        return this.#finish(attempt, request, { kind: "reply", ticket, status: 200, body });
      }
      case "bytes": {
        const { status, type, bytes } = event;
        return this.#finish(attempt, request, { kind: "reply-bytes", ticket, status, type, bytes });
      }
    }
  }

  #tryNextRunner(request: LiveRequest, now: number): AccessOutput[] {
    const runner = this.#nextRunner(request, now);
    if (runner === undefined) return this.#giveUp(request, now);
    request.triedRunners.add(runner.id);
    if (this.#attempts.load(runner, now) >= runner.seats) request.fullRunnersTried += 1;
    const start = {
      job: request,
      runner,
      work: request.work,
      silence: constants.runnerSilenceTimeoutMs,
    };
    const run = this.#attempts.start(start, now);
    this.#attemptOf.set(request.ticket, run.go);
    return [run];
  }

  /** Chooses a runner that was not tried yet; undefined where none is left. */
  #nextRunner(request: LiveRequest, now: number): RunnerDescriptor | undefined {
    const { route, triedRunners, fullRunnersTried } = request;
    if (triedRunners.size >= constants.maxRunnersTried) return undefined;
    return this.#selection.choose(
      {
        kind: request.work.kind === "fetch" ? "plain" : "model",
        model: route.model,
        adapter: route.adapter,
        labels: route.runners,
        tried: triedRunners,
        slotFraction: ALL_SLOTS,
        fullRunnersTried,
      },
      now,
    );
  }

  /**
   * Refuses a request that no runner took. It is reported as unserved, which throttles lots, only if runners lacked free slots: a
   * node that cannot reach its runners knows nothing of their free capacity (docs/design.md §8.5).
   */
  #giveUp(request: LiveRequest, now: number): AccessOutput[] {
    const { model } = request.route;
    const lackedSlots = request.retryAfter !== undefined || request.fullRunnersTried > 0;
    if (model !== undefined && lackedSlots) this.unserved.add(model, now);
    return this.#refuse(request.ticket, describeNotRun(request), request.retryAfter);
  }

  /** The request did not run, so another runner is tried. */
  #retry(
    attempt: number,
    request: LiveRequest,
    event: AttemptEventOf<"unsent" | "refused">,
    now: number,
  ): AccessOutput[] {
    this.#end(attempt, request);
    if (event.kind === "refused")
      request.retryAfter = Math.min(
        request.retryAfter ?? Number.POSITIVE_INFINITY,
        event.retryAfter,
      );
    return this.#tryNextRunner(request, now);
  }

  /** Fails a request that ran or may have run; no other runner is tried. */
  #fail(
    attempt: number,
    request: LiveRequest,
    { kind, reason }: AttemptEventOf<"troubled" | "broken">,
  ): AccessOutput[] {
    const { ticket } = request;
    this.#end(attempt, request);
    if (kind === "troubled") this.#counts.runnerFailed += 1;
    else this.#counts.mayHaveRun += 1;
    const body: ErrorBody = {
      trouble: kind === "troubled" ? "runner-failed" : "may-have-run",
      reason,
    };
    return request.isStreamOpen
      ? [{ kind: "stream-trouble", ticket, body }]
      : [errorReply(ticket, 502, body)];
  }

  /** Forwards the next piece of a stream; a gap in the numbers cuts the stream off. */
  #forwardPiece(
    attempt: number,
    request: LiveRequest,
    event: AttemptEventOf<"piece">,
  ): AccessOutput[] {
    const { ticket, nextPiece } = request;
    if (event.number !== nextPiece)
      return this.#cutStream(
        attempt,
        request,
        `piece ${nextPiece} is missing: ${event.number} came`,
      );
    request.nextPiece += 1;
    return [{ kind: "stream-piece", ticket, number: event.number, data: event.data }];
  }

  /** Completes a stream if every piece of it was received. */
  #closeStream(
    attempt: number,
    request: LiveRequest,
    event: AttemptEventOf<"closed">,
  ): AccessOutput[] {
    const { ticket, nextPiece } = request;
    if (event.pieces !== nextPiece)
      return this.#cutStream(
        attempt,
        request,
        `the runner closed with ${event.pieces} pieces, and ${nextPiece} came`,
      );
    return this.#finish(attempt, request, { kind: "stream-close", ticket, pieces: event.pieces });
  }

  /** Ends an incomplete stream with an error event, so that it cannot be taken for a complete one. */
  #cutStream(attempt: number, request: LiveRequest, reason: string): AccessOutput[] {
    this.#end(attempt, request);
    this.#counts.mayHaveRun += 1;
    const body: ErrorBody = { trouble: "may-have-run", reason };
    return [
      { kind: "abandon", go: attempt },
      { kind: "stream-trouble", ticket: request.ticket, body },
    ];
  }

  #finish(attempt: number, request: LiveRequest, result: AccessOutput): AccessOutput[] {
    this.#end(attempt, request);
    this.#counts.done += 1;
    return [result];
  }

  #end(attempt: number, request: LiveRequest): void {
    this.#attempts.end(attempt);
    this.#attemptOf.delete(request.ticket);
  }

  #refuse(ticket: string, reason: string, retryAfter?: number): AccessOutput[] {
    this.#counts.notRun += 1;
    return [notRunReply(ticket, reason, retryAfter)];
  }
}

function describeNotRun({ triedRunners, retryAfter }: LiveRequest): string {
  if (triedRunners.size === 0) return "no runner for this way is known here now";
  return retryAfter === undefined
    ? "no runner tried could be reached"
    : "every runner tried is full";
}
