import {
  Chain,
  type ChainCommand,
  type ChainMessage,
  type ChainView,
  type Ledger,
  type StateMachine,
  type Member,
} from "@chutewick/parts";

/**
 * A replicated counter out of `@chutewick/parts`: three members in one process, messages handed over by a loop,
 * "disk" that is synced at once. Run it: `npm run example`.
 */
interface Add {
  readonly kind: "add" | "read";
  readonly amount: number;
}

/** Any deterministic machine over a ledger can be replicated. */
class Counter implements StateMachine {
  rebuild(): void {
    // Nothing is derived from the records.
  }

  apply(ledger: Ledger, command: unknown): number {
    const { kind, amount } = command as Add;
    const sum = (ledger.read<number>("sum") ?? 0) + (kind === "add" ? amount : 0);
    if (kind === "add") ledger.put("sum", sum);
    return sum;
  }
}

export class Group {
  readonly members: Member[] = [];
  #chains = new Map<string, Chain>();
  #results = new Map<string, unknown>();
  #alive = new Set<string>();
  #now = 0;
  #ticket = 0;
  #queue: { to: string; from: string; message: ChainMessage }[] = [];

  constructor(names: readonly string[]) {
    for (const name of names) {
      const member = { identity: name, address: name };
      this.members.push(member);
      this.#alive.add(name);
      this.#chains.set(name, new Chain("counter", member, new Counter(), this.#now));
    }
    this.adopt({ mark: 1, members: this.members });
  }

  /** A view comes from whoever decides views; here, from the caller. */
  adopt(view: ChainView): void {
    for (const [name, chain] of this.#chains)
      if (this.#alive.has(name)) this.#perform(name, chain.adopt(view, this.#now));
    this.#settle();
  }

  stop(name: string): void {
    this.#alive.delete(name);
  }

  /** What became of a request at a member: its result, or undefined where it was not confirmed. */
  inquire(name: string, command: Add): unknown {
    this.#ticket += 1;
    const ticket = String(this.#ticket);
    this.#perform(name, this.#chains.get(name)!.execute(ticket, command, this.#now));
    this.#settle();
    return this.#results.get(ticket);
  }

  #settle(): void {
    while (this.#queue.length > 0) {
      const { to, from, message } = this.#queue.shift()!;
      this.#now += 1;
      if (this.#alive.has(to))
        this.#perform(to, this.#chains.get(to)!.receive(message, from, this.#now));
    }
  }

  #perform(name: string, commands: readonly ChainCommand[]): void {
    const chain = this.#chains.get(name)!;
    for (const command of commands) {
      if (command.kind === "send")
        this.#queue.push({ to: command.to, from: name, message: command.message });
      /** A real program syncs `command.write` first, and calls `writeCompleted` only then. */
      else if (command.kind === "write")
        this.#perform(name, chain.writeCompleted(command.ticket, this.#now));
      else if (command.kind === "result" && command.result.kind === "confirmed")
        this.#results.set(command.ticket, command.result.value);
    }
  }
}
