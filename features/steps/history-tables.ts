import type {
  LotInput,
  LotOperation,
  LotOutput,
  PositionedResult,
  RegisterInput,
  RegisterOperation,
  RegisterOutput,
} from "@chutewick/history";

/** Reads histories written as tables: client, from, to, operation, answer (features/history.feature). */
export interface HistoryRow {
  readonly client: string;
  readonly from: string;
  readonly to: string;
  readonly operation: string;
  readonly answer: string;
}

/** The words of a cell after what the pattern names. */
function match(pattern: RegExp, cell: string): string[] | undefined {
  return pattern.exec(cell)?.slice(1);
}

/** "order NAME on BASE", "bad order NAME on BASE", "read" or "work". */
function registerInput({ operation, client }: HistoryRow): RegisterInput {
  const order = match(/^(bad )?order (\S+) on (\d+)$/, operation);
  if (order !== undefined) {
    const [bad, name, base] = order;
    return { kind: "order", order: name!, value: name, base: Number(base), isValid: !bad };
  }
  return operation === "read" ? { kind: "read" } : { kind: "observe", replica: client };
}

/** "unknown", "not-run", "invalid", "ok VERSION", "conflict VERSION" or "VERSION VALUE". */
function registerOutput(answer: string): RegisterOutput | undefined {
  if (answer === "unknown") return undefined;
  if (answer === "not-run" || answer === "invalid") return { kind: answer };
  const accepted = match(/^ok (\d+)$/, answer);
  if (accepted !== undefined) return { kind: "accepted", version: Number(accepted[0]) };
  const conflict = match(/^conflict (\d+)$/, answer);
  if (conflict !== undefined) return { kind: "conflict", version: Number(conflict[0]) };
  const [version, value] = answer.split(" ");
  return { kind: "value", version: Number(version), value };
}

/** One row of a history of the configuration. */
export function registerOperation(row: HistoryRow): RegisterOperation {
  return {
    client: row.client,
    calledAt: Number(row.from),
    returnedAt: Number(row.to),
    input: registerInput(row),
    output: registerOutput(row.answer),
  };
}

/** "admit", "end" or "read from POSITION". */
function lotInput(operation: string): LotInput {
  const from = match(/^read from (\d+)$/, operation);
  if (from !== undefined) return { kind: "read", from: Number(from[0]) };
  return { kind: operation === "end" ? "end" : "admit" };
}

/** "unknown", "refused", "not-run", "missing", "ended", "admitted NAME" or "open: ITEM=CONTENT ITEM=CONTENT". */
function lotOutput(input: LotInput, answer: string): LotOutput | undefined {
  if (answer === "unknown") return undefined;
  if (answer === "refused" || answer === "not-run") return { kind: answer };
  if (answer === "missing" || answer === "ended") return { kind: answer };
  const admitted = match(/^admitted (\S+)$/, answer);
  if (admitted !== undefined) return { kind: "admitted", lot: admitted[0]! };
  const [ending, listed = ""] = answer.split(":");
  const from = input.kind === "read" ? input.from : 0;
  const results: PositionedResult[] = [];
  for (const entry of listed.trim().split(" ").filter(Boolean)) {
    const [item, content] = entry.split("=");
    results.push({ position: from + results.length, item: item!, content: content! });
  }
  return { kind: "results", results, ending: ending === "open" ? undefined : ending };
}

/** One row of a history of a lot. */
export function lotOperation(row: HistoryRow): LotOperation {
  const input = lotInput(row.operation);
  return {
    client: row.client,
    calledAt: Number(row.from),
    returnedAt: Number(row.to),
    input,
    output: lotOutput(input, row.answer),
  };
}
