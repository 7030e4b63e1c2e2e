/** Items of lots (batch jobs) on passages (configured routes), while an access node runs them (docs/design.md §13.7). */
import type { Claim, PassEnding, PassTask, Tenancy } from "@chutewick/parts";
import type { AttemptOutcome } from "./choice.js";
import type { PassageRequest, PassageWork } from "./dialect.js";
import { constants } from "@chutewick/parts";

const HTTP_OK = 200;
const HTTP_UNPROCESSABLE = 422;
const HTTP_SERVER_ERROR = 500;

/** A dequeued item, until its end is reported to the queue's owner. Times are in ms, monotonic. */
export interface ItemJob {
  readonly queue: string;
  readonly task: PassTask;
  readonly request: PassageRequest;
  /** No attempt starts after this time: the lot may have been ended since the item was granted. */
  readonly grantedUntil: number;
  /** Time from which it may be given up. */
  readonly expiresAt: number;
  readonly triedRunners: Set<string>;
  /** Data of the received events, in order. */
  readonly eventData: string[];
  /** Number of the last accepted event; undefined before the first. */
  lastEvent: number | undefined;
  lastProgressAt: number;
}

/** An attempt to run an item at one runner. */
export interface ItemAttempt {
  readonly job: ItemJob;
  readonly pool: string;
  readonly runner: string;
  readonly incarnation: number;
  /** HTTP status of the runner's response, once its head was received. */
  status: number | undefined;
}

/** How an attempt ended: `how` for the runner selection, `ending` for the owner of the queue. */
export interface AttemptEnd {
  readonly how: AttemptOutcome;
  readonly ending: PassEnding;
}

/** Until when an item may be started, and until when it may run. */
export type ItemTimes = Pick<ItemJob, "grantedUntil" | "expiresAt">;

/** Creates the job of an item that was just dequeued. */
export function createItemJob(
  queue: string,
  task: PassTask,
  times: ItemTimes,
  now: number,
): ItemJob {
  return {
    queue,
    task,
    request: requestOf(task),
    ...times,
    triedRunners: new Set(),
    eventData: [],
    lastEvent: task.upTo ?? undefined,
    lastProgressAt: now,
  };
}

function requestOf({ entry, host, upTo }: PassTask): PassageRequest {
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

/** The tenant that an item runs for: its lot's owner, whose credentials may have changed since. */
export function itemTenancy({ tenant }: PassTask, hasTenants: boolean): Tenancy | undefined {
  if (tenant !== undefined) return { tenant };
  return hasTenants ? { tenant: undefined } : undefined;
}

/** The request to a runner for an item. */
export function itemWork(
  { request, expiresAt, lastEvent }: ItemJob,
  runner: string,
  tenancy: Tenancy | undefined,
): PassageWork {
  return {
    request,
    runner,
    rank: constants.itemRank,
    until: expiresAt,
    resumeAfter: lastEvent,
    events: true,
    repeatable: true,
    tenancy,
  };
}

/** The claim by which the queue's owner identifies a dequeued item. */
export function claimOf({ task: { lot, index, go } }: ItemJob): Claim {
  return { lot, index, go };
}

/** The end of an attempt that broke off; its partial output is kept. */
export function brokenEnd({ eventData, lastEvent }: ItemJob): AttemptEnd {
  return {
    how: "broken",
    ending: {
      kind: "broken",
      text: eventData.join("\n"),
      events: eventData.length,
      upTo: lastEvent,
    },
  };
}

/** The end of an attempt whose response was received completely. */
export function completeEnd({ job, status }: ItemAttempt): AttemptEnd {
  const { eventData, lastEvent } = job;
  // A run that was resumed after the very last event ends without another one.
  if (status === HTTP_OK && (eventData.length > 0 || lastEvent !== undefined)) {
    const ending = {
      kind: "solved",
      text: eventData.join("\n"),
      events: eventData.length,
    } as const;
    return { how: "done", ending };
  }
  if (status === HTTP_UNPROCESSABLE) return { how: "done", ending: { kind: "never" } };
  if (status === HTTP_SERVER_ERROR) return { how: "failed", ending: { kind: "trouble" } };
  return brokenEnd(job);
}
