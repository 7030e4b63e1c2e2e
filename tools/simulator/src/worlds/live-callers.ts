import type { AccessMachine } from "../machines.js";
import { eventCount, eventData } from "./answers.js";
import { callKinds, CALL_GUARD, HOST, type CallKind } from "./configuration.js";
import type { CallerOutput, Router } from "./router.js";
import type { Site } from "./site.js";

/** ms that a caller waits beyond the time that a call is held. */
const PATIENCE = CALL_GUARD + 1_500;
/** Part of the callers that leave before the end. */
const LEAVES = 0.05;
/** Statuses that promise that a call did not run and never will. */
const NOT_RUN = new Set([404, 408, 413, 429, 503]);

interface Call {
  readonly id: string;
  readonly kind: CallKind;
  /** Events that came so far. */
  received: number;
  outcome: "open" | "whole" | "cut" | "refused" | "left" | "silent";
  status: number | undefined;
  /** Runs of it that began at any runner. */
  runs: number;
}

/** Live callers of each kind; each answer is compared with what its own call must bring. */
export class LiveCallers {
  readonly #site: Site;
  readonly #router: Router;
  readonly #calls = new Map<string, Call>();
  stopped = false;

  constructor(site: Site, router: Router) {
    this.#site = site;
    this.#router = router;
  }

  keepCalling(every: readonly [least: number, most: number]): void {
    const { chance, deployment } = this.#site;
    const call = (): void => {
      if (this.stopped) return;
      this.#call(chance.pick(callKinds));
      deployment.world.after(chance.between(...every), call);
    };
    call();
  }

  /** Told by runners: a run of this call begins. */
  began(id: string): void {
    const call = this.#calls.get(id);
    if (call !== undefined) call.runs += 1;
  }

  #call(kind: CallKind): void {
    const site = this.#site;
    const id = `${kind}-${this.#calls.size + 1}`;
    const call: Call = { id, kind, received: 0, outcome: "open", status: undefined, runs: 0 };
    this.#calls.set(id, call);
    const { access, ticket } = this.#router.enter(
      (node, own) => node.core.relay.arrive(own, requestOf(id, kind), site.now),
      (output) => this.#told(call, output),
    );
    const { world } = site.deployment;
    const leave = (): void => this.#leave(call, access, ticket);
    if (site.chance.happens(LEAVES)) world.after(site.chance.between(50, 500), leave);
    world.after(PATIENCE, () => {
      this.#router.forget(ticket);
      this.#end(call, "silent");
    });
  }

  #leave(call: Call, access: AccessMachine, ticket: string): void {
    if (call.outcome !== "open") return;
    this.#end(call, "left");
    this.#router.forget(ticket);
    if (access.alive)
      access.mine(() => access.perform(access.core.relay.callerLeft(ticket, this.#site.now)))();
  }

  #told(call: Call, output: CallerOutput): void {
    if (output.kind === "pass-bytes") return this.#bytes(call, output.bytes);
    if (call.outcome !== "open" && output.kind !== "pass-head")
      this.#site.history.violate("answered-twice", `${call.id}: ${output.kind} after the end`);
    if (output.kind === "pass-end") {
      this.#end(call, "whole");
      if (call.received !== eventCount(call.id))
        this.#site.history.violate(
          "partial-looks-whole",
          `${call.id} ended with ${call.received} of ${eventCount(call.id)} events`,
        );
    }
    if (output.kind === "pass-cut") this.#end(call, "cut");
    if (output.kind === "pass-refused") {
      call.status = output.status;
      this.#end(call, "refused");
    }
  }

  #bytes(call: Call, bytes: Uint8Array): void {
    const text = new TextDecoder().decode(bytes);
    call.received += 1;
    const expected = eventData(call.id, call.received);
    if (text === expected) return;
    const rule = text.startsWith(`${call.id}#`) ? "pieces-out-of-order" : "someone-elses";
    this.#site.history.violate(rule, `${call.id} got ${text} in place of ${expected}`);
  }

  #end(call: Call, outcome: Call["outcome"]): void {
    if (call.outcome !== "open") return;
    call.outcome = outcome;
    this.#site.history.count(`${call.kind} ${outcome}${call.status ?? ""}`);
  }

  /** At the end: no call ran more often than it may, and none that was promised not to. */
  judge(): void {
    for (const { id, kind, outcome, status, runs } of this.#calls.values()) {
      if (kind === "once" && runs > 1)
        this.#site.history.violate("runs-twice", `${id} ran ${runs} times`);
      if (outcome === "refused" && NOT_RUN.has(status!) && runs > 0)
        this.#site.history.violate("not-run-ran", `${id} was told ${status} and ran`);
    }
  }
}

function requestOf(id: string, kind: CallKind) {
  return {
    id,
    method: "POST",
    host: HOST,
    path: `/${kind}/${id}`,
    headers: [],
    body: new TextEncoder().encode(id),
    patience: undefined,
    model: "m1",
    tokensIn: undefined,
    tokensOut: undefined,
    parts: [],
    resumeAfter: undefined,
    credential: undefined,
  };
}
