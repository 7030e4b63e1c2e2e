/** Delivers outputs of the relay to the callers of live requests on passages. */
import type { PassageCaller } from "./access-desk.js";
import type { PassageOutput } from "./pass.js";

/** Outputs of the relay that go to the caller of a request. */
export type CallerOutput = Extract<
  PassageOutput,
  { kind: "pass-head" | "pass-bytes" | "pass-end" | "pass-cut" | "pass-refused" }
>;

/** Whether an output goes to the caller of a request. */
export function isForCaller(output: PassageOutput): output is CallerOutput {
  return "ticket" in output && output.kind !== "lot-told";
}

/** Callers of live requests on passages, by ticket, until their last output. */
export class PassageCallers {
  #callers = new Map<string, PassageCaller>();

  add(ticket: string, caller: PassageCaller): void {
    this.#callers.set(ticket, caller);
  }

  /** Removes a caller. @returns whether its request was still under way */
  remove(ticket: string): boolean {
    return this.#callers.delete(ticket);
  }

  /** Delivers an output, and forgets the caller after its last one. */
  deliver(output: CallerOutput): void {
    const caller = this.#callers.get(output.ticket);
    if (caller === undefined) return;
    switch (output.kind) {
      case "pass-head":
        return caller.head(output.status, output.headers);
      case "pass-bytes":
        return caller.bytes(output.bytes);
      case "pass-end":
        this.#callers.delete(output.ticket);
        return caller.end();
      case "pass-cut":
        this.#callers.delete(output.ticket);
        return caller.cut();
      case "pass-refused":
        this.#callers.delete(output.ticket);
        return caller.refused(output.status, output.retryAfter, output.reason);
    }
  }
}
