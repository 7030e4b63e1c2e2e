import {
  judgeConfiguration,
  judge,
  lotLog,
  type Fault,
  type LotInput,
  type LotOperation,
  type LotOutput,
  type RegisterInput,
  type RegisterOperation,
  type RegisterOutput,
} from "@chutewick/history";

/** What was answered over HTTP. */
export interface Answer {
  readonly status: number;
  readonly body: Record<string, unknown>;
}

/** What the program of an operator told. */
export interface CommandResult {
  readonly code: number | null;
  readonly out: string;
  readonly trouble: string;
}

/** Exit codes of the program: something was refused, or another version is in force. */
const EXIT_REFUSED = 3;
const EXIT_CONFLICT = 4;

/** A request of the configuration, as its operator sends it. */
export interface ConfigurationRequest {
  readonly method: string;
  /** Tells orders apart; the same for all sendings of one. */
  readonly key?: string;
  /** The version that it builds on. */
  readonly base: number | undefined;
}

/** Records what operators and callers of a real fleet saw, and judges it (docs/testing.md §4). */
export class HistoryRecorder {
  #configuration: RegisterOperation[] = [];
  #lots = new Map<string, LotOperation[]>();
  #orders = 0;

  /** Sends a request of the configuration, and records what came of it; the outcome of one that throws is unknown. */
  async configuration<Told extends Answer>(
    request: ConfigurationRequest,
    send: () => Promise<Told>,
  ): Promise<Told> {
    const calledAt = performance.now();
    const record = (output: RegisterOutput | undefined): void => {
      const input = this.#input(request, output);
      const returnedAt = performance.now();
      this.#configuration.push({ client: "operator", input, calledAt, returnedAt, output });
    };
    try {
      const told = await send();
      record(request.method === "GET" ? readOutput(told) : orderOutput(told));
      return told;
    } catch (error) {
      record(undefined);
      throw error;
    }
  }

  /** Runs a command that changes the configuration, and records what it told. */
  async command(
    words: readonly string[],
    run: () => Promise<CommandResult>,
  ): Promise<CommandResult> {
    const mark = words.indexOf("--mark");
    const base = mark < 0 ? undefined : Number(words[mark + 1]);
    const calledAt = performance.now();
    const told = await run();
    const output = commandOutput(told, base);
    const input = this.#input({ method: "PATCH", base }, output);
    const returnedAt = performance.now();
    this.#configuration.push({ client: "program", input, calledAt, returnedAt, output });
    return told;
  }

  /** Sends a request for a lot, and records what came of it. */
  async lot<Told extends Answer>(
    key: string,
    input: LotInput,
    send: () => Promise<Told>,
  ): Promise<Told> {
    const operations = this.#lots.get(key) ?? [];
    this.#lots.set(key, operations);
    const calledAt = performance.now();
    const record = (output: LotOutput | undefined): void => {
      operations.push({ client: key, input, calledAt, returnedAt: performance.now(), output });
    };
    try {
      const told = await send();
      record(input.kind === "read" ? lookUpOutput(told) : handInOutput(told));
      return told;
    } catch (error) {
      record(undefined);
      throw error;
    }
  }

  /** Everything that was seen and can't have been. */
  judge(): Fault[] {
    const faults = judgeConfiguration(this.#configuration);
    for (const [key, operations] of this.#lots)
      for (const { rule, facts } of judge(lotLog, operations))
        faults.push({ rule, facts: `${key}: ${facts}` });
    return faults;
  }

  /** The control group alone knows what content is valid; what it finds invalid may not take effect. */
  #input(
    { method, key, base }: ConfigurationRequest,
    output: RegisterOutput | undefined,
  ): RegisterInput {
    if (method === "GET") return { kind: "read" };
    this.#orders += 1;
    const order = key ?? `order ${this.#orders}`;
    return { kind: "order", order, value: undefined, base, isValid: output?.kind !== "invalid" };
  }
}

/** The version is taken from what is printed; without one it stays open what the order became. */
function commandOutput(
  { code, out }: CommandResult,
  base: number | undefined,
): RegisterOutput | undefined {
  if (code === EXIT_REFUSED) return { kind: "invalid" };
  if (code === EXIT_CONFLICT)
    return base === undefined ? { kind: "not-run" } : { kind: "conflict", version: undefined };
  const version = /mark\D{0,4}(\d+)/.exec(out)?.[1];
  if (code !== 0 || version === undefined) return undefined;
  return { kind: "accepted", version: Number(version) };
}

function orderOutput({ status, body }: Answer): RegisterOutput | undefined {
  const version = body["mark"] as number;
  switch (status) {
    case 200:
      return { kind: "accepted", version };
    case 409:
      return { kind: "conflict", version };
    case 422:
      return { kind: "invalid" };
    case 503:
      return { kind: "not-run" };
    default:
      return undefined;
  }
}

function readOutput({ status, body }: Answer): RegisterOutput | undefined {
  if (status !== 200) return undefined;
  const value = JSON.stringify(body["configuration"]);
  return { kind: "value", version: body["mark"] as number, value };
}

function handInOutput({ status, body }: Answer): LotOutput | undefined {
  if (status === 202) return { kind: "admitted", lot: body["lot"] as string };
  return status === 429 ? { kind: "refused" } : undefined;
}

interface ItemView {
  readonly index: number;
  readonly state: string;
}

const finalStates = ["solved", "failed", "cancelled"];
const lotEndings = ["done", "cancelled"];

function lookUpOutput({ status, body }: Answer): LotOutput | undefined {
  if (status === 404) return { kind: "missing" };
  if (status !== 200) return undefined;
  const results = (body["items"] as ItemView[])
    .filter(({ state }) => finalStates.includes(state))
    .map((item) => ({
      position: item.index,
      item: String(item.index),
      content: JSON.stringify(item),
    }));
  const state = body["state"] as string;
  return { kind: "results", results, ending: lotEndings.includes(state) ? state : undefined };
}
