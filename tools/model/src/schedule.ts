/** The actions of a schedule, and how a schedule is written down. */

/** Everything under way arrives, one beat of all without that, or all links are whole again. */
export interface WorldAction {
  readonly kind: "settle" | "tick" | "heal";
}

/** ms. Time passes with everything delivered. */
export interface PassAction {
  readonly kind: "pass";
  readonly duration: number;
}

/** A message is named by its link, its kind and how many such are before it. */
export interface MessageAction {
  readonly kind: "deliver" | "lose" | "repeat";
  readonly from: string;
  readonly to: string;
  readonly message: string;
  readonly index: number;
}

/** A crash keeps the first of the transactions that are not synced. */
export interface CrashAction {
  readonly kind: "crash";
  readonly host: string;
  readonly kept: number;
}

/** stop, retire: a planned stop, with its disk or for good; isolate: cut off both ways; deafen: hears nobody; silence: is heard by nobody. */
export interface HostAction {
  readonly kind:
    | "sync"
    | "start"
    | "wipe"
    | "isolate"
    | "deafen"
    | "silence"
    | "freeze"
    | "wake"
    | "stall"
    | "unstall"
    | "fast"
    | "slow"
    | "stop"
    | "retire";
  readonly host: string;
}

/** A new order, the last one sent again word for word, or a read. */
export interface OperatorAction {
  readonly kind: "order" | "again" | "read";
  readonly operator: string;
  readonly host: string;
}

/** One step of a schedule. */
export type Action =
  WorldAction | PassAction | MessageAction | CrashAction | HostAction | OperatorAction;

/** An action as one line of a schedule. */
export function format(action: Action): string {
  return Object.values(action).join(" ");
}

const WORLD_KINDS: ReadonlySet<string> = new Set(["settle", "tick", "heal"]);
const MESSAGE_KINDS: ReadonlySet<string> = new Set(["deliver", "lose", "repeat"]);
const OPERATOR_KINDS: ReadonlySet<string> = new Set(["order", "again", "read"]);

/** The action of one line of a schedule, as `format` wrote it. */
export function parse(line: string): Action {
  const [kind = "", first = "", second = "", third = "", fourth = ""] = line.trim().split(/\s+/);
  if (WORLD_KINDS.has(kind)) return { kind: kind as WorldAction["kind"] };
  if (kind === "pass") return { kind, duration: Number(first) };
  if (kind === "crash") return { kind, host: first, kept: Number(second) };
  if (OPERATOR_KINDS.has(kind))
    return { kind: kind as OperatorAction["kind"], operator: first, host: second };
  if (!MESSAGE_KINDS.has(kind)) return { kind: kind as HostAction["kind"], host: first };
  const index = Number(fourth);
  return { kind: kind as MessageAction["kind"], from: first, to: second, message: third, index };
}
