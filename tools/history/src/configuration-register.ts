import type { History, Operation } from "./history.js";
import type { Specification } from "./specification.js";

/**
 * The configuration as a compare-and-set register with versions.
 *
 * An order replaces the value where the register still holds the version that it builds on. All sendings of one order
 * are one change: the first that takes effect applies it, and every later one is acknowledged with the same version.
 */
export type RegisterInput =
  | OrderInput
  | { readonly kind: "read" }
  /** What a replica works with, which may be old; that it never goes back is judged apart (replica-progress.ts). */
  | { readonly kind: "observe"; readonly replica: string };

/** One sending of an order. */
export interface OrderInput {
  readonly kind: "order";
  /** The same for all sendings of one order. */
  readonly order: string;
  /** Names the value it writes; undefined where the client can't tell it, and any value may be read there. */
  readonly value: string | undefined;
  /** The version it builds on; undefined for one that builds on any. */
  readonly base: number | undefined;
  /** The version it is to become, above the one in force; undefined: the next. */
  readonly version?: number;
  /** Whether its content may take effect at all. */
  readonly isValid: boolean;
}

/** What was answered. */
export type RegisterOutput =
  | { readonly kind: "accepted"; readonly version: number }
  /** Another version is in force: this one, where the answer tells it. */
  | { readonly kind: "conflict"; readonly version: number | undefined }
  /** Its content, or the version it was to become, was found wrong. */
  | { readonly kind: "invalid" }
  /** This sending surely has no effect. */
  | { readonly kind: "not-run" }
  | { readonly kind: "value"; readonly version: number; readonly value: string | undefined };

/** An operation on the configuration. */
export type RegisterOperation = Operation<RegisterInput, RegisterOutput>;

/** Rules that a history of the configuration can break. */
export type RegisterRule =
  /** Two orders were acknowledged on one base, or with one version. */
  | "two-winners"
  /** An acknowledged order isn't there any more, or is not there yet for a later read. */
  | "confirmed-gone"
  /** An order that was refused, or could not be valid, took effect. */
  | "refused-takes-effect"
  /** Two sendings of one order took effect, each with a version of its own. */
  | "applied-twice"
  /** An order was refused though it had been acknowledged, or was in force, before. */
  | "taken-then-refused";

interface VersionContent {
  readonly version: number;
  readonly order: string | undefined;
  readonly value: string | undefined;
}

/** A version that was in force, and all before it. */
interface Version extends VersionContent {
  readonly previous: Version | undefined;
  /** One for each sequence of versions. */
  readonly id: number;
  readonly following: Map<string, Version>;
}

/** The versions so far. */
export interface RegisterState {
  readonly newest: Version;
}

const none: VersionContent = { version: 0, order: undefined, value: undefined };
let lastId = 0;

function versionAfter(previous: Version | undefined, content: VersionContent): Version {
  lastId += 1;
  return { ...content, previous, id: lastId, following: new Map() };
}

function find(newest: Version, holds: (version: Version) => boolean): Version | undefined {
  for (let at: Version | undefined = newest; at !== undefined; at = at.previous)
    if (holds(at)) return at;
  return undefined;
}

function appliedAs({ newest }: RegisterState, order: string): Version | undefined {
  return find(newest, (version) => version.order === order);
}

function isShownBy(version: Version, value: string | undefined): boolean {
  return version.order !== undefined && version.value === undefined
    ? true
    : version.value === value;
}

/** The state with the order in force, or undefined where it can't be. */
function applied(state: RegisterState, order: OrderInput): RegisterState | undefined {
  const { newest } = state;
  if (!order.isValid || appliedAs(state, order.order) !== undefined) return undefined;
  if (order.base !== undefined && order.base !== newest.version) return undefined;
  if (order.version !== undefined && order.version <= newest.version) return undefined;
  const key = JSON.stringify([order.order, order.version ?? null, order.value ?? null]);
  let next = newest.following.get(key);
  if (next === undefined) {
    const version = order.version ?? newest.version + 1;
    next = versionAfter(newest, { version, order: order.order, value: order.value });
    newest.following.set(key, next);
  }
  return { newest: next };
}

function accept(
  state: RegisterState,
  order: OrderInput,
  version: number,
): RegisterState | undefined {
  const earlier = appliedAs(state, order.order);
  if (earlier !== undefined) return earlier.version === version ? state : undefined;
  const next = applied(state, order);
  return next?.newest.version === version ? next : undefined;
}

function refuse(
  state: RegisterState,
  order: OrderInput,
  version: number | undefined,
): RegisterState | undefined {
  if (appliedAs(state, order.order) !== undefined) return undefined;
  if (order.base === undefined || order.base === state.newest.version) return undefined;
  return version === undefined || version === state.newest.version ? state : undefined;
}

function reject(state: RegisterState, order: OrderInput): RegisterState | undefined {
  if (appliedAs(state, order.order) !== undefined) return undefined;
  const isTooLow = order.version !== undefined && order.version <= state.newest.version;
  return !order.isValid || isTooLow ? state : undefined;
}

function stepOrder(
  state: RegisterState,
  order: OrderInput,
  output: RegisterOutput | undefined,
): RegisterState | undefined {
  switch (output?.kind) {
    case undefined:
      return applied(state, order);
    case "accepted":
      return accept(state, order, output.version);
    case "conflict":
      return refuse(state, order, output.version);
    case "invalid":
      return reject(state, order);
    case "not-run":
      return state;
    case "value":
      return undefined;
  }
}

/** A value that the order's client couldn't tell is known from the first read on. */
function withValue({ newest }: RegisterState, value: string | undefined): RegisterState {
  const key = JSON.stringify(["value", value]);
  let known = newest.following.get(key);
  if (known === undefined) {
    known = versionAfter(newest.previous, { ...contentOf(newest), value });
    newest.following.set(key, known);
  }
  return { newest: known };
}

function contentOf({ version, order, value }: Version): VersionContent {
  return { version, order, value };
}

function stepRead(
  state: RegisterState,
  output: RegisterOutput | undefined,
): RegisterState | undefined {
  const { newest } = state;
  if (output?.kind !== "value" || newest.version !== output.version) return undefined;
  if (newest.value === output.value) return state;
  return isShownBy(newest, output.value) ? withValue(state, output.value) : undefined;
}

/** A replica may work with any version that was in force; this changes nothing. */
function stepObserve(
  state: RegisterState,
  output: RegisterOutput | undefined,
): RegisterState | undefined {
  if (output?.kind !== "value") return undefined;
  const held = find(state.newest, ({ version }) => version === output.version);
  return held !== undefined && isShownBy(held, output.value) ? state : undefined;
}

function step(
  state: RegisterState,
  { input, output }: RegisterOperation,
): RegisterState | undefined {
  switch (input.kind) {
    case "order":
      return stepOrder(state, input, output);
    case "read":
      return stepRead(state, output);
    case "observe":
      return stepObserve(state, output);
  }
}

function isSpent(state: RegisterState, { input }: RegisterOperation): boolean {
  if (input.kind !== "order" || !input.isValid) return true;
  if (input.base !== undefined && input.base < state.newest.version) return true;
  if (input.version !== undefined && input.version <= state.newest.version) return true;
  return appliedAs(state, input.order) !== undefined;
}

// What can stand no more: versions only grow, and each is written once.

/** Whether another sending of the order can't have applied it either, whatever base that one names. */
function isAcceptExcluded(state: RegisterState, order: OrderInput, version: number): boolean {
  const earlier = appliedAs(state, order.order);
  return earlier === undefined ? state.newest.version >= version : earlier.version !== version;
}

function isOrderExcluded(
  state: RegisterState,
  order: OrderInput,
  output: RegisterOutput | undefined,
): boolean {
  switch (output?.kind) {
    case "accepted":
      return isAcceptExcluded(state, order, output.version);
    case "conflict": {
      const isPassed = output.version !== undefined && output.version < state.newest.version;
      return isPassed || order.base === undefined || appliedAs(state, order.order) !== undefined;
    }
    case "invalid":
      return appliedAs(state, order.order) !== undefined;
    default:
      return false;
  }
}

function isReadExcluded({ newest }: RegisterState, output: RegisterOutput | undefined): boolean {
  if (output?.kind !== "value") return true;
  if (output.version < newest.version) return true;
  return output.version === newest.version && !isShownBy(newest, output.value);
}

function isObserveExcluded(state: RegisterState, output: RegisterOutput | undefined): boolean {
  if (output?.kind !== "value") return true;
  return output.version <= state.newest.version && stepObserve(state, output) === undefined;
}

function isExcluded(state: RegisterState, { input, output }: RegisterOperation): boolean {
  switch (input.kind) {
    case "order":
      return isOrderExcluded(state, input, output);
    case "read":
      return isReadExcluded(state, output);
    case "observe":
      return isObserveExcluded(state, output);
  }
}

// Diagnosis

/** Whether every sending of an order with this value was refused or not run, or none of them could be valid. */
function isOfRefused(value: string | undefined, history: History<RegisterInput, RegisterOutput>) {
  if (value === undefined) return false;
  let isRefused = false;
  for (const { input, output } of history) {
    if (input.kind !== "order" || input.value !== value) continue;
    if (input.isValid && (output === undefined || output.kind === "accepted")) return false;
    isRefused = true;
  }
  return isRefused;
}

function diagnoseAccepted(
  order: OrderInput,
  version: number,
  history: History<RegisterInput, RegisterOutput>,
): RegisterRule {
  if (!order.isValid) return "refused-takes-effect";
  for (const { input, output } of history) {
    if (input.kind !== "order" || output?.kind !== "accepted") continue;
    if (input.order === order.order) {
      if (output.version !== version) return "applied-twice";
    } else if (
      output.version === version ||
      (order.base !== undefined && input.base === order.base)
    )
      return "two-winners";
  }
  return "confirmed-gone";
}

/** Whether the value is that of an acknowledged order beside which another one was acknowledged. */
function isOfSecondWinner(
  value: string | undefined,
  history: History<RegisterInput, RegisterOutput>,
): boolean {
  return history.some(
    ({ input, output }) =>
      input.kind === "order" &&
      output?.kind === "accepted" &&
      input.value === value &&
      diagnoseAccepted(input, output.version, history) === "two-winners",
  );
}

function diagnoseOrder(
  state: RegisterState,
  order: OrderInput,
  output: RegisterOutput | undefined,
  history: History<RegisterInput, RegisterOutput>,
): RegisterRule {
  if (output?.kind === "accepted") return diagnoseAccepted(order, output.version, history);
  if (appliedAs(state, order.order) !== undefined) return "taken-then-refused";
  return "confirmed-gone";
}

function diagnose(
  state: RegisterState,
  { input, output }: RegisterOperation,
  history: History<RegisterInput, RegisterOutput>,
): RegisterRule {
  if (input.kind === "order") return diagnoseOrder(state, input, output, history);
  if (output?.kind !== "value") return "confirmed-gone";
  if (isOfRefused(output.value, history)) return "refused-takes-effect";
  return isOfSecondWinner(output.value, history) ? "two-winners" : "confirmed-gone";
}

/** The order and value that an answer says to be in force. */
function toldInForce({ input, output }: RegisterOperation): VersionContent | undefined {
  if (output?.kind === "value")
    return { version: output.version, order: output.value, value: output.value };
  if (output?.kind !== "accepted" || input.kind !== "order") return undefined;
  return { version: output.version, order: input.order, value: input.value };
}

/** The register goes on from a version that it can't have reached, but was told to have; a stale answer changes nothing. */
function resume(state: RegisterState, operation: RegisterOperation): RegisterState {
  const told = toldInForce(operation);
  if (told === undefined || told.version < state.newest.version) return state;
  return { newest: versionAfter(state.newest, told) };
}

function describeOutput(output: RegisterOutput | undefined): string {
  if (output === undefined) return "unknown";
  switch (output.kind) {
    case "accepted":
      return `accepted as version ${output.version}`;
    case "conflict":
      return `conflict with version ${output.version ?? "?"}`;
    case "value":
      return `version ${output.version} (${output.value ?? "none"})`;
    default:
      return output.kind;
  }
}

function describeOperation({ input, output }: RegisterOperation): string {
  switch (input.kind) {
    case "order":
      return `order ${input.order} on ${input.base ?? "any"}${input.isValid ? "" : " (invalid)"}: ${describeOutput(output)}`;
    case "read":
      return `read: ${describeOutput(output)}`;
    case "observe":
      return `${input.replica} works with ${describeOutput(output)}`;
  }
}

function describeState({ newest }: RegisterState): string {
  return `version ${newest.version} (${newest.order ?? "none"})`;
}

/** The configuration's sequential behaviour, from version 0 with no value. */
export function configurationRegister(): Specification<
  RegisterState,
  RegisterInput,
  RegisterOutput
> {
  return {
    initial: { newest: versionAfter(undefined, none) },
    step,
    key: ({ newest }) => String(newest.id),
    isSpent,
    isExcluded,
    diagnose,
    resume,
    describeState,
    describeOperation,
  };
}
