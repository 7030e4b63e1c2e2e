import {
  judgeConfiguration,
  type RegisterInput,
  type RegisterOperation,
  type RegisterOutput,
} from "@chutewick/history";
import type { RouteDocument } from "../system/document.js";
import { now } from "./time.js";
import type { Version } from "./versions.js";
import type { Violations } from "./violations.js";

/** One sending of a change: what it builds on, and the version it is to become. */
export interface Sending {
  readonly base: number;
  readonly version: Version;
}

/** All sendings and reads of the operator with their answers, for the checker of histories. */
export class OrderHistory {
  #operations: RegisterOperation[] = [];

  /** Notes a sending; `status` is undefined where the operator never saw the answer. */
  sent({ base, version }: Sending, calledAt: number, status: number | undefined): void {
    const input: RegisterInput = {
      kind: "order",
      order: String(version.serial),
      value: valueOf(version.routes.values()),
      base,
      version: version.revision,
      isValid: true,
    };
    this.#add(input, calledAt, outputOf(status, version.revision));
  }

  /** Notes a read and what it told. */
  read(calledAt: number, revision: number, routes: readonly RouteDocument[]): void {
    const output: RegisterOutput = { kind: "value", version: revision, value: valueOf(routes) };
    this.#add({ kind: "read" }, calledAt, output);
  }

  /** Judges everything noted so far. */
  judge(violations: Violations): void {
    for (const { rule, facts } of judgeConfiguration(this.#operations))
      violations.add("CONFIG_ORDERS", `${rule}: ${facts.slice(0, FACTS_MOST)}`);
  }

  #add(input: RegisterInput, calledAt: number, output: RegisterOutput | undefined): void {
    this.#operations.push({ client: "operator", input, calledAt, returnedAt: now(), output });
  }
}

/** Characters of a finding that are told. */
const FACTS_MOST = 1_500;

function outputOf(status: number | undefined, version: number): RegisterOutput | undefined {
  switch (status) {
    case 200:
      return { kind: "accepted", version };
    case 412:
      return { kind: "conflict", version: undefined };
    case 400:
      return { kind: "invalid" };
    default:
      return undefined;
  }
}

/** The routes as one text, the same in any order. */
export function valueOf(routes: Iterable<RouteDocument>): string {
  const byName = [...routes].sort((left, right) => (left.name < right.name ? -1 : 1));
  return JSON.stringify(byName);
}
