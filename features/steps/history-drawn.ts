import type {
  LotOperation,
  LotOutput,
  Operation,
  PositionedResult,
  RegisterInput,
  RegisterOperation,
  RegisterOutput,
} from "@chutewick/history";
import fc from "fast-check";

/** Histories drawn from runs of a register and a lot that do one thing after another (features/history.feature). */

/** What a drawn operation does, and how far its call and return lie from its effect. */
interface Draw {
  readonly client: number;
  readonly action: number;
  readonly choice: number;
  readonly before: number;
  readonly after: number;
  readonly isLost: boolean;
}

/** ms between the effects of two operations that follow each other. */
const SPACING = 10;
/** ms that a call or return lies from the effect at most: some four operations overlap with each. */
const STRETCH_MOST = 40;

const draw: fc.Arbitrary<Draw> = fc.record({
  client: fc.nat(7),
  action: fc.nat(9),
  choice: fc.nat(99),
  before: fc.nat(STRETCH_MOST),
  after: fc.nat(STRETCH_MOST),
  isLost: fc.boolean(),
});

const draws = fc.array(draw, { minLength: 1, maxLength: 60 });

function stretched<Input, Output>(
  drawn: Draw,
  place: number,
  operation: { readonly input: Input; readonly output: Output | undefined },
): Operation<Input, Output> {
  return {
    client: `client-${drawn.client}`,
    calledAt: place * SPACING - drawn.before,
    returnedAt: place * SPACING + drawn.after,
    ...operation,
  };
}

/** A register that does one operation after another: the model that drawn histories come from. */
class SequentialRegister {
  #versions: { version: number; order: string | undefined }[] = [{ version: 0, order: undefined }];
  #sent: RegisterInput[] = [];
  #seen = new Map<string, number>();

  /** An order, an earlier one again, a read, or what a replica works with. */
  next({ action, choice }: Draw): { input: RegisterInput; output: RegisterOutput } {
    if (action < 5) return this.#order(this.#newOrder(choice));
    if (action < 7 && this.#sent.length > 0)
      return this.#order(this.#sent[choice % this.#sent.length]!);
    if (action < 9) return { input: { kind: "read" }, output: this.#shown(this.#newest) };
    return this.#observe(`replica-${choice % 2}`, choice);
  }

  get #newest(): { version: number; order: string | undefined } {
    return this.#versions.at(-1)!;
  }

  #newOrder(choice: number): RegisterInput {
    const base = Math.max(0, this.#newest.version - (choice % 3 === 0 ? 1 : 0));
    const name = `order-${this.#sent.length}`;
    const input: RegisterInput = {
      kind: "order",
      order: name,
      value: choice % 8 === 5 ? undefined : name,
      base: choice % 10 === 9 ? undefined : base,
      ...(choice % 4 === 3 ? { version: base + 1 + (choice % 3) } : {}),
      isValid: choice % 7 !== 6,
    };
    this.#sent.push(input);
    return input;
  }

  #order(input: RegisterInput): { input: RegisterInput; output: RegisterOutput } {
    if (input.kind !== "order") throw new Error("no order");
    const earlier = this.#versions.find(({ order }) => order === input.order);
    if (earlier !== undefined)
      return { input, output: { kind: "accepted", version: earlier.version } };
    const { version } = this.#newest;
    if (input.base !== undefined && input.base !== version)
      return { input, output: { kind: "conflict", version } };
    const next = input.version ?? version + 1;
    if (!input.isValid || next <= version) return { input, output: { kind: "invalid" } };
    this.#versions.push({ version: next, order: input.order });
    return { input, output: { kind: "accepted", version: next } };
  }

  #shown({ version, order }: { version: number; order: string | undefined }): RegisterOutput {
    return { kind: "value", version, value: order };
  }

  #observe(replica: string, choice: number): { input: RegisterInput; output: RegisterOutput } {
    const least = this.#seen.get(replica) ?? 0;
    const place = Math.max(least, this.#versions.length - 1 - (choice % 3));
    this.#seen.set(replica, place);
    return { input: { kind: "observe", replica }, output: this.#shown(this.#versions[place]!) };
  }
}

/** Observations of one replica follow each other, as in a replica's own record. */
function registerHistory(drawn: readonly Draw[]): RegisterOperation[] {
  const register = new SequentialRegister();
  return drawn.map((each, place) => {
    const operation = register.next(each);
    if (operation.input.kind === "observe")
      return stretched({ ...each, before: 0, after: 0 }, place, operation);
    return stretched(each, place, each.isLost ? { ...operation, output: undefined } : operation);
  });
}

/** Histories of the configuration that a register gave. */
export const registerHistories: fc.Arbitrary<RegisterOperation[]> = draws.map(registerHistory);

function lotAnswer(drawn: Draw, recorded: PositionedResult[], isEnded: boolean): LotOutput {
  const from = drawn.choice % (recorded.length + 1);
  return {
    kind: "results",
    results: recorded.slice(from),
    ending: isEnded ? "done" : undefined,
  };
}

function lotHistory(drawn: readonly Draw[]): LotOperation[] {
  const recorded: PositionedResult[] = [];
  const operations: LotOperation[] = [];
  const endsAt = Math.floor(drawn.length * 0.7);
  for (const [place, each] of drawn.entries()) {
    const isEnded = place >= endsAt;
    if (place === 0 || each.action < 2) {
      const output: LotOutput = { kind: "admitted", lot: "lot" };
      operations.push(stretched(each, place, { input: { kind: "admit" }, output }));
      continue;
    }
    if (!isEnded && each.action < 6) {
      const position = recorded.length;
      recorded.push({ position, item: `item-${position}`, content: `${each.choice}` });
    }
    const from = each.choice % (recorded.length + 1);
    const output = each.isLost ? undefined : lotAnswer(each, recorded, isEnded);
    operations.push(stretched(each, place, { input: { kind: "read", from }, output }));
  }
  return operations;
}

/** Histories of a lot that recorded one result after another. */
export const lotHistories: fc.Arbitrary<LotOperation[]> = draws.map(lotHistory);

const smallOperation: fc.Arbitrary<RegisterOperation> = fc
  .record({
    input: fc.oneof(
      fc.record({
        kind: fc.constant("order" as const),
        order: fc.constantFrom("a", "b"),
        base: fc.constantFrom(0, 1),
        isValid: fc.constant(true),
      }),
      fc.constant({ kind: "read" as const }),
    ),
    version: fc.nat(2),
    value: fc.constantFrom("a", "b", undefined),
    isAccepted: fc.boolean(),
    calledAt: fc.nat(12),
    lasts: fc.nat(8),
    isLost: fc.nat(3).map((number) => number === 0),
  })
  .map(({ input, version, value, isAccepted, calledAt, lasts, isLost }) => ({
    client: "client",
    calledAt,
    returnedAt: calledAt + lasts,
    input: input.kind === "order" ? { ...input, value: input.order } : input,
    output: isLost
      ? undefined
      : input.kind === "read"
        ? { kind: "value" as const, version, value }
        : { kind: isAccepted ? ("accepted" as const) : ("conflict" as const), version },
  }));

/** Histories of up to five operations and answers that have nothing to do with each other. */
export const smallHistories: fc.Arbitrary<RegisterOperation[]> = fc.array(smallOperation, {
  minLength: 1,
  maxLength: 5,
});

const SMALL_OPERATIONS_MOST = 10;
/** ms that a call or return lies from the effect at most: one or two operations overlap with each. */
const SMALL_STRETCH_MOST = 18;
/** Actions of the register with more observations than in long histories: two of one replica are needed for a fault. */
const smallActions = [0, 1, 5, 7, 9, 9] as const;

const smallDraw: fc.Arbitrary<Draw> = fc.record({
  client: fc.nat(3),
  action: fc.constantFrom(...smallActions),
  choice: fc.nat(99),
  before: fc.nat(SMALL_STRETCH_MOST),
  after: fc.nat(SMALL_STRETCH_MOST),
  isLost: fc.boolean(),
});

/** A right history of a few operations, all of which may overlap, those of one replica too. */
const smallRightHistory: fc.Arbitrary<RegisterOperation[]> = fc
  .array(smallDraw, { minLength: 2, maxLength: SMALL_OPERATIONS_MOST })
  .map((drawn) => {
    const register = new SequentialRegister();
    return drawn.map((each, place) => {
      const operation = register.next(each);
      const isLost = each.isLost && operation.input.kind === "order";
      return stretched(each, place, isLost ? { ...operation, output: undefined } : operation);
    });
  });

interface PlantedFault {
  /** Of the operation that is changed, counted round. */
  readonly place: number;
  readonly kind: "version" | "value" | "answer" | "moment";
  readonly shift: number;
}

const plantedFault: fc.Arbitrary<PlantedFault> = fc.record({
  place: fc.nat(SMALL_OPERATIONS_MOST - 1),
  kind: fc.constantFrom("version", "value", "answer", "moment"),
  shift: fc.constantFrom(-2, -1, 1, 2),
});

function withOtherVersion(output: RegisterOutput, shift: number): RegisterOutput {
  if (!("version" in output) || output.version === undefined) return output;
  return { ...output, version: Math.max(0, output.version + shift) };
}

function withOtherValue(output: RegisterOutput, shift: number): RegisterOutput {
  if (output.kind !== "value") return output;
  return { ...output, value: shift === -2 ? undefined : `order-${shift + 1}` };
}

function withOtherAnswer(input: RegisterInput, output: RegisterOutput): RegisterOutput {
  if (input.kind !== "order") return output;
  switch (output.kind) {
    case "accepted":
      return { kind: "conflict", version: output.version };
    case "conflict":
      return { kind: "accepted", version: (output.version ?? 0) + 1 };
    default:
      return { kind: "accepted", version: 1 };
  }
}

function planted(operation: RegisterOperation, { kind, shift }: PlantedFault): RegisterOperation {
  const { input, output, calledAt, returnedAt } = operation;
  if (output === undefined) return operation;
  switch (kind) {
    case "version":
      return { ...operation, output: withOtherVersion(output, shift) };
    case "value":
      return { ...operation, output: withOtherValue(output, shift) };
    case "answer":
      return { ...operation, output: withOtherAnswer(input, output) };
    case "moment": {
      const moved = shift * SMALL_STRETCH_MOST;
      return { ...operation, calledAt: calledAt + moved, returnedAt: returnedAt + moved };
    }
  }
}

/** Right histories of a few operations in which one answer, or the moments of one operation, were changed. */
export const plantedHistories: fc.Arbitrary<RegisterOperation[]> = fc
  .tuple(smallRightHistory, plantedFault)
  .map(([history, fault]) =>
    history.map((operation, place) =>
      place === fault.place % history.length ? planted(operation, fault) : operation,
    ),
  );
