import type { ChainView } from "@chutewick/parts";
import type { ControlOutcome, ControlResult } from "@chutewick/control";

/** What an observer outside has seen: decided views, what operators asked and were told, leases given. */
export interface Violation {
  readonly invariant: string;
  readonly facts: string;
}

/** One configuration that an operator wants in force; sent again word for word. */
export interface Order {
  readonly operator: string;
  readonly mark: number;
  readonly expected: number;
  readonly origin: string;
}

interface Question {
  readonly order: Order | undefined;
  /** The newest mark that anybody had been told as in force when this was asked. */
  readonly floor: number;
  /** Whether this very order had been told as in force before it was asked again. */
  readonly wasTold: boolean;
}

interface Grant {
  readonly node: string;
  readonly granter: string;
  readonly mark: number;
  /** ms of real time; the longest that it may count at its holder. */
  readonly until: number;
}

export class History {
  /** Decided views by their number. */
  readonly decided = new Map<number, ChainView>();
  newest: ChainView | undefined;
  readonly questions = new Map<string, Question>();
  /** Origins of orders told as in force, by mark. */
  readonly told = new Map<number, string>();
  /** Newest mark told as in force. */
  toldMark = 0;
  readonly refused = new Set<string>();
  grants: Grant[] = [];
  /** The last order of each operator, and the mark on which it builds its next one. */
  readonly orders = new Map<string, Order>();
  readonly bases = new Map<string, number>();
  /** Tickets that got a confirmed result; for the liveness check. */
  readonly confirmed = new Set<string>();
  ticketNumber = 0;
  violation: Violation | undefined;
  /** The one invariant that is looked at; undefined for all. */
  watched: string | undefined;

  /** The first violation is kept. */
  violate(invariant: string, facts: string): void {
    if (this.watched === undefined || this.watched === invariant)
      this.violation ??= { invariant, facts };
  }

  sawView(view: ChainView): void {
    const known = this.decided.get(view.mark);
    if (known === view) return;
    if (known !== undefined && JSON.stringify(known) !== JSON.stringify(view))
      this.violate(
        "one view for a number",
        `view ${view.mark}: ${JSON.stringify(known)} and ${JSON.stringify(view)}`,
      );
    this.decided.set(view.mark, view);
    if (view.mark > (this.newest?.mark ?? 0)) this.newest = view;
  }

  /** A question of an operator; its ticket. */
  asked(order: Order | undefined, prefix: string): string {
    this.ticketNumber += 1;
    const ticket = `${prefix}/${this.ticketNumber}`;
    const wasTold = order !== undefined && this.told.get(order.mark) === order.origin;
    this.questions.set(ticket, { order, floor: this.toldMark, wasTold });
    return ticket;
  }

  answered(ticket: string, outcome: ControlOutcome): void {
    const question = this.questions.get(ticket);
    this.questions.delete(ticket);
    if (question === undefined || outcome.kind !== "confirmed") return;
    this.confirmed.add(ticket);
    if (outcome.value.kind === "CONFIGURATION") this.readTold(outcome.value, question);
    else if (question.order !== undefined) this.orderTold(question.order, outcome.value, question);
  }

  readTold(value: Extract<ControlResult, { kind: "CONFIGURATION" }>, { floor }: Question): void {
    if (value.mark < floor)
      this.violate("a read sees what was confirmed", `read ${value.mark}, confirmed ${floor}`);
    const told = this.told.get(value.mark);
    if (told !== undefined && told !== value.origin)
      this.violate("one order for a version", `${value.mark}: ${told}, read ${value.origin}`);
  }

  orderTold(order: Order, value: ControlResult, { wasTold }: Question): void {
    const { mark, origin, operator } = order;
    if (value.kind !== "IN_FORCE") {
      if (wasTold)
        this.violate("a confirmed order stays acknowledged", `${origin}: ${JSON.stringify(value)}`);
      this.refused.add(origin);
      if (value.kind === "CONFLICT") this.bases.set(operator, value.mark);
      return;
    }
    const told = this.told.get(mark);
    if (told !== undefined && told !== origin)
      this.violate("one order for a version", `${mark}: ${told} and ${origin}`);
    if (this.refused.has(origin) && !wasTold)
      this.violate("a refused order takes no effect", `${origin} as ${mark}`);
    this.told.set(mark, origin);
    this.toldMark = Math.max(this.toldMark, mark);
    this.bases.set(operator, Math.max(mark, this.bases.get(operator) ?? 0));
  }

  granted(grant: Grant, now: number): void {
    const still: Grant[] = [];
    for (const held of this.grants)
      if (held.until >= now && !isSameGrant(held, grant)) still.push(held);
    this.grants = [...still, grant];
  }
}

function isSameGrant(left: Grant, right: Grant): boolean {
  return left.node === right.node && left.granter === right.granter && left.mark === right.mark;
}
