import type { OrderInput, RegisterOperation, RegisterOutput } from "@chutewick/history";

/**
 * The definition of an allowed history once more, as plainly as it can be written: every order of the operations is
 * tried, on a register and its replicas together, without any of the search's means (features/history.feature).
 */

interface Written {
  readonly version: number;
  readonly order: string | undefined;
  /** Undefined for an order whose client can't tell it, until it is read. */
  readonly value: string | undefined;
}

interface Reference {
  readonly written: readonly Written[];
  readonly seen: Readonly<Record<string, number>>;
}

const blank: Reference = {
  written: [{ version: 0, order: undefined, value: undefined }],
  seen: {},
};

function newestOf({ written }: Reference): Written {
  return written.at(-1)!;
}

function shows({ order, value }: Written, told: string | undefined): boolean {
  const isWild = order !== undefined && value === undefined;
  return isWild || value === told;
}

function write(reference: Reference, order: OrderInput): Reference | undefined {
  const inForce = newestOf(reference).version;
  const version = order.version ?? inForce + 1;
  const isBaseInForce = order.base === undefined || order.base === inForce;
  if (!order.isValid || !isBaseInForce || version <= inForce) return undefined;
  const written = { version, order: order.order, value: order.value };
  return { ...reference, written: [...reference.written, written] };
}

/** The answer to an order that was taken already. */
function repeated(
  reference: Reference,
  taken: Written,
  output: RegisterOutput | undefined,
): Reference | undefined {
  return output?.kind === "accepted" && output.version === taken.version ? reference : undefined;
}

function refused(
  reference: Reference,
  order: OrderInput,
  output: RegisterOutput,
): Reference | undefined {
  const inForce = newestOf(reference).version;
  if (output.kind === "invalid") {
    const isTooLow = order.version !== undefined && order.version <= inForce;
    return !order.isValid || isTooLow ? reference : undefined;
  }
  if (output.kind !== "conflict" || order.base === undefined || order.base === inForce)
    return undefined;
  return (output.version ?? inForce) === inForce ? reference : undefined;
}

function sent(
  reference: Reference,
  order: OrderInput,
  output: RegisterOutput | undefined,
): Reference | undefined {
  if (output?.kind === "not-run") return reference;
  const taken = reference.written.find((each) => each.order === order.order);
  if (taken !== undefined) return repeated(reference, taken, output);
  if (output === undefined) return write(reference, order);
  if (output.kind !== "accepted") return refused(reference, order, output);
  const next = write(reference, order);
  return next !== undefined && newestOf(next).version === output.version ? next : undefined;
}

function read(reference: Reference, output: RegisterOutput | undefined): Reference | undefined {
  const newest = newestOf(reference);
  if (output?.kind !== "value" || output.version !== newest.version) return undefined;
  if (!shows(newest, output.value)) return undefined;
  const written = [...reference.written.slice(0, -1), { ...newest, value: output.value }];
  return { ...reference, written };
}

function observe(
  reference: Reference,
  replica: string,
  output: RegisterOutput | undefined,
): Reference | undefined {
  if (output?.kind !== "value") return undefined;
  const { version, value } = output;
  if ((reference.seen[replica] ?? 0) > version) return undefined;
  const held = reference.written.find((each) => each.version === version);
  if (held === undefined || !shows(held, value)) return undefined;
  return { ...reference, seen: { ...reference.seen, [replica]: version } };
}

function after(reference: Reference, { input, output }: RegisterOperation): Reference | undefined {
  switch (input.kind) {
    case "order":
      return sent(reference, input, output);
    case "read":
      return read(reference, output);
    case "observe":
      return observe(reference, input.replica, output);
  }
}

/** Whether the operations that are left can follow; what was tried in vain is not tried again. */
function canFollow(
  reference: Reference,
  left: readonly RegisterOperation[],
  inVain: Set<string>,
): boolean {
  const answered = left.filter(({ output }) => output !== undefined);
  if (answered.length === 0) return true;
  const tried = JSON.stringify([reference, left]);
  if (inVain.has(tried)) return false;
  for (const operation of left) {
    if (answered.some(({ returnedAt }) => returnedAt < operation.calledAt)) continue;
    const next = after(reference, operation);
    const others = left.filter((other) => other !== operation);
    if (next !== undefined && canFollow(next, others, inVain)) return true;
  }
  inVain.add(tried);
  return false;
}

/** Tries every order of the operations, with each unknown outcome placed anywhere or left out: slow and plain. */
export function isAllowedByTrial(history: readonly RegisterOperation[]): boolean {
  return canFollow(blank, history, new Set());
}
