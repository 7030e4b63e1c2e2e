import {
  ControlCore,
  configuration,
  type ControlCommand,
  type ControlMessage,
  type ControlOutcome,
  type ControlOutput,
} from "@chutewick/control";
import {
  AccessCore,
  Membership,
  StorageCore,
  type AccessOutput,
  type DataMessage,
  type GoEvent,
  type PassEvent,
  type StorageOutput,
} from "@chutewick/data";
import { constants, type RunnerCard, type Telling } from "@chutewick/parts";
import { Station, type Bus } from "./bus.js";
import { spent } from "./uses.js";

/** The product's own cores as stations, and hollow nodes that only keep their session. */
export class ControlStation extends Station {
  readonly core: ControlCore;
  #waiting = new Map<string, (outcome: ControlOutcome) => void>();
  #ticket = 0;

  constructor(bus: Bus, address: string, seeds: readonly string[]) {
    super(bus, address, false);
    this.core = new ControlCore(
      { member: { identity: `${address}-identity`, address }, seeds, life: `${address}/1` },
      bus.now,
    );
    this.#perform(this.core.start(bus.now));
  }

  receive(message: unknown, from: string): void {
    this.#perform(this.core.receive(message as ControlMessage, from, this.bus.now));
  }

  strike(): void {
    if (!this.silent) this.#perform(this.core.beat(this.bus.now, this.bus.wall));
  }

  inquire(command: ControlCommand, told: (outcome: ControlOutcome) => void): void {
    this.#ticket += 1;
    const ticket = `operator/${this.#ticket}`;
    this.#waiting.set(ticket, told);
    const start = spent();
    this.#perform(this.core.inquire(ticket, command, this.bus.now));
    this.meter.keep("change", 0, spent() - start);
  }

  #perform(outputs: readonly ControlOutput[]): void {
    const self = this;
    for (const output of outputs) {
      if (output.kind === "send") this.bus.send(this, output.to, output.message);
      else if (output.kind === "write") {
        const { ticket } = output;
        function written(): void {
          self.#timed(self.core.writtenChain(ticket, self.bus.now));
        }
        this.bus.soon(written);
      } else if (output.kind === "vote") {
        const { ticket } = output;
        function voted(): void {
          self.#timed(self.core.writtenVote(ticket, self.bus.now));
        }
        this.bus.soon(voted);
      } else if (output.kind === "result") {
        const told = this.#waiting.get(output.ticket);
        this.#waiting.delete(output.ticket);
        told?.(output.result);
      }
    }
  }

  #timed(outputs: readonly ControlOutput[]): void {
    const start = spent();
    this.#perform(outputs);
    this.meter.keep("written", 0, spent() - start);
  }
}

export class StorageStation extends Station {
  readonly core: StorageCore;
  /** Bytes given to the folder, and how many writes. */
  written = 0;
  writes = 0;

  constructor(bus: Bus, address: string, seeds: readonly string[], zone: string) {
    super(bus, address, false);
    this.core = new StorageCore(
      { identity: `${address}-identity`, address, kind: "storage", zone, http: address },
      seeds,
      new Map(),
      bus.now,
    );
  }

  receive(message: unknown, from: string): void {
    this.#perform(this.core.receive(message as DataMessage, from, this.bus.now));
  }

  strike(): void {
    this.#perform(this.core.beat(this.bus.now));
  }

  #perform(outputs: readonly StorageOutput[]): void {
    const self = this;
    for (const output of outputs) {
      if (output.kind === "send") this.bus.send(this, output.to, output.message);
      else if (output.kind === "write") {
        const { chain, ticket } = output;
        function written(): void {
          const start = spent();
          self.#perform(self.core.written(chain, ticket, self.bus.now));
          self.meter.keep("written", 0, spent() - start);
        }
        this.writes += 1;
        this.bus.soon(written);
      }
    }
  }
}

const eventBytes = new TextEncoder().encode(
  "id: 1\ndata: a result of an item, some twelve words of it, as a runner tells it\n\n",
);

/** An access node with hollow runners behind it. */
export class AccessStation extends Station {
  readonly core: AccessCore;
  readonly replies: { status: number; body: unknown }[] = [];
  /** What became of lots of passages. */
  readonly told: string[] = [];
  /** ms that an item or a live request runs. */
  runs = 100;
  began = 0;
  solved = 0;

  constructor(bus: Bus, address: string, seeds: readonly string[], zone: string) {
    super(bus, address, false);
    this.core = new AccessCore(
      { identity: `${address}-identity`, address, kind: "access", zone, http: address },
      seeds,
      bus.now,
    );
  }

  receive(message: unknown, from: string): void {
    this.perform(this.core.receive(message as DataMessage, from, this.bus.now));
  }

  strike(): void {
    this.perform(this.core.beat(this.bus.now, this.bus.wall));
  }

  perform(outputs: readonly AccessOutput[]): void {
    for (const output of outputs) {
      if (output.kind === "send") this.bus.send(this, output.to, output.message);
      else if (output.kind === "reply")
        this.replies.push({ status: output.status, body: output.body });
      else if (output.kind === "run") this.#run(output.go);
      else if (output.kind === "pass-run") this.#pass(output.go);
      else if (output.kind === "lot-told") this.told.push(output.told.kind);
    }
  }

  /** One work on a passage: a head, one event and the end. */
  #pass(go: number): void {
    const self = this;
    this.began += 1;
    function tell(event: PassEvent): void {
      const start = spent();
      self.perform(self.core.passEvent(go, event, self.bus.now));
      self.meter.keep(event.kind, 0, spent() - start);
    }
    function end(): void {
      if (self.core.mayPass(go, self.bus.now) !== undefined)
        return tell({ kind: "unsent", reason: "too late" });
      tell({ kind: "head", status: 200, headers: [], stamped: true });
      tell({
        kind: "event",
        number: 1,
        data: "a result of an item, some twelve words of it, as a runner tells it",
        bytes: eventBytes,
      });
      tell({ kind: "end" });
      self.solved += 1;
    }
    this.bus.after(this.runs, end);
  }

  #run(go: number): void {
    const self = this;
    this.began += 1;
    function tell(event: GoEvent): void {
      const start = spent();
      self.perform(self.core.goEvent(go, event, self.bus.now));
      self.meter.keep(event.kind, 0, spent() - start);
    }
    function end(): void {
      if (self.core.mayStart(go, self.bus.now) !== undefined)
        return tell({ kind: "unsent", reason: "too late" });
      tell({ kind: "opened" });
      tell({ kind: "piece", number: 0, data: { text: "a piece of a result" } });
      tell({ kind: "closed", pieces: 1 });
      self.solved += 1;
    }
    this.bus.after(this.runs, end);
  }
}

/** A node of which only the session stands: what it tells of its runners changes as under traffic. */
export class HollowNode extends Station {
  readonly membership: Membership;
  #runners: readonly string[];
  #told: readonly string[];
  #number: number;

  constructor(
    bus: Bus,
    number: number,
    seeds: readonly string[],
    runners: readonly string[],
    told: readonly string[],
  ) {
    super(bus, `10.0.${number >> 8}.${number & 255}:7100`, true);
    this.#runners = runners;
    this.#told = told;
    this.#number = number;
    const self = this;
    function telling(): Telling {
      return self.#telling();
    }
    this.membership = new Membership(
      {
        identity: `access-zone-${number % 11}-${number}-4f1c9a70-0b67-4f0e-9d3c-6c1a1f6e2b15`,
        address: this.address,
        kind: "access",
        zone: `zone-${number % 11}`,
        http: this.address.replace(":7100", ":7200"),
      },
      seeds,
      bus.now,
      telling,
    );
  }

  #telling(): Telling {
    const runners: RunnerCard[] = [];
    for (const [place, id] of this.#runners.entries())
      runners.push({
        ...hollowCard(id, this.#number),
        burden: (Math.floor(this.bus.now / constants.announceEvery) * 7 + place) % 16,
        age: (this.bus.now + place * 37) % constants.announceEvery,
      });
    const loads: [string, number, number][] = [];
    for (const [place, id] of this.#told.entries())
      loads.push([
        id,
        1 + ((place + Math.floor(this.bus.now / constants.announceEvery)) % 3),
        place % 2,
      ]);
    return { runners, lots: [], turnedAway: [], ...(loads.length === 0 ? {} : { burdens: loads }) };
  }

  receive(message: unknown, from: string): void {
    const told = message as DataMessage;
    if (told.kind === "fellow-ask" || told.kind === "fellow-tell")
      this.#send(this.membership.peer(told, from, this.bus.now));
    else if (this.membership.receive(told as ControlMessage, from, this.bus.now))
      this.#send(this.membership.tell(this.bus.now));
  }

  strike(): void {
    this.#send(this.membership.beat(this.bus.now));
  }

  #send(sends: readonly { readonly to: string; readonly message: unknown }[]): void {
    for (const { to, message } of sends) this.bus.send(this, to, message);
  }
}

export function hollowCard(id: string, number: number): Omit<RunnerCard, "age"> {
  return {
    id,
    incarnation: 1_800_000_000_000,
    url: `http://10.128.${number >> 8}.${number & 255}:8080`,
    kind: "model",
    models: ["model-1"],
    labels: {},
    pool: "readers",
    seats: 160,
    zone: `zone-${number % 11}`,
    burden: 0,
  };
}

/** So many models, each with its queue, and so many ways beside them. */
export function configurationOf(models: number, ways: number): unknown {
  const value: {
    models: Record<string, unknown>;
    ways: Record<string, unknown>;
    pools: Record<string, unknown>;
    passages: Record<string, unknown>;
  } = {
    models: {},
    ways: {},
    pools: {
      readers: {
        models: ["model-1"],
        bucket: { tokens: 100_000, windowSeconds: 1, capacity: 100_000 },
      },
    },
    passages: {
      note: {
        host: "scale.example",
        prefix: "/note/",
        kind: "stream",
        pools: [{ pool: "readers", weight: 1 }],
        goesMost: 2,
        guard: 600_000,
      },
      slips: {
        host: "scale.example",
        prefix: "/slips/",
        kind: "lot",
        pools: [{ pool: "readers", weight: 1 }],
        goesMost: 3,
        guard: 600_000,
        keeps: 600,
      },
    },
  };
  for (let number = 1; number <= models; number += 1) {
    value.models[`model-${number}`] = {
      bucket: { tokens: 100_000, windowSeconds: 1, capacity: 100_000 },
      waiting: 1_000_000,
    };
    value.ways[`lot-${number}`] = { kind: "lot", model: `model-${number}` };
  }
  for (let number = 1; number <= ways; number += 1)
    value.ways[`way-${number}`] = {
      kind: "stream",
      model: `model-${1 + (number % models)}`,
      labels: { tenant: `tenant-${number}` },
    };
  const checked = configuration.check(value);
  if (!checked.ok) throw new Error(checked.reason);
  return checked.value;
}
