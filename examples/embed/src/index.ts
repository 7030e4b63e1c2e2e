/**
 * A replicated counter built on `@chutewick/parts`: three members in one process, a loop that delivers the messages, and a
 * simulated disk whose writes complete immediately. Run it with `npm run example`.
 */
import {
  Chain,
  type ChainCommand,
  type ChainMessage,
  type ChainView,
  type Ledger,
  type StateMachine,
  type Member,
} from "@chutewick/parts";

/** Command of the counter; a read adds nothing. */
interface CounterCommand {
  readonly kind: "add" | "read";
  readonly amount: number;
}

/** The replicated state machine: any deterministic one that keeps its records in a ledger can be used. */
class Counter implements StateMachine {
  rebuild(): void {
    // The counter keeps no state that is derived from the ledger.
  }

  apply(ledger: Ledger, command: unknown): number {
    const { kind, amount } = command as CounterCommand;
    const sum = (ledger.read<number>("sum") ?? 0) + (kind === "add" ? amount : 0);
    if (kind === "add") ledger.put("sum", sum);
    return sum;
  }
}

/** A replication group whose members run in one process. */
export class Group {
  readonly members: Member[] = [];
  #chains = new Map<string, Chain>();
  #results = new Map<string, unknown>();
  #running = new Set<string>();
  #time = 0;
  #ticket = 0;
  #queue: { to: string; from: string; message: ChainMessage }[] = [];

  constructor(names: readonly string[]) {
    for (const name of names) {
      const member = { identity: name, address: name };
      this.members.push(member);
      this.#running.add(name);
      this.#chains.set(name, new Chain("counter", member, new Counter(), this.#time));
    }
    this.adopt({ mark: 1, members: this.members });
  }

  /** Installs a view at all running members. The application decides on views; here it is the caller. */
  adopt(view: ChainView): void {
    for (const [name, chain] of this.#chains)
      if (this.#running.has(name)) this.#perform(name, chain.adopt(view, this.#time));
    this.#deliverMessages();
  }

  stop(name: string): void {
    this.#running.delete(name);
  }

  /** Executes a command at a member; returns its result, or undefined if the command was not committed. */
  inquire(name: string, command: CounterCommand): unknown {
    this.#ticket += 1;
    const ticket = String(this.#ticket);
    this.#perform(name, this.#chains.get(name)!.execute(ticket, command, this.#time));
    this.#deliverMessages();
    return this.#results.get(ticket);
  }

  #deliverMessages(): void {
    while (this.#queue.length > 0) {
      const { to, from, message } = this.#queue.shift()!;
      this.#time += 1;
      if (this.#running.has(to))
        this.#perform(to, this.#chains.get(to)!.receive(message, from, this.#time));
    }
  }

  #perform(name: string, commands: readonly ChainCommand[]): void {
    const chain = this.#chains.get(name)!;
    for (const command of commands) {
      if (command.kind === "send")
        this.#queue.push({ to: command.to, from: name, message: command.message });
      // A real program syncs `command.write` to disk before it calls `writeCompleted`.
      else if (command.kind === "write")
        this.#perform(name, chain.writeCompleted(command.ticket, this.#time));
      else if (command.kind === "result" && command.result.kind === "confirmed")
        this.#results.set(command.ticket, command.result.value);
    }
  }
}
