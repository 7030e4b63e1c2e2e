/** Requests to the head of the control group that have no result yet (docs/design.md §7). */
import { constants } from "@chutewick/parts";
import type { ControlCommand, ControlOutcome } from "@chutewick/control";
import type { AccessOutput } from "./access-output.js";
import type { Membership } from "./membership.js";

/** Takes the result of a call. */
export type ControlResultHandler = (outcome: ControlOutcome) => AccessOutput[];

interface PendingControlCall {
  readonly command: ControlCommand;
  readonly since: number;
  readonly onResult: ControlResultHandler;
  sentAt: number;
  /** The head that it went to; undefined where none was known, or the one asked did not run it. */
  sentTo: string | undefined;
}

/** Sends each request again until it has a result or its patience is over. */
export class ControlCalls {
  #membership: Membership;
  #nextTicket: () => string;
  #calls = new Map<string, PendingControlCall>();

  /** nextTicket: a ticket that this node never uses twice. */
  constructor(membership: Membership, nextTicket: () => string) {
    this.#membership = membership;
    this.#nextTicket = nextTicket;
  }

  ask(command: ControlCommand, onResult: ControlResultHandler, now: number): AccessOutput[] {
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

  ended(ticket: string, outcome: ControlOutcome, now: number): AccessOutput[] {
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

  beat(now: number): AccessOutput[] {
    const outputs: AccessOutput[] = [];
    for (const [ticket, call] of [...this.#calls]) {
      if (now - call.since >= constants.confirmPatience) {
        this.#calls.delete(ticket);
        outputs.push(...call.onResult({ kind: "unknown" }));
      } else if (this.#isDueAgain(call, now))
        outputs.push(...this.#membership.spread(), ...this.#send(ticket, call, now));
    }
    return outputs;
  }

  #isDueAgain(call: PendingControlCall, now: number): boolean {
    const isWithCurrentHead = call.sentTo !== undefined && call.sentTo === this.#membership.head;
    return now - call.sentAt >= (isWithCurrentHead ? constants.grantLasts : constants.ownerRetry);
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
