import type { Operation } from "./history.js";
import type { Specification } from "./specification.js";

/**
 * One lot as its callers see it: admitted once under one name, each result recorded once at one position, and ended
 * once. Recording a result is no call of a client; it shows in the first read that tells it.
 */
export type LotInput =
  | { readonly kind: "admit" }
  /** Asks for the end of the lot. */
  | { readonly kind: "end" }
  /** Asks for the results from a position on. */
  | { readonly kind: "read"; readonly from: number };

/** What was answered. */
export type LotOutput =
  | { readonly kind: "admitted"; readonly lot: string }
  /** The lot is not admitted, by one who knows. */
  | { readonly kind: "refused" }
  /** This sending surely has no effect, by one who can't tell what became of others. */
  | { readonly kind: "not-run" }
  | { readonly kind: "ended" }
  | LotResults
  /** There is no such lot; lots are kept for longer than a history lasts. */
  | { readonly kind: "missing" };

/** Results recorded so far; what is not told from the asked position on was not recorded. */
export interface LotResults {
  readonly kind: "results";
  readonly results: readonly PositionedResult[];
  /** How the lot ended; undefined while it is open. */
  readonly ending: string | undefined;
}

/** A result and where it stands. */
export interface PositionedResult {
  readonly position: number;
  readonly item: string;
  /** The whole of the result, comparable as text. */
  readonly content: string;
}

/** An operation on one lot. */
export type LotOperation = Operation<LotInput, LotOutput>;

/** Rules that a history of a lot can break. */
export type LotRule =
  /** One lot was admitted under two names. */
  | "admitted-twice"
  /** It was refused though it had been admitted before. */
  | "admitted-then-refused"
  /** One item has results at two positions. */
  | "two-positions"
  /** A result differs from what was told before, or is told no more. */
  | "result-changed"
  /** A lot that was admitted is gone. */
  | "lot-items"
  /** It ended in two ways, or was open again after its end. */
  | "ended-twice";

/** What is known of the lot. */
export interface LotState {
  readonly isAdmitted: boolean;
  readonly lot: string | undefined;
  readonly results: ReadonlyMap<number, PositionedResult>;
  readonly isEndAsked: boolean;
  readonly ending: string | undefined;
}

const initial: LotState = {
  isAdmitted: false,
  lot: undefined,
  results: new Map(),
  isEndAsked: false,
  ending: undefined,
};

function stepAdmit(state: LotState, output: LotOutput | undefined): LotState | undefined {
  if (output?.kind === "not-run") return state;
  if (output?.kind === "refused") return state.isAdmitted ? undefined : state;
  if (output === undefined) return state.isAdmitted ? undefined : { ...state, isAdmitted: true };
  if (output.kind !== "admitted") return undefined;
  if (state.lot === output.lot) return state;
  return state.lot === undefined ? { ...state, isAdmitted: true, lot: output.lot } : undefined;
}

function stepEnd(state: LotState, output: LotOutput | undefined): LotState | undefined {
  if (output?.kind === "missing") return state.isAdmitted ? undefined : state;
  if (output !== undefined && output.kind !== "ended") return undefined;
  if (!state.isAdmitted) return undefined;
  if (state.isEndAsked) return output === undefined ? undefined : state;
  return { ...state, isEndAsked: true };
}

/** The first result that contradicts what is known, and the rule that it breaks. */
function contradiction(state: LotState, from: number, output: LotResults): LotRule | undefined {
  const told = new Map<number, PositionedResult>();
  const positions = new Map<string, number>();
  for (const { position, item } of state.results.values()) positions.set(item, position);
  for (const result of output.results) {
    const { position, item, content } = result;
    if (told.has(position)) return "two-positions";
    told.set(position, result);
    const held = state.results.get(position);
    if (held !== undefined && (held.item !== item || held.content !== content))
      return "result-changed";
    if ((positions.get(item) ?? position) !== position) return "two-positions";
    positions.set(item, position);
  }
  for (const position of state.results.keys())
    if (position >= from && !told.has(position)) return "result-changed";
  if (state.ending !== undefined && output.ending !== state.ending) return "ended-twice";
  return undefined;
}

function stepRead(
  state: LotState,
  from: number,
  output: LotOutput | undefined,
): LotState | undefined {
  if (output?.kind === "missing") return state.isAdmitted && !state.isEndAsked ? undefined : state;
  if (output?.kind !== "results" || !state.isAdmitted) return undefined;
  if (contradiction(state, from, output) !== undefined) return undefined;
  const added = output.results.filter(({ position }) => !state.results.has(position));
  if (added.length === 0 && output.ending === state.ending) return state;
  const results = new Map(state.results);
  for (const result of added) results.set(result.position, result);
  return { ...state, results, ending: output.ending };
}

function step(state: LotState, { input, output }: LotOperation): LotState | undefined {
  switch (input.kind) {
    case "admit":
      return stepAdmit(state, output);
    case "end":
      return stepEnd(state, output);
    case "read":
      return stepRead(state, input.from, output);
  }
}

function isSpent(state: LotState, { input }: LotOperation): boolean {
  switch (input.kind) {
    case "admit":
      return state.isAdmitted;
    case "end":
      return state.isEndAsked;
    case "read":
      return true;
  }
}

/** Only what is cheap to tell: histories of one lot have few states. */
function isExcluded(state: LotState, { input, output }: LotOperation): boolean {
  if (input.kind !== "admit" || output === undefined) return false;
  if (output.kind === "refused") return state.isAdmitted;
  return output.kind === "admitted" && state.lot !== undefined && state.lot !== output.lot;
}

function diagnose(state: LotState, { input, output }: LotOperation): LotRule {
  if (output?.kind === "admitted") return "admitted-twice";
  if (output?.kind === "refused") return "admitted-then-refused";
  if (input.kind !== "read" || output?.kind !== "results") return "lot-items";
  return contradiction(state, input.from, output) ?? "lot-items";
}

/** A look-up that contradicts what was known is taken for what the lot holds now. */
function resume(state: LotState, { input, output }: LotOperation): LotState {
  if (input.kind !== "read" || output?.kind !== "results") return state;
  const results = new Map([...state.results].filter(([position]) => position < input.from));
  for (const result of output.results) results.set(result.position, result);
  return { ...state, isAdmitted: true, results, ending: output.ending };
}

/** Results are only ever added, so their positions and what the rest of the state says tell states of one history apart. */
function keyOf({ isAdmitted, lot, results, isEndAsked, ending }: LotState): string {
  const sorted = [...results.values()].sort((left, right) => left.position - right.position);
  return JSON.stringify([isAdmitted, lot ?? null, isEndAsked, ending ?? null, sorted]);
}

function describeOutput(output: LotOutput | undefined): string {
  if (output === undefined) return "unknown";
  switch (output.kind) {
    case "admitted":
      return `admitted as ${output.lot}`;
    case "results": {
      const told = output.results.map(
        ({ position, item, content }) => `${position}: ${item} ${content.slice(0, 60)}`,
      );
      return `${output.ending ?? "open"}, ${told.length} results (${told.slice(0, 6).join(", ")})`;
    }
    default:
      return output.kind;
  }
}

function describeOperation({ input, output }: LotOperation): string {
  const what = input.kind === "read" ? `read from ${input.from}` : input.kind;
  return `${what}: ${describeOutput(output)}`;
}

function describeState({ isAdmitted, lot, results, ending }: LotState): string {
  if (!isAdmitted) return "not admitted";
  return `admitted as ${lot ?? "?"}, ${results.size} results, ${ending ?? "open"}`;
}

/** A lot's sequential behaviour, from before its admission. */
export const lotLog: Specification<LotState, LotInput, LotOutput> = {
  initial,
  step,
  key: keyOf,
  isSpent,
  isExcluded,
  diagnose,
  resume,
  describeState,
  describeOperation,
};
