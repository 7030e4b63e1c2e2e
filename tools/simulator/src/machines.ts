import {
  constants,
  type DiskCondition,
  type Policy,
  type RunnerCard,
  type VoteState,
} from "@chutewick/parts";
import {
  ControlCore,
  type Announced,
  type ControlCommand,
  type ControlMessage,
  type ControlOutcome,
  type ControlOutput,
} from "@chutewick/control";
import {
  AccessCore,
  StorageCore,
  isPassing,
  type AccessOutput,
  type DataMessage,
  type GoEvent,
  type PassOutput,
  type StorageOutput,
  type Work,
} from "@chutewick/data";
import { Folder, Machine, type World } from "./world.js";
import type { Runner } from "./runners.js";

/** What a deployment's settings say beside addresses; read anew at each start. */
export interface Setting {
  readonly policy?: Policy;
  /** False for all but the very first start. */
  founding?: boolean;
  readonly zone?: string;
}

/** The product's own cores under virtual time. */
export class ControlMachine extends Machine {
  core!: ControlCore;
  wallStep = 0;
  #seeds: readonly string[];
  #waiting = new Map<string, (told: ControlOutcome | undefined) => void>();
  #ticketNumber = 0;

  #setting: Setting;

  constructor(
    world: World,
    name: string,
    address: string,
    seeds: readonly string[],
    setting: Setting = {},
  ) {
    super(world, name, address);
    this.#seeds = seeds;
    this.#setting = setting;
  }

  protected begin(): void {
    this.folder ??= new Folder(`${this.name}-${this.world.chance.below(1_000_000_000)}`);
    const { folder } = this;
    this.core = new ControlCore(
      {
        policy: this.#setting.policy ?? this.world.policy,
        founding: this.#setting.founding,
        member: { identity: folder.identity, address: this.address },
        seeds: this.#seeds,
        life: `${folder.identity}/${this.life}`,
        votes: folder.votes === undefined ? undefined : folder.copy(folder.votes),
        holding: folder.holdings().get("control"),
      },
      this.now,
    );
    this.#perform(this.core.start(this.now));
  }

  protected override diskChanged(condition: DiskCondition): void {
    this.#perform(this.core.diskChanged(condition, this.world.now));
  }

  protected strike(): void {
    this.#perform(this.core.beat(this.now, this.world.wall + this.wallStep));
  }

  arrived(message: unknown, from: string): void {
    this.#perform(this.core.receive(message as ControlMessage, from, this.now));
  }

  /** A runner's own report, numbered as it numbers them. */
  announce(card: Omit<RunnerCard, "age">, sequence: number): Announced["kind"] {
    const { told, outputs } = this.core.announce(card, sequence, this.now);
    this.#perform(outputs);
    return told.kind;
  }

  protected override ended(): void {
    for (const told of this.#waiting.values()) told(undefined);
    this.#waiting.clear();
  }

  leave(): void {
    this.#perform(this.core.leave(this.now));
  }

  /** An operator's request; undefined: the connection was torn. */
  inquire(command: ControlCommand, told: (outcome: ControlOutcome | undefined) => void): void {
    if (!this.alive) return told(undefined);
    this.#ticketNumber += 1;
    const ticket = `operator/${this.life}/${this.#ticketNumber}`;
    this.#waiting.set(ticket, told);
    const self = this;
    function enter(): void {
      self.#perform(self.core.inquire(ticket, command, self.now));
    }
    this.mine(enter)();
  }

  #perform(outputs: readonly ControlOutput[]): void {
    const self = this;
    for (const output of outputs) {
      if (output.kind === "send") this.world.send(this.address, output.to, output.message);
      else if (output.kind === "write") {
        const folder = this.folder!;
        const write = folder.copy(output.write);
        function apply(): void {
          folder.write("control", write);
        }
        function done(): void {
          self.#perform(self.core.writtenChain((output as { ticket: number }).ticket, self.now));
        }
        this.sync(apply, done);
      } else if (output.kind === "vote") {
        const folder = this.folder!;
        const state: VoteState = folder.copy(output.state);
        function apply(): void {
          folder.votes = state;
        }
        function done(): void {
          self.#perform(self.core.writtenVote((output as { ticket: number }).ticket, self.now));
        }
        this.sync(apply, done);
      } else if (output.kind === "result") {
        const told = this.#waiting.get(output.ticket);
        this.#waiting.delete(output.ticket);
        told?.(output.result);
      }
    }
  }
}

export class StorageMachine extends Machine {
  core!: StorageCore;
  #seeds: readonly string[];
  #setting: Setting;

  constructor(
    world: World,
    name: string,
    address: string,
    seeds: readonly string[],
    setting: Setting = {},
  ) {
    super(world, name, address);
    this.#seeds = seeds;
    this.#setting = setting;
  }

  protected begin(): void {
    this.folder ??= new Folder(`${this.name}-${this.world.chance.below(1_000_000_000)}`);
    this.core = new StorageCore(
      {
        identity: this.folder.identity,
        address: this.address,
        kind: "storage",
        zone: this.#setting.zone ?? zoneNamed(this.name),
        name: this.name,
        http: this.address,
      },
      this.#seeds,
      this.folder.holdings(),
      this.now,
      this.#setting.policy ?? this.world.policy,
    );
  }

  protected override diskChanged(condition: DiskCondition): void {
    this.#perform(this.core.diskChanged(condition, this.world.now));
  }

  protected strike(): void {
    this.#perform(this.core.beat(this.now));
  }

  leave(): void {
    this.#perform(this.core.leave(this.now));
  }

  arrived(message: unknown, from: string): void {
    this.#perform(this.core.receive(message as DataMessage, from, this.now));
  }

  #perform(outputs: readonly StorageOutput[]): void {
    const self = this;
    for (const output of outputs) {
      if (output.kind === "send") this.world.send(this.address, output.to, output.message);
      else if (output.kind === "write") {
        const folder = this.folder!;
        const { chain, ticket } = output;
        const write = folder.copy(output.write);
        function apply(): void {
          folder.write(chain, write);
        }
        function done(): void {
          self.#perform(self.core.written(chain, ticket, self.now));
        }
        this.sync(apply, done);
      }
    }
  }
}

/** What a caller sees of one HTTP exchange. */
export interface CallerSight {
  reply(status: number, body: Record<string, unknown>): void;
  bytes(bytes: string): void;
  open(): void;
  piece(number: number, data: unknown): void;
  close(pieces: number): void;
  trouble(body: Record<string, unknown>): void;
  torn(): void;
}

export interface AccessHooks {
  runnerAt(url: string): Runner | undefined;
  /** Asked when the first byte goes out. */
  began(machine: AccessMachine, work: Work): void;
}

export class AccessMachine extends Machine {
  core!: AccessCore;
  /** What passages tell, where a play has them. */
  passing: ((output: PassOutput) => void) | undefined;
  #seeds: readonly string[];
  #hooks: AccessHooks;
  #sights = new Map<string, CallerSight>();
  #links = new Map<number, { runner: Runner; leave: () => void }>();
  #ticketNumber = 0;

  #setting: Setting;

  constructor(
    world: World,
    name: string,
    address: string,
    seeds: readonly string[],
    hooks: AccessHooks,
    setting: Setting = {},
  ) {
    super(world, name, address);
    this.#seeds = seeds;
    this.#hooks = hooks;
    this.#setting = setting;
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
    this.perform(this.core.beat(this.now, this.world.wall));
  }

  leave(): void {
    this.perform(this.core.leave(this.now));
  }

  arrived(message: unknown, from: string): void {
    this.perform(this.core.receive(message as DataMessage, from, this.now));
  }

  protected override ended(): void {
    for (const sight of this.#sights.values()) sight.torn();
    this.#sights.clear();
    for (const link of this.#links.values()) link.leave();
    this.#links.clear();
  }

  /** An exchange of a caller with this node; returns how the caller leaves. */
  exchange(sight: CallerSight, enter: (ticket: string) => AccessOutput[]): () => void {
    const self = this;
    this.#ticketNumber += 1;
    const ticket = `${this.name}/${this.life}/${this.#ticketNumber}`;
    if (!this.alive) {
      sight.torn();
      return nothing;
    }
    this.#sights.set(ticket, sight);
    function take(): void {
      self.perform(enter(ticket));
    }
    this.mine(take)();
    function leave(): void {
      if (!self.#sights.delete(ticket)) return;
      function left(): void {
        self.perform(self.core.left(ticket));
      }
      self.mine(left)();
    }
    return leave;
  }

  perform(outputs: readonly AccessOutput[]): void {
    for (const output of outputs) {
      if (isPassing(output)) {
        this.passing?.(output);
        continue;
      }
      switch (output.kind) {
        case "send":
          this.world.send(this.address, output.to, output.message);
          break;
        case "run":
          this.#run(output.go, output.url, output.work, output.silence);
          break;
        case "abandon":
          this.#links.get(output.go)?.leave();
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
    output: Exclude<AccessOutput, PassOutput | { kind: "send" | "run" | "abandon" | "note" }>,
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

  /** One go: connect, the last look, then whatever the runner and the net make of it. */
  #run(go: number, url: string, work: Work, silence: number): void {
    const self = this;
    const { world } = this;
    const runner = this.#hooks.runnerAt(url);
    let heardAt = world.now;
    let ended = false;
    function tell(event: GoEvent): void {
      function take(): void {
        if (ended) return;
        heardAt = world.now;
        if (event.kind !== "opened" && event.kind !== "piece") {
          ended = true;
          self.#links.delete(go);
        }
        self.perform(self.core.goEvent(go, event, self.now));
      }
      self.mine(take)();
    }
    function unreachable(): void {
      tell({ kind: "unsent", reason: "connection refused" });
    }
    if (runner === undefined || !runner.alive) return world.after(1, unreachable);
    if (world.isCut(this.address, runner.address))
      return world.after(constants.connectPatience, unreachable);
    function connected(): void {
      const reason = self.core.mayStart(go, self.now);
      if (reason !== undefined) return tell({ kind: "unsent", reason });
      self.#hooks.began(self, work);
      heardAt = world.now;
      const leave = runner!.take(self, work, tell);
      self.#links.set(go, { runner: runner!, leave });
      watch();
    }
    function watch(): void {
      function look(): void {
        if (ended) return;
        if (world.now - heardAt >= silence) {
          self.#links.get(go)?.leave();
          return tell({ kind: "broken", reason: "silence" });
        }
        watch();
      }
      world.after(silence, self.mine(look));
    }
    world.after(world.chance.between(0.5, 4), this.mine(connected));
  }
}

export function isHeadOf(machine: ControlMachine): boolean {
  return machine.alive && machine.core.isHead;
}

/** Machines stand in three zones by their numbers. */
export function zoneNamed(name: string): string {
  return `zone-${Number(name.slice(name.lastIndexOf("-") + 1)) % 3}`;
}

function nothing(): void {
  // A caller without a connection has nothing to leave.
}
