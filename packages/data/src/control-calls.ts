/** Requests to the head of the control group that have no result yet (docs/design.md §7). */
import { constants } from "@chutewick/parts";
import type { ControlCommand, ControlOutcome } from "@chutewick/control";
import type { AccessOutput } from "./access-output.js";
import type { Membership } from "./membership.js";

/** Handles the result of a request. */
export type ControlResultHandler = (outcome: ControlOutcome) => AccessOutput[];

/** A request without a result. */
interface PendingControlCall {
  readonly command: ControlCommand;
  readonly since: number;
  readonly onResult: ControlResultHandler;
  sentAt: number;
  /** The head that it was sent to; undefined if none was known, or if that head did not execute it. */
  sentTo: string | undefined;
}

/** Sends each request again until it has a result or times out. */
export class ControlCalls {
  #membership: Membership;
  #nextTicket: () => string;
  #calls = new Map<string, PendingControlCall>();

  /** `nextTicket` returns a ticket that this node has never used. */
  constructor(membership: Membership, nextTicket: () => string) {
    this.#membership = membership;
    this.#nextTicket = nextTicket;
  }

  /** Sends a request to the head; `onResult` is called once. */
  request(command: ControlCommand, onResult: ControlResultHandler, now: number): AccessOutput[] {
    const ticket = this.#nextTicket();
    const call: PendingControlCall = {
      command,
      since: now,
      onResult,
      sentAt: now,
      sentTo: undefined,
    };
    this.#calls.set(ticket, call);
    return this.#send(ticket, call, now);
  }

  /** Handles an outcome; a request that was not executed is sent again. */
  handleOutcome(ticket: string, outcome: ControlOutcome, now: number): AccessOutput[] {
    const call = this.#calls.get(ticket);
    if (call === undefined) return [];
    if (outcome.kind === "not-run") {
      call.sentTo = undefined;
      call.sentAt = now;
      return [];
    }
    this.#calls.delete(ticket);
    return call.onResult(outcome);
  }

  /** Repeats requests that are due, and ends those that timed out with an unknown outcome. */
  beat(now: number): AccessOutput[] {
    const outputs: AccessOutput[] = [];
    for (const [ticket, call] of [...this.#calls]) {
      if (now - call.since >= constants.commitTimeoutMs) {
        this.#calls.delete(ticket);
        outputs.push(...call.onResult({ kind: "unknown" }));
      } else if (this.#isRetryDue(call, now))
        outputs.push(
          ...this.#membership.broadcastDeregistrations(),
          ...this.#send(ticket, call, now),
        );
    }
    return outputs;
  }

  #isRetryDue(call: PendingControlCall, now: number): boolean {
    const isWithCurrentHead = call.sentTo !== undefined && call.sentTo === this.#membership.head;
    return (
      now - call.sentAt >=
      (isWithCurrentHead ? constants.grantDurationMs : constants.ownerRetryDelayMs)
    );
  }

  #send(ticket: string, call: PendingControlCall, now: number): AccessOutput[] {
    const { head } = this.#membership;
    call.sentAt = now;
    call.sentTo = head;
    if (head === undefined) return [];
    const message = { kind: "control-inquiry", ticket, command: call.command } as const;
    return [{ kind: "send", to: head, message }];
  }
}
