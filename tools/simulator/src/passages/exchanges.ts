import type { AccessOutput, LotCall, LotReply } from "@chutewick/data";
import type { LotInput } from "@chutewick/history";
import type { AccessMachine } from "../machines.js";
import { lotOperationOf } from "./lot-operations.js";
import { PASSAGE_HOST, type PassFleet } from "./pass-fleet.js";
import type { LotSight } from "./records.js";

/** ms that a client waits for an answer. */
const USUAL_PATIENCE = 4_000;
/** ms until a client sees that a node is down. */
const REFUSED_AFTER = 5;

/** What is asked of a node under the client's ticket. */
export type Enter = (machine: AccessMachine, ticket: string) => readonly AccessOutput[];

/** Who hears the answer, undefined where none came in time, for how many ms it is waited for, and which node is asked: any by default. */
export interface Answered {
  readonly told: (told: LotReply | undefined) => void;
  readonly patience?: number;
  readonly at?: AccessMachine;
}

/** Requests of clients to any access node, each with at most one answer. */
export class LotExchanges {
  readonly #fleet: PassFleet;
  readonly #waiting = new Map<string, (told: LotReply) => void>();
  #ticketNumber = 0;

  constructor(fleet: PassFleet) {
    this.#fleet = fleet;
  }

  /** What a client says with a call on its lot; another tenant's client where one is named. */
  callOn(lot: LotSight, tenant = lot.tenant): LotCall {
    const { tenants } = this.#fleet;
    const credential = tenant === undefined ? undefined : tenants?.credentialOf(tenant);
    return { lot: lot.id, host: PASSAGE_HOST, credential };
  }

  /** A node answers. */
  answer(ticket: string, told: LotReply): void {
    const waiting = this.#waiting.get(ticket);
    this.#waiting.delete(ticket);
    waiting?.(told);
  }

  /** Asks a node. */
  ask(enter: Enter, { told, patience = USUAL_PATIENCE, at }: Answered): void {
    const { world, accesses } = this.#fleet;
    const machine = at ?? world.chance.pick(accesses);
    this.#ticketNumber += 1;
    const ticket = `caller-${this.#ticketNumber}`;
    let hasEnded = false;
    const end = (answer: LotReply | undefined): void => {
      if (hasEnded) return;
      hasEnded = true;
      told(answer);
    };
    this.#waiting.set(ticket, end);
    const silence = (): void => {
      this.#waiting.delete(ticket);
      end(undefined);
    };
    if (!machine.alive) return world.after(REFUSED_AFTER, silence);
    machine.mine(() => machine.perform(enter(machine, ticket)))();
    world.after(patience, silence);
  }

  /** As `ask`, and recorded as an operation of the lot's history. */
  askLot(lot: LotSight, input: LotInput, enter: Enter, { told, ...answered }: Answered): void {
    const { world } = this.#fleet;
    const calledAt = world.now;
    const tell = (answer: LotReply | undefined): void => {
      const exchange = { lot: lot.id, input, calledAt, returnedAt: world.now, told: answer };
      lot.operations.push(lotOperationOf(exchange));
      told(answer);
    };
    this.ask(enter, { told: tell, ...answered });
  }
}
