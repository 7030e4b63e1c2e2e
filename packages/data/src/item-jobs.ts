/** Items of lots of passages as an access node runs them (docs/design.md §13.7). */
import type { Claim, PassEnding, PassTask, Tenancy } from "@chutewick/parts";
import type { GoEnd } from "./choice.js";
import type { PassRequest, PassWork } from "./dialect.js";
import { constants } from "@chutewick/parts";

const HTTP_OK = 200;
const HTTP_UNPROCESSABLE = 422;
const HTTP_SERVER_ERROR = 500;

/** An item that was drawn, from the draw until its end is told. */
export interface ItemJob {
  readonly queue: string;
  readonly task: PassTask;
  readonly request: PassRequest;
  /** An old grant begins nothing: the lot may have been ended since. Moments are in ms, monotonic. */
  readonly grantedUntil: number;
  /** Moment from which it may be given up. */
  readonly keepsUntil: number;
  readonly triedRunners: Set<string>;
  /** Data of the events that came, in order. */
  readonly texts: string[];
  /** Number of the last event that counts; undefined before the first. */
  lastEvent: number | undefined;
  lastProgressAt: number;
}

/** An item at one runner. */
export interface ItemAttempt {
  readonly job: ItemJob;
  readonly pool: string;
  readonly runner: string;
  readonly incarnation: number;
  /** Of the runner's result, once its head has come. */
  status: number | undefined;
}

/** How an attempt ended: for the choice of runners, and for the owner of the queue. */
export interface AttemptEnd {
  readonly how: GoEnd;
  readonly ending: PassEnding;
}

/** When an item may be begun, and until when it is worked on. */
export type ItemTimes = Pick<ItemJob, "grantedUntil" | "keepsUntil">;

/** The job of an item that was just drawn. */
export function itemJob(queue: string, task: PassTask, times: ItemTimes, now: number): ItemJob {
  return {
    queue,
    task,
    request: requestOf(task),
    ...times,
    triedRunners: new Set(),
    texts: [],
    lastEvent: task.upTo ?? undefined,
    lastProgressAt: now,
  };
}

function requestOf({ entry, host, upTo }: PassTask): PassRequest {
  return {
    id: entry.id,
    method: "POST",
    host,
    path: entry.path,
    headers: entry.headers,
    body: entry.body,
    patience: undefined,
    model: entry.model ?? undefined,
    tokensIn: entry.tokens,
    tokensOut: undefined,
    parts: entry.parts ?? [],
    resumeAfter: upTo ?? undefined,
    credential: undefined,
  };
}

/** Whom an item runs for: its lot's tenant, whatever credentials that one holds by now. */
export function itemTenancy({ tenant }: PassTask, hasTenants: boolean): Tenancy | undefined {
  if (tenant !== undefined) return { tenant };
  return hasTenants ? { tenant: undefined } : undefined;
}

/** What a runner is sent for an item. */
export function itemWork(
  { request, keepsUntil, lastEvent }: ItemJob,
  runner: string,
  tenancy: Tenancy | undefined,
): PassWork {
  return {
    request,
    runner,
    rank: constants.itemRank,
    until: keepsUntil,
    resumeAfter: lastEvent,
    events: true,
    repeatable: true,
    tenancy,
  };
}

/** The claim by which the owner knows an item that was drawn. */
export function claimOf({ task: { lot, index, go } }: ItemJob): Claim {
  return { lot, index, go };
}

/** The attempt broke off: what came is kept. */
export function brokenEnd({ texts, lastEvent }: ItemJob): AttemptEnd {
  return {
    how: "broken",
    ending: { kind: "broken", text: texts.join("\n"), events: texts.length, upTo: lastEvent },
  };
}

/** The runner's result is whole. */
export function wholeEnd({ job, status }: ItemAttempt): AttemptEnd {
  const { texts, lastEvent } = job;
  /** A run that was asked to go on after the last event of all ends without another. */
  if (status === HTTP_OK && (texts.length > 0 || lastEvent !== undefined)) {
    const ending = { kind: "solved", text: texts.join("\n"), events: texts.length } as const;
    return { how: "done", ending };
  }
  if (status === HTTP_UNPROCESSABLE) return { how: "done", ending: { kind: "never" } };
  if (status === HTTP_SERVER_ERROR) return { how: "failed", ending: { kind: "trouble" } };
  return brokenEnd(job);
}
