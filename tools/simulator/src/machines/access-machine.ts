import { constants } from "@chutewick/parts";
import {
  AccessCore,
  isPassageOutput,
  type AccessOutput,
  type DataMessage,
  type RunnerEvent,
  type PassageOutput,
  type RunnerWork,
} from "@chutewick/data";
import type { Runner } from "../runners.js";
import { Machine, type World } from "../world.js";
import type { MachineShape, Setting } from "./shape.js";

/** ms until a connection is refused, and until one stands. */
const REFUSED_AFTER = 1;
const CONNECT_TAKES = [0.5, 4] as const;

/** What a client sees of one HTTP exchange. */
export interface ClientSight {
  reply(status: number, body: Record<string, unknown>): void;
  bytes(bytes: string): void;
  open(): void;
  piece(number: number, data: unknown): void;
  close(pieces: number): void;
  trouble(body: Record<string, unknown>): void;
  torn(): void;
}

/** What a node asks of the simulation around it. */
export interface AccessHooks {
  runnerAt(url: string): Runner | undefined;
  /** Asked when the first byte goes out. */
  began(machine: AccessMachine, work: RunnerWork): void;
}

/** One attempt of a node at a runner. */
interface Attempt {
  readonly go: number;
  readonly work: RunnerWork;
  /** ms without a word after which it is given up. */
  readonly silence: number;
  heardAt: number;
  hasEnded: boolean;
}

/** An access node: the product's core, its clients' exchanges, and its attempts at runners. */
export class AccessMachine extends Machine {
  core!: AccessCore;
  /** ms by which its wall clock is ahead. */
  wallStep = 0;
  /** What passages tell, where a play has them. */
  passing: ((output: PassageOutput) => void) | undefined;
  readonly #seeds: readonly string[];
  readonly #setting: Setting;
  readonly #hooks: AccessHooks;
  readonly #sights = new Map<string, ClientSight>();
  /** How attempts under way are left, by their number. */
  readonly #links = new Map<number, () => void>();
  #ticketNumber = 0;

  constructor(world: World, shape: MachineShape, hooks: AccessHooks) {
    super(world, shape.name, shape.address ?? shape.name);
    this.#seeds = shape.seeds;
    this.#setting = shape.setting ?? {};
    this.#hooks = hooks;
  }

  protected begin(): void {
    this.core = new AccessCore(
      {
        identity: `${this.name}-${this.world.chance.below(1_000_000_000)}`,
        address: this.address,
        kind: "access",
        zone: "a",
        name: this.name,
        http: this.address,
      },
      this.#seeds,
      this.now,
      this.#setting.policy ?? this.world.policy,
    );
  }

  protected strike(): void {
    this.perform(this.core.tick(this.now, this.world.wall + this.wallStep));
  }

  leave(): void {
    this.perform(this.core.beginStop(this.now));
  }

  arrived(message: unknown, from: string): void {
    this.perform(this.core.receive(message as DataMessage, from, this.now));
  }

  protected override ended(): void {
    for (const sight of this.#sights.values()) sight.torn();
    this.#sights.clear();
    for (const leave of this.#links.values()) leave();
    this.#links.clear();
  }

  /** An exchange of a client with this node; returns how the client leaves. */
  exchange(sight: ClientSight, enter: (ticket: string) => AccessOutput[]): () => void {
    this.#ticketNumber += 1;
    const ticket = `${this.name}/${this.life}/${this.#ticketNumber}`;
    if (!this.alive) {
      sight.torn();
      return nothing;
    }
    this.#sights.set(ticket, sight);
    this.mine(() => this.perform(enter(ticket)))();
    return () => {
      if (this.#sights.delete(ticket))
        this.mine(() => this.perform(this.core.callerLeft(ticket)))();
    };
  }

  /** Carries out what the core wants. */
  perform(outputs: readonly AccessOutput[]): void {
    for (const output of outputs) {
      if (isPassageOutput(output)) {
        this.passing?.(output);
        continue;
      }
      switch (output.kind) {
        case "send":
          this.world.send(this.address, output.to, output.message);
          break;
        case "run":
          this.#run(output);
          break;
        case "abandon":
          this.#links.get(output.go)?.();
          this.#links.delete(output.go);
          break;
        case "note":
          break;
        default:
          this.#show(output);
      }
    }
  }

  #show(
    output: Exclude<AccessOutput, PassageOutput | { kind: "send" | "run" | "abandon" | "note" }>,
  ): void {
    const sight = this.#sights.get(output.ticket);
    if (sight === undefined) return;
    if (output.kind !== "stream-open" && output.kind !== "stream-piece")
      this.#sights.delete(output.ticket);
    switch (output.kind) {
      case "reply":
        return sight.reply(output.status, output.body as Record<string, unknown>);
      case "reply-bytes":
        return sight.bytes(new TextDecoder().decode(output.bytes));
      case "stream-open":
        return sight.open();
      case "stream-piece":
        return sight.piece(output.number, output.data);
      case "stream-close":
        return sight.close(output.pieces);
      case "stream-trouble":
        return sight.trouble(output.body);
    }
  }

  /** One attempt: connect, the last look, then whatever the runner and the net make of it. */
  #run({ go, url, work, silence }: Extract<AccessOutput, { kind: "run" }>): void {
    const { world } = this;
    const runner = this.#hooks.runnerAt(url);
    const attempt: Attempt = { go, work, silence, heardAt: world.now, hasEnded: false };
    const unreachable = (): void =>
      this.#tell(attempt, { kind: "unsent", reason: "connection refused" });
    if (runner === undefined || !runner.alive) return world.after(REFUSED_AFTER, unreachable);
    if (world.isCut(this.address, runner.address))
      return world.after(constants.connectTimeoutMs, unreachable);
    const connected = this.mine(() => this.#connected(attempt, runner));
    world.after(world.chance.between(...CONNECT_TAKES), connected);
  }

  #connected(attempt: Attempt, runner: Runner): void {
    const { go, work } = attempt;
    const reason = this.core.mayStart(go, this.now);
    if (reason !== undefined) return this.#tell(attempt, { kind: "unsent", reason });
    this.#hooks.began(this, work);
    attempt.heardAt = this.world.now;
    this.#links.set(
      go,
      runner.take(this, work, (event) => this.#tell(attempt, event)),
    );
    this.#watch(attempt);
  }

  /** Tells the core, while the attempt goes on, what came of it. */
  #tell(attempt: Attempt, event: RunnerEvent): void {
    const { go } = attempt;
    this.mine(() => {
      if (attempt.hasEnded) return;
      attempt.heardAt = this.world.now;
      if (event.kind !== "opened" && event.kind !== "piece") {
        attempt.hasEnded = true;
        this.#links.delete(go);
      }
      this.perform(this.core.handleAttemptEvent(go, event, this.now));
    })();
  }

  /** Gives the attempt up where nothing was heard for too long. */
  #watch(attempt: Attempt): void {
    const { world } = this;
    const { go, silence } = attempt;
    const look = this.mine(() => {
      if (attempt.hasEnded) return;
      if (world.now - attempt.heardAt < silence) return this.#watch(attempt);
      this.#links.get(go)?.();
      this.#tell(attempt, { kind: "broken", reason: "silence" });
    });
    world.after(silence, look);
  }
}

function nothing(): void {
  // A client without a connection has nothing to leave.
}
