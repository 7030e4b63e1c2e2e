import { constants } from "@chutewick/parts";
import { judgeHistories } from "./histories.js";
import type { RunRecord } from "./runners.js";

/** Compares what callers, runners and operators saw with every line of what must never happen (docs/testing.md §3). */
export interface RequestRecord {
  readonly prompt: string;
  readonly kind: "one-shot" | "stream" | "fetch";
  readonly askedAt: number;
  endedAt?: number;
  told?: "done" | "not-run" | "may-have-run" | "runner-failed" | "torn" | "left" | "refused";
  value?: unknown;
  readonly pieces: { number: number; data: unknown }[];
  closed?: number;
}

export interface LotRecord {
  readonly key: string;
  readonly count: number;
  /** What it brings of its own. */
  readonly labels?: Readonly<Record<string, string>>;
  readonly tries: string[];
  lot?: string;
  acceptedAt?: number;
  /** By what the caller was told of the time it has. */
  endsAt?: number;
  cancelAskedAt?: number;
  cancelledAt?: number;
  readonly views: LotView[];
  /** Each sending of it, as its caller saw it. */
  readonly handIns: HandInRecord[];
}

export interface HandInRecord {
  readonly askedAt: number;
  readonly at: number;
  /** "accepted", "refused", or what else was told; all else leaves its outcome unknown. */
  readonly told: string;
  readonly lot: string | undefined;
}

export interface LotView {
  readonly askedAt: number;
  readonly at: number;
  /** It was said that there is no such lot. */
  readonly missing?: boolean;
  readonly state: string;
  readonly items: readonly { index: number; state: string; result?: unknown; reason?: string }[];
}

export interface ChangeRecord {
  readonly id: string;
  readonly kind: "good" | "malformed" | "racing";
  readonly askedAt: number;
  endedAt?: number;
  /** The mark it builds on. */
  readonly expected: number;
  /** Of all sendings of one order; its own id where it is sent once. */
  readonly order?: string;
  /** Names what it writes; its own id where absent. */
  readonly value?: string;
  /** The mark it is to get; the next where absent. */
  readonly version?: number;
  told?: "confirmed" | "conflict" | "refused" | "not-run" | "unknown";
  /** The mark that it got, or the one that was in force instead. */
  mark?: number;
}

export interface ReadRecord {
  readonly askedAt: number;
  readonly at: number;
  readonly mark: number;
  /** Names of the changes that the configuration holds. */
  readonly id: string | undefined;
}

export interface BeginRecord {
  readonly node: string;
  readonly at: number;
  readonly mark: number;
  readonly id: string | undefined;
}

export interface DeregistrationRecord {
  readonly runner: string;
  readonly incarnation: number;
  readonly saidAt: number;
  /** When its word first reached a process that was not frozen. */
  heardAt?: number;
  confirmedAt?: number;
}

export interface Sight {
  readonly inquiries: RequestRecord[];
  readonly lots: LotRecord[];
  /** The sendings of the first configuration. */
  readonly founding: ChangeRecord[];
  readonly changes: ChangeRecord[];
  readonly reads: ReadRecord[];
  readonly begins: BeginRecord[];
  readonly deregistrations: DeregistrationRecord[];
  readonly runs: RunRecord[];
  readonly waiting: { at: number; waiting: number; allowance: number }[];
  /** When all was mended, and when each kind of service was first seen whole again. */
  healedAt: number;
  serviceAt: { live?: number; lot?: number; change?: number; finished?: number };
  readonly deadline: number;
  /** Whether, at the end, three whole copies of everything stand, and an emptied machine holds none. */
  repaired: boolean;
  emptiedHolds: boolean;
}

export interface Violation {
  readonly rule: string;
  readonly facts: string;
}

/** ms. Rules that say "about": the bound of the brief and a tenth. */
const about = 1.1;

export function check(sight: Sight): Violation[] {
  const found: Violation[] = [];
  function breach(rule: string, facts: string): void {
    found.push({ rule, facts });
  }
  const byPrompt = new Map<string, RunRecord[]>();
  const byItem = new Map<string, RunRecord[]>();
  for (const run of sight.runs) {
    if (typeof run.prompt === "string") add(byPrompt, run.prompt, run);
    else if (run.prompt === null)
      breach("result-changed", `${run.inquiry} ran again after it had ended`);
    else {
      const { key, slip } = run.prompt as { key: string; slip: number };
      add(byItem, `${key}/${slip}`, run);
    }
  }
  checkRequests(sight, byPrompt, breach);
  checkLots(sight, byItem, breach);
  checkPromptness(sight, breach);
  found.push(...judgeHistories(sight));
  for (const deregistration of sight.deregistrations) {
    const { heardAt } = deregistration;
    if (heardAt === undefined) continue;
    for (const run of sight.runs) {
      if (run.runner !== deregistration.runner || run.incarnation !== deregistration.incarnation)
        continue;
      if (run.at > heardAt + 2_000 * about)
        breach(
          "goodbye",
          `${run.runner} got work ${Math.round(run.at - heardAt)} ms after its goodbye was heard`,
        );
      /** Work sent before the deregistration may still be on its way for a moment. */
      else if (
        deregistration.confirmedAt !== undefined &&
        run.at > deregistration.confirmedAt + 10 &&
        run.at > heardAt + 2_000
      )
        breach(
          "goodbye",
          `${run.runner} got work ${Math.round(run.at - deregistration.confirmedAt)} ms after its goodbye was confirmed`,
        );
    }
  }
  for (const { at, waiting, allowance } of sight.waiting)
    if (waiting > allowance * 1.1)
      breach("allowance", `${waiting} items wait at ${Math.round(at)}, and ${allowance} may`);
  if (!sight.repaired) breach("repair", "three whole copies of everything do not stand at the end");
  if (sight.emptiedHolds)
    breach("repair", "a machine to be emptied still holds a queue at the end");
  const { live, lot, change, finished } = sight.serviceAt;
  for (const [what, at] of Object.entries({ live, lot, change, finished })) {
    if (at === undefined) breach("service", `${what}: not back after the last fault`);
    else if (what !== "finished" && at - sight.healedAt > 12_000)
      breach(
        "service",
        `${what}: back only ${Math.round(at - sight.healedAt)} ms after the last fault`,
      );
  }
  return found;
}

function add(into: Map<string, RunRecord[]>, key: string, run: RunRecord): void {
  const held = into.get(key);
  if (held === undefined) into.set(key, [run]);
  else held.push(run);
}

function checkRequests(
  sight: Sight,
  byPrompt: ReadonlyMap<string, RunRecord[]>,
  breach: (rule: string, facts: string) => void,
): void {
  for (const request of sight.inquiries) {
    const runs = byPrompt.get(request.prompt) ?? [];
    if (runs.length > 1) breach("runs-twice", `${request.prompt} ran ${runs.length} times`);
    if (request.told === "not-run" && runs.length > 0)
      breach("not-run-ran", `${request.prompt} was told not run, and ran at ${runs[0]!.runner}`);
    if (request.kind === "stream") checkStream(request, runs, breach);
    else if (request.told === "done") {
      const expected =
        request.kind === "fetch"
          ? `label for ${request.prompt}`
          : JSON.stringify({ read: request.prompt });
      const got = request.kind === "fetch" ? request.value : JSON.stringify(request.value);
      if (got !== expected) breach("someone-elses", `${request.prompt} got ${String(got)}`);
      if (runs[0]?.ending !== "done")
        breach(
          "partial-looks-whole",
          `${request.prompt} was told done, and its run ended ${runs[0]?.ending ?? "never"}`,
        );
    }
  }
}

function checkStream(
  request: RequestRecord,
  runs: readonly RunRecord[],
  breach: (rule: string, facts: string) => void,
): void {
  const from = new Set<number>();
  for (const [place, piece] of request.pieces.entries()) {
    const data = piece.data as { prompt: unknown; run: number; text: number };
    if (piece.number !== place || data.text !== place)
      breach(
        "stream-pieces",
        `${request.prompt}: piece ${piece.number} with text ${data.text} at place ${place}`,
      );
    if (data.prompt !== request.prompt)
      breach("someone-elses", `${request.prompt} got a piece of ${String(data.prompt)}`);
    from.add(data.run);
  }
  if (from.size > 1) breach("stream-pieces", `${request.prompt} joins ${from.size} runs`);
  if (
    request.told === "done" &&
    (runs[0]?.ending !== "done" ||
      runs[0].pieces.length !== request.pieces.length ||
      request.closed !== request.pieces.length)
  ) {
    breach(
      "partial-looks-whole",
      `${request.prompt} was closed with ${request.pieces.length} pieces of ${runs[0]?.pieces.length ?? 0}, run ${runs[0]?.ending ?? "never"}`,
    );
  }
}

function checkLots(
  sight: Sight,
  byItem: ReadonlyMap<string, RunRecord[]>,
  breach: (rule: string, facts: string) => void,
): void {
  for (const lot of sight.lots) {
    const refused = lot.tries.length > 0 && lot.tries.every(isRefusal);
    for (let slip = 0; slip < lot.count; slip += 1) {
      const runs = byItem.get(`${lot.key}/${slip}`) ?? [];
      if (refused && runs.length > 0)
        breach(
          "refused-lot-ran",
          `${lot.key} was refused at each of ${lot.tries.length} tries, and item ${slip} ran`,
        );
      if (lot.cancelledAt !== undefined) {
        for (const run of runs)
          if (run.at > lot.cancelledAt + 3_000 * about)
            breach(
              "cancelled-lot-ran",
              `${lot.key} item ${slip} began ${Math.round(run.at - lot.cancelledAt)} ms after its cancelling`,
            );
      }
    }
    if (lot.acceptedAt === undefined) continue;
    for (const view of lot.views) {
      const indexes = new Set<number>();
      for (const item of view.items) {
        if (indexes.has(item.index))
          breach("lot-items", `${lot.key} lists item ${item.index} twice`);
        indexes.add(item.index);
        const runs = byItem.get(`${lot.key}/${item.index}`) ?? [];
        if (item.state === "solved") checkSolved(lot, item, runs, breach);
        if (item.state === "failed") {
          let troubles = 0;
          for (const run of runs) if (run.ending === "trouble") troubles += 1;
          if (
            troubles < constants.troublesMost &&
            view.at < (lot.endsAt ?? lot.acceptedAt + sight.deadline)
          )
            breach(
              "given-up-early",
              `${lot.key} item ${item.index} failed after ${troubles} troubles: ${item.reason ?? ""}`,
            );
        }
      }
      if (indexes.size !== lot.count)
        breach("lot-items", `${lot.key} lists ${indexes.size} of ${lot.count} items`);
    }
    if (lot.views.length === 0)
      breach("lot-items", `${lot.key} was accepted and could never be looked up`);
    else if (lot.views.at(-1)!.state !== "done" && lot.views.at(-1)!.state !== "cancelled")
      breach("lot-items", `${lot.key} was accepted and never ended: ${lot.views.at(-1)!.state}`);
  }
}

function checkSolved(
  lot: LotRecord,
  item: LotView["items"][number],
  runs: readonly RunRecord[],
  breach: (rule: string, facts: string) => void,
): void {
  const pieces = item.result as {
    prompt: { key: string; slip: number } | null;
    run: number;
    text: number;
  }[];
  const from = new Set<number>();
  for (const [place, piece] of pieces.entries()) {
    from.add(piece.run);
    if (piece.prompt?.key !== lot.key || piece.prompt.slip !== item.index)
      breach(
        "someone-elses",
        `${lot.key} item ${item.index} has a piece of ${piece.prompt?.key}/${piece.prompt?.slip}`,
      );
    if (piece.text !== place)
      breach(
        "stream-pieces",
        `${lot.key} item ${item.index}: text ${piece.text} at place ${place}`,
      );
  }
  let whole = false;
  for (const run of runs)
    if (from.has(run.number) && run.ending === "done" && run.pieces.length === pieces.length)
      whole = true;
  if (from.size !== 1 || !whole)
    breach(
      "partial-looks-whole",
      `${lot.key} item ${item.index} has ${pieces.length} pieces of ${from.size} runs, none of them whole`,
    );
}

function isRefusal(told: string): boolean {
  return told === "refused";
}

/** Whether new work keeps to a change about 2 s after it was acknowledged; orders themselves are judged as histories. */
function checkPromptness(sight: Sight, breach: (rule: string, facts: string) => void): void {
  for (const begin of sight.begins)
    for (const change of sight.changes) {
      if (change.told !== "confirmed" || begin.mark >= change.mark!) continue;
      const late = begin.at - change.endedAt!;
      if (late > 2_000 * about)
        breach(
          "change-ignored",
          `${begin.node} began work on mark ${begin.mark} ${Math.round(late)} ms after ${change.mark} was confirmed`,
        );
    }
}

/** ms. The latest moments at which a rule's time limit was still used; a negative one means that nothing came after. */
export interface Worst {
  /** New work at a runner after its deregistration was confirmed, and after it was heard. */
  goodbyeConfirmed: number;
  goodbyeHeard: number;
  /** Work begun on an older mark after a change was confirmed. */
  change: number;
  /** A new item of a lot after its cancelling was told as done, and after it was asked for. */
  cancel: number;
  cancelAsked: number;
}

export function worst(sight: Sight): Worst {
  const found: Worst = {
    goodbyeConfirmed: -1,
    goodbyeHeard: -1,
    change: -1,
    cancel: -1,
    cancelAsked: -1,
  };
  for (const deregistration of sight.deregistrations) {
    for (const run of sight.runs) {
      if (
        run.runner !== deregistration.runner ||
        run.incarnation !== deregistration.incarnation ||
        deregistration.heardAt === undefined
      )
        continue;
      if (deregistration.confirmedAt !== undefined)
        found.goodbyeConfirmed = Math.max(
          found.goodbyeConfirmed,
          run.at - deregistration.confirmedAt,
        );
      found.goodbyeHeard = Math.max(found.goodbyeHeard, run.at - deregistration.heardAt);
    }
  }
  for (const change of sight.changes) {
    if (change.told !== "confirmed") continue;
    for (const begin of sight.begins)
      if (begin.mark < change.mark!)
        found.change = Math.max(found.change, begin.at - change.endedAt!);
  }
  measureCancels(sight, found);
  return found;
}

/** How late new items of cancelled lots began. */
function measureCancels(sight: Sight, found: Worst): void {
  const cancelled = new Map<string, LotRecord>();
  for (const lot of sight.lots) if (lot.cancelledAt !== undefined) cancelled.set(lot.key, lot);
  for (const run of sight.runs) {
    const lot =
      typeof run.prompt === "string"
        ? undefined
        : cancelled.get((run.prompt as { key: string } | null)?.key ?? "");
    if (lot === undefined) continue;
    found.cancel = Math.max(found.cancel, run.at - lot.cancelledAt!);
    found.cancelAsked = Math.max(found.cancelAsked, run.at - lot.cancelAskedAt!);
  }
}
