import type { LotReply } from "@chutewick/data";
import type { LotInput, LotOperation, LotOutput } from "@chutewick/history";

/** What the callers of a lot on a passage saw, as tools/history judges it (docs/testing.md §4). */

/** One request for a lot and what came of it; undefined where nothing came in time. */
export interface LotExchange {
  readonly lot: string;
  readonly input: LotInput;
  /** ms of virtual time. */
  readonly calledAt: number;
  readonly returnedAt: number;
  readonly told: LotReply | undefined;
}

function resultsOutput(
  from: number,
  { results, total }: Extract<LotReply, { kind: "results" }>,
): LotOutput {
  const isWhole = from + results.length === total;
  return {
    kind: "results",
    results: results.map(({ item, state, text }, offset) => ({
      position: from + offset,
      item,
      content: `${state} ${text}`,
    })),
    ending: isWhole ? "done" : undefined,
  };
}

/** "later" and bodies tell nothing of the lot's state. */
function outputOf({ lot, input, told }: LotExchange): LotOutput | undefined {
  switch (told?.kind) {
    case "taken":
      return { kind: "admitted", lot };
    /** Want of room is told by the queue's owner, which knows its lots; all else by a node that reached no owner. */
    case "refused":
      return { kind: told.room ? "refused" : "not-run" };
    case "missing":
    case "ended":
      return { kind: told.kind };
    case "results":
      return resultsOutput(input.kind === "read" ? input.from : 0, told);
    default:
      return undefined;
  }
}

/** The exchange as an operation of the lot's history. */
export function lotOperationOf(exchange: LotExchange): LotOperation {
  const { lot, input, calledAt, returnedAt } = exchange;
  return { client: lot, input, calledAt, returnedAt, output: outputOf(exchange) };
}
