import type { RegisterInput, RegisterOperation, RegisterOutput } from "@chutewick/history";
import { Chance } from "@chutewick/simulator";

/** Eight operators at once on a register that answers in any order and loses most answers (features/history.feature). */
const OPERATORS = 8;
/** ms that one sending takes at most. */
const LASTS_MOST = 100;
const SENDINGS_MOST = 4;

class Race {
  readonly operations: RegisterOperation[] = [];
  #chance = new Chance(1);
  #lost: number;
  #version = 0;
  #applied = new Map<string, number>();
  #orders = 0;

  constructor(lost: number) {
    this.#lost = lost;
  }

  /** Effects come in the order of their moments, whoever called first. */
  run(orders: number): void {
    const operators = Array.from({ length: OPERATORS }, (_, number) => ({
      client: `operator-${number}`,
      at: this.#chance.between(0, LASTS_MOST),
      order: undefined as RegisterInput | undefined,
      sendings: 0,
    }));
    while (this.#orders < orders) {
      operators.sort((left, right) => left.at - right.at);
      const operator = operators[0]!;
      if (operator.order === undefined || operator.sendings >= SENDINGS_MOST) {
        operator.order = this.#newOrder();
        operator.sendings = 0;
      }
      operator.sendings += 1;
      if (this.#send(operator.client, operator.at, operator.order)) operator.order = undefined;
      operator.at += this.#chance.between(1, LASTS_MOST);
    }
  }

  #newOrder(): RegisterInput {
    this.#orders += 1;
    const order = `order-${this.#orders}`;
    return { kind: "order", order, value: order, base: this.#version, isValid: true };
  }

  /** Whether the answer came through. */
  #send(client: string, at: number, input: RegisterInput): boolean {
    const isLost = this.#chance.happens(this.#lost);
    this.operations.push({
      client,
      calledAt: at - this.#chance.between(0, LASTS_MOST),
      returnedAt: at + this.#chance.between(0, LASTS_MOST),
      input,
      output: isLost ? this.#answer(input, true) : this.#answer(input, false),
    });
    return !isLost;
  }

  #answer(input: RegisterInput, isLost: boolean): RegisterOutput | undefined {
    if (input.kind !== "order") return undefined;
    const earlier = this.#applied.get(input.order);
    let output: RegisterOutput;
    if (earlier !== undefined) output = { kind: "accepted", version: earlier };
    else if (input.base !== this.#version) output = { kind: "conflict", version: this.#version };
    else {
      this.#version += 1;
      this.#applied.set(input.order, this.#version);
      output = { kind: "accepted", version: this.#version };
    }
    return isLost ? undefined : output;
  }
}

/** A history of so many orders; each is sent again until an answer comes through, four times at most. */
export function racedHistory(orders: number, lost: number): RegisterOperation[] {
  const race = new Race(lost);
  race.run(orders);
  return race.operations;
}
