import type {
  History,
  LotOperation,
  LotOutput,
  Operation,
  PositionedResult,
  RegisterInput,
  RegisterOperation,
  RegisterOutput,
  Specification,
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
      value: name,
      base: choice % 10 === 9 ? undefined : base,
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
    if (!input.isValid) return { input, output: { kind: "invalid" } };
    this.#versions.push({ version: version + 1, order: input.order });
    return { input, output: { kind: "accepted", version: version + 1 } };
  }

  #shown({ version, order }: { version: number; order: string | undefined }): RegisterOutput {
    return { kind: "value", version, value: order };
  }

  #observe(replica: string, choice: number): { input: RegisterInput; output: RegisterOutput } {
    const least = this.#seen.get(replica) ?? 0;
    const place = Math.max(least, this.#newest.version - (choice % 3));
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

/** Right and wrong histories of up to five operations. */
export const smallHistories: fc.Arbitrary<RegisterOperation[]> = fc.array(smallOperation, {
  minLength: 1,
  maxLength: 5,
});

/** Tries every order of the operations, with each unknown outcome placed anywhere or left out: slow and plain. */
export function isAllowedByTrial<State, Input, Output>(
  specification: Specification<State, Input, Output>,
  history: History<Input, Output>,
): boolean {
  function from(state: State, left: History<Input, Output>): boolean {
    if (left.every(({ output }) => output === undefined)) return true;
    return left.some((operation) => {
      const mustFollow = left.some(
        (other) => other.output !== undefined && other.returnedAt < operation.calledAt,
      );
      if (mustFollow) return false;
      const after = specification.step(state, operation);
      return (
        after !== undefined &&
        from(
          after,
          left.filter((other) => other !== operation),
        )
      );
    });
  }
  return from(specification.initial, history);
}
