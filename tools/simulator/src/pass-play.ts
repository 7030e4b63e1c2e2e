import { constants } from "@chutewick/parts";
import { configuration, type Configuration, type ControlOutcome } from "@chutewick/control";
import type {
  AccessOutput,
  LotEntry,
  LotResult,
  LotTold,
  PassEvent,
  PassOutput,
  PassWork,
} from "@chutewick/data";
import { judge, lotLog, type LotInput, type LotOperation } from "@chutewick/history";
import { AccessMachine, ControlMachine, StorageMachine, type AccessHooks } from "./machines.js";
import { lotOperationOf } from "./pass-history.js";
import { World, type Machine } from "./world.js";

/** Lots on passages under faults: callers, runners and a checker of what they saw (docs/design.md §13.7). */
export interface PassPlayOptions {
  readonly seed: number;
  /** ms of traffic, with faults where they are wanted, and then of calm. */
  readonly stormy: number;
  readonly calm: number;
  readonly faults: readonly Fault[];
  readonly allowance?: number;
  readonly lotEvery?: number;
  readonly access?: number;
  readonly items?: number;
  /** The passage moves between pools, goes and comes back. */
  readonly moves?: boolean;
}

export type Fault =
  | "kill-access"
  | "freeze-access"
  | "kill-storage"
  | "freeze-storage"
  | "wipe-storage"
  | "cut-storage"
  | "power"
  | "kill-control"
  | "loss"
  | "runners"
  | "cut-access";

interface ItemSight {
  readonly id: string;
  readonly events: number;
  readonly poisoned: boolean;
  troubles: number;
  finished: boolean;
  finishedAt: number;
  begunAt: number;
  runs: number;
}

export interface LotSight {
  readonly id: string;
  readonly items: Map<string, ItemSight>;
  readonly entries: readonly LotEntry[];
  readonly tries: string[];
  readonly firstAt: number;
  toldAt: number | undefined;
  takenAt: number | undefined;
  endAskedAt: number | undefined;
  endedAt: number | undefined;
  readonly shown: LotResult[];
  /** What its callers saw of it, judged when the books are closed. */
  readonly operations: LotOperation[];
  doneAt: number | undefined;
}

interface PassRunner {
  readonly id: string;
  readonly address: string;
  readonly pool: string;
  incarnation: number;
  alive: boolean;
  runs: Set<() => void>;
}

/** How often things go wrong at runners, and how fast they are. */
interface Manner {
  trouble: number;
  tear: number;
  turnAway: number;
  pieceMs: number;
}

const host = "hub.example";
const askPatience = 4_000;

export class PassPlay {
  readonly world: World;
  readonly options: PassPlayOptions;
  readonly controls: ControlMachine[] = [];
  readonly storages: StorageMachine[] = [];
  readonly accesses: AccessMachine[] = [];
  readonly runners: PassRunner[] = [];
  readonly lots: LotSight[] = [];
  readonly breaches: string[] = [];
  readonly manner: Manner = { trouble: 0.02, tear: 0.05, turnAway: 0.05, pieceMs: 30 };
  readonly counts: Record<string, number> = {};
  #told = new Map<string, (told: LotTold) => void>();
  #ticketNumber = 0;
  #lotNumber = 0;
  #quietAt: number;
  #itemOf = new Map<string, { lot: LotSight; item: ItemSight }>();
  #links = new Map<string, () => void>();
  #pools = ["readers"];
  #wipedAt = Number.NEGATIVE_INFINITY;

  constructor(options: PassPlayOptions) {
    this.options = options;
    this.world = new World(options.seed);
    this.#quietAt = 6_000 + options.stormy;
    const { world } = this;
    const seeds = ["control-1", "control-2", "control-3"];
    for (const seed of seeds) this.controls.push(new ControlMachine(world, seed, seed, seeds));
    for (let number = 1; number <= 3; number += 1)
      this.storages.push(
        new StorageMachine(world, `storage-${number}`, `storage-${number}`, seeds),
      );
    const hooks: AccessHooks = { runnerAt: nobody, began: nothing };
    for (let number = 1; number <= (options.access ?? 3); number += 1) {
      const machine = new AccessMachine(
        world,
        `access-${number}`,
        `access-${number}`,
        seeds,
        hooks,
      );
      const self = this;
      function passing(output: PassOutput): void {
        self.#passing(machine, output);
      }
      machine.passing = passing;
      this.accesses.push(machine);
    }
    for (let number = 1; number <= 6; number += 1)
      this.runners.push({
        id: `runner-${number}`,
        address: `10.0.0.${number}:80`,
        pool: number <= 4 ? "readers" : "others",
        incarnation: 1,
        alive: true,
        runs: new Set(),
      });
  }

  get machines(): Machine[] {
    return [...this.controls, ...this.storages, ...this.accesses];
  }

  breach(text: string): void {
    this.breaches.push(`${Math.round(this.world.now)} ms: ${text}`);
  }

  #count(what: string): void {
    this.counts[what] = (this.counts[what] ?? 0) + 1;
  }

  begin(): void {
    for (const machine of this.machines) machine.start();
    for (const runner of this.runners) this.#announcing(runner);
    this.enter(0);
  }

  run(): this {
    const { world, options } = this;
    const self = this;
    this.begin();
    function traffic(): void {
      if (world.now > self.#quietAt) return;
      self.handIn();
      world.after(world.chance.between(0.3, 1.7) * (options.lotEvery ?? 700), traffic);
    }
    world.at(6_000, traffic);
    for (const fault of options.faults) {
      function strike(): void {
        if (world.now > self.#quietAt) return;
        self.#strike(fault);
        world.after(world.chance.between(3_000, 7_000), strike);
      }
      world.at(8_000 + world.chance.between(0, 4_000), strike);
    }
    if (options.moves === true) {
      function move(): void {
        if (world.now > self.#quietAt) return;
        self.#pools = world.chance.pick([["readers"], ["others"], ["readers", "others"]]);
        self.enter(undefined);
        world.after(world.chance.between(2_000, 6_000), move);
      }
      world.at(9_000, move);
    }
    world.run(this.#quietAt);
    this.heal();
    world.run(this.#quietAt + options.calm);
    this.#closeBooks();
    return this;
  }

  /** Everything stands again. */
  heal(): void {
    this.world.mend();
    this.world.loss = 0;
    for (const machine of this.machines) {
      if (!machine.alive) machine.start();
      machine.wake();
    }
    for (const runner of this.runners) runner.alive = true;
    this.manner.tear = 0.02;
  }

  // Configuration

  configurationNow(): Configuration {
    const pools: { pool: string; weight: number }[] = [];
    for (const pool of this.#pools) pools.push({ pool, weight: 1 });
    const checked = configuration.check({
      pools: { readers: { models: ["m"] }, others: { models: ["m"] } },
      passages: {
        slips: {
          host,
          prefix: "/slips/",
          kind: "lot",
          pools,
          goesMost: 3,
          guard: 6_000,
          waitingTokens: this.options.allowance ?? 0,
          keeps: 120,
        },
      },
    });
    if (!checked.ok) throw new Error(checked.reason);
    return checked.value;
  }

  enter(expected: number | undefined): void {
    const { world } = this;
    const self = this;
    const value = this.configurationNow();
    function put(): void {
      function told(outcome: ControlOutcome | undefined): void {
        if (outcome?.kind !== "confirmed") world.after(300, put);
      }
      world.chance.pick(self.controls).inquire({ kind: "put", expected, value }, told);
    }
    world.at(Math.max(1_500, world.now), put);
  }

  // Runners

  #announcing(runner: PassRunner): void {
    const { world } = this;
    const self = this;
    function announce(): void {
      world.after(constants.announceEvery, announce);
      if (!runner.alive) return;
      for (let tries = 0; tries < 2; tries += 1) {
        const access = world.chance.pick(self.accesses);
        const card = {
          id: runner.id,
          incarnation: runner.incarnation,
          url: runner.address,
          kind: "model" as const,
          models: ["m"],
          labels: {},
          seats: 16,
          zone: "a",
          burden: runner.runs.size,
          pool: runner.pool,
        };
        function enter(): void {
          access.perform(access.core.announce("announcing", card, world.now));
        }
        if (access.alive) access.mine(enter)();
      }
    }
    world.after(world.chance.between(0, 500), announce);
  }

  #passing(machine: AccessMachine, output: PassOutput): void {
    switch (output.kind) {
      case "lot-told": {
        const told = this.#told.get(output.ticket);
        this.#told.delete(output.ticket);
        told?.(output.told);
        return;
      }
      case "pass-run":
        return this.#run(machine, output.go, output.address, output.work);
      case "pass-abandon": {
        const key = `${machine.name}/${machine.life}/${output.go}`;
        this.#links.get(key)?.();
        this.#links.delete(key);
      }
    }
  }

  #run(machine: AccessMachine, go: number, address: string, work: PassWork): void {
    const { world, manner } = this;
    const self = this;
    const { life } = machine;
    const runner = this.runners.find(isAt, { address })!;
    const key = `${machine.name}/${life}/${go}`;
    let over = false;
    function stop(): void {
      over = true;
      runner.runs.delete(stop);
      self.#links.delete(key);
    }
    function tell(event: PassEvent): void {
      function take(): void {
        machine.perform(machine.core.passEvent(go, event, world.now));
      }
      if (machine.life === life) machine.mine(take)();
    }
    function last(event: PassEvent): void {
      if (over) return;
      stop();
      tell(event);
    }
    this.#links.set(key, stop);
    function connected(): void {
      if (over || machine.life !== life || !machine.alive) return;
      const reason = machine.core.mayPass(go, world.now);
      if (reason !== undefined) return last({ kind: "unsent", reason });
      if (!runner.alive) return last({ kind: "unsent", reason: "connection refused" });
      if (world.chance.happens(manner.turnAway))
        return last({ kind: "refused", status: 503, retryAfter: 0.1, otherRunner: false });
      runner.runs.add(stop);
      begin();
    }
    function begin(): void {
      const known = self.#itemOf.get(work.request.id);
      if (known === undefined) return self.breach(`unasked: ${work.request.id}`);
      const { lot, item } = known;
      self.#look(lot, item, work, runner);
      item.runs += 1;
      item.begunAt = world.now;
      self.#count("runs");
      if (item.poisoned) return fail(422);
      if (work.resumeAfter === undefined && world.chance.happens(manner.trouble)) {
        item.troubles += 1;
        return fail(500);
      }
      tell({ kind: "head", status: 200, headers: [], stamped: true });
      const tearsAt = world.chance.happens(manner.tear)
        ? world.chance.below(item.events + 1)
        : Number.POSITIVE_INFINITY;
      function piece(number: number): void {
        function next(): void {
          if (over) return;
          if (!runner.alive || number > tearsAt)
            return last({ kind: "broken", reason: "the link broke" });
          if (number > item.events) {
            item.finished = true;
            item.finishedAt = world.now;
            return last({ kind: "end" });
          }
          const data = dataOf(item.id, number);
          tell({ kind: "event", number, data, bytes: new TextEncoder().encode(data) });
          piece(number + 1);
        }
        world.after(world.chance.between(0.5, 1.5) * manner.pieceMs, next);
      }
      piece((work.resumeAfter ?? 0) + 1);
    }
    function fail(status: number): void {
      function say(): void {
        if (over) return;
        tell({ kind: "head", status, headers: [], stamped: true });
        last({ kind: "end" });
      }
      world.after(world.chance.between(1, 40), say);
    }
    world.after(world.chance.between(0.5, 3), connected);
  }

  /** What no run may be. */
  #look(lot: LotSight, item: ItemSight, work: PassWork, runner: PassRunner): void {
    if (lot.endedAt !== undefined && this.world.now > lot.endedAt + 3_000)
      this.breach(
        `${item.id} runs ${Math.round(this.world.now - lot.endedAt)} ms after the end of its lot`,
      );
    if (
      work.request.path !== `/slips/${item.id}` ||
      new TextDecoder().decode(work.request.body) !== `body of ${item.id}` ||
      work.request.host !== host
    )
      this.breach(`${item.id} is not as it was handed in`);
    if (runner.pool !== "readers" && this.options.moves !== true)
      this.breach(`${item.id} runs in the wrong pool`);
  }

  // Callers

  #ask(
    enter: (machine: AccessMachine, ticket: string) => readonly AccessOutput[],
    told: (told: LotTold | undefined) => void,
    patience = askPatience,
  ): void {
    const { world } = this;
    const machine = world.chance.pick(this.accesses);
    this.#ticketNumber += 1;
    const ticket = `caller-${this.#ticketNumber}`;
    let ended = false;
    function end(what: LotTold | undefined): void {
      if (ended) return;
      ended = true;
      told(what);
    }
    const self = this;
    this.#told.set(ticket, end);
    function silence(): void {
      self.#told.delete(ticket);
      end(undefined);
    }
    if (!machine.alive) return void world.after(5, silence);
    function take(): void {
      machine.perform(enter(machine, ticket));
    }
    machine.mine(take)();
    world.after(patience, silence);
  }

  /** As #ask, and recorded as an operation of the lot's history. */
  #askLot(
    lot: LotSight,
    input: LotInput,
    enter: (machine: AccessMachine, ticket: string) => readonly AccessOutput[],
    answered: { readonly told: (told: LotTold | undefined) => void; readonly patience?: number },
  ): void {
    const { world } = this;
    const calledAt = world.now;
    const tell = (told: LotTold | undefined): void => {
      const exchange = { lot: lot.id, input, calledAt, returnedAt: world.now, told };
      lot.operations.push(lotOperationOf(exchange));
      answered.told(told);
    };
    this.#ask(enter, tell, answered.patience);
  }

  handIn(): LotSight {
    const { world } = this;
    this.#lotNumber += 1;
    const id = `lot/${this.#lotNumber}.x`;
    const entries: LotEntry[] = [];
    const items = new Map<string, ItemSight>();
    const count = 1 + world.chance.below((this.options.items ?? 12) * 2 - 1);
    for (let index = 0; index < count; index += 1) {
      const item = `${id}-${index}`;
      entries.push({
        id: item,
        path: `/slips/${item}`,
        headers: [],
        body: new TextEncoder().encode(`body of ${item}`),
        tokens: 10 + world.chance.below(20),
        model: "m",
      });
      items.set(item, {
        id: item,
        events: 1 + world.chance.below(12),
        poisoned: world.chance.happens(0.02),
        troubles: 0,
        finished: false,
        finishedAt: 0,
        begunAt: 0,
        runs: 0,
      });
    }
    const lot: LotSight = {
      id,
      items,
      entries,
      tries: [],
      firstAt: world.now,
      toldAt: undefined,
      takenAt: undefined,
      endAskedAt: undefined,
      endedAt: undefined,
      shown: [],
      operations: [],
      doneAt: undefined,
    };
    for (const item of items.values()) this.#itemOf.set(item.id, { lot, item });
    this.lots.push(lot);
    this.#tryLot(lot);
    return lot;
  }

  #tryLot(lot: LotSight): void {
    const { world } = this;
    const self = this;
    function enter(machine: AccessMachine, ticket: string): readonly AccessOutput[] {
      return machine.core.lots.handIn(
        ticket,
        { lot: lot.id, host, path: "/slips/x", entries: lot.entries },
        world.now,
      );
    }
    function told(what: LotTold | undefined): void {
      lot.tries.push(what === undefined ? "silence" : what.kind);
      if (what !== undefined) lot.toldAt ??= world.now;
      self.#count(`hand-in ${lot.tries.at(-1)}`);
      if (what?.kind === "taken") {
        if (lot.takenAt === undefined) {
          lot.takenAt = world.now;
          self.#look4Room();
          self.#follow(lot);
        }
        return;
      }
      if (lot.tries.length >= 3 && (lot.takenAt !== undefined || lot.tries.every(isRefused)))
        return;
      if (lot.tries.length >= 8) return;
      function again(): void {
        self.#tryLot(lot);
      }
      world.after(world.chance.between(100, 600), again);
    }
    this.#askLot(lot, { kind: "admit" }, enter, { told });
    /** Now and then the same lot is handed in twice. */
    if (world.chance.happens(0.1) && lot.tries.length === 0)
      this.#askLot(lot, { kind: "admit" }, enter, { told: twice });
    function twice(what: LotTold | undefined): void {
      if (what?.kind === "taken" && lot.takenAt === undefined) told(what);
      else lot.tries.push(what?.kind ?? "silence");
    }
  }

  /** Tokens accepted and not finished, of lots whose end was not asked for. */
  #look4Room(): void {
    const { allowance } = this.options;
    if (allowance === undefined) return;
    let tokens = 0;
    for (const lot of this.lots) {
      if (lot.takenAt === undefined || lot.endAskedAt !== undefined) continue;
      for (const [place, item] of [...lot.items.values()].entries())
        if (!item.finished && !item.poisoned && item.troubles < 3)
          tokens += lot.entries[place]!.tokens;
    }
    if (tokens > allowance) this.breach(`${tokens} tokens wait, ${allowance} may`);
  }

  #follow(lot: LotSight): void {
    const { world } = this;
    const self = this;
    if (world.chance.happens(0.1)) {
      function end(): void {
        self.#end(lot);
      }
      world.after(world.chance.between(50, 2_500), end);
    }
    function read(): void {
      if (lot.doneAt !== undefined || lot.endAskedAt !== undefined) return;
      const from = world.chance.happens(0.15)
        ? world.chance.below(lot.shown.length + 1)
        : lot.shown.length;
      self.#read(lot, from, world.chance.happens(0.7) ? 1_000 : 0, after);
    }
    function after(): void {
      world.after(world.chance.between(200, 500), read);
    }
    read();
    function body(): void {
      if (lot.doneAt !== undefined || lot.endAskedAt !== undefined) return;
      self.#readBody(lot);
      world.after(world.chance.between(500, 3_000), body);
    }
    body();
  }

  #read(lot: LotSight, from: number, hold: number, after: () => void): void {
    const { world } = this;
    const self = this;
    function enter(machine: AccessMachine, ticket: string): readonly AccessOutput[] {
      return machine.core.lots.read(ticket, lot.id, host, from, hold, world.now);
    }
    function told(what: LotTold | undefined): void {
      self.#count(`read ${what?.kind ?? "silence"}`);
      if (what?.kind === "results") self.#see(lot, from, what);
      after();
    }
    this.#askLot(lot, { kind: "read", from }, enter, { told, patience: hold + 1_500 });
  }

  /** What one answer shows for itself; what answers show together is judged as the lot's history. */
  #see(
    lot: LotSight,
    from: number,
    { total, results, next }: Extract<LotTold, { kind: "results" }>,
  ): void {
    if (total !== lot.items.size || next !== from + results.length)
      this.breach(`${lot.id}: total ${total}, next ${next}`);
    for (const [offset, result] of results.entries()) {
      if (from + offset < lot.shown.length) continue;
      this.#judge(lot, result);
      lot.shown.push(result);
    }
    if (lot.shown.length === lot.items.size) lot.doneAt ??= this.world.now;
  }

  #judge(lot: LotSight, result: LotResult): void {
    const item = lot.items.get(result.item);
    if (item === undefined)
      return this.breach(`${lot.id} lists ${result.item}, which is not its own`);
    this.#count(`item ${result.state}`);
    if (result.state === "failed") {
      if (
        !item.poisoned &&
        item.troubles < 3 &&
        lot.endAskedAt === undefined &&
        this.world.now < lot.firstAt + 120_000
      )
        this.breach(`${item.id} is given up after ${item.troubles} troubles`);
      return;
    }
    const texts: string[] = [];
    for (let number = 1; number <= item.events; number += 1) texts.push(dataOf(item.id, number));
    if (result.text !== texts.join("\n"))
      this.breach(`${item.id} is solved with ${JSON.stringify(result.text)}`);
  }

  #readBody(lot: LotSight): void {
    const { world } = this;
    const self = this;
    const entry = world.chance.pick(lot.entries);
    function enter(machine: AccessMachine, ticket: string): readonly AccessOutput[] {
      return machine.core.lots.item(ticket, lot.id, entry.id, world.now);
    }
    function told(what: LotTold | undefined): void {
      if (what?.kind === "body" && new TextDecoder().decode(what.bytes) !== `body of ${entry.id}`)
        self.breach(`the body of ${entry.id} differs`);
      if (what?.kind !== "missing" || lot.endAskedAt !== undefined) return;
      /** Right only where it is listed by now. */
      function check(): void {
        if (lot.endAskedAt !== undefined || lot.shown.some(isItem, { item: entry.id })) return;
        if (lot.doneAt !== undefined || world.now > self.#quietAt + 10_000)
          self.breach(`the body of ${entry.id} was missing, and it is not listed`);
        else world.after(1_000, check);
      }
      world.after(1_000, check);
    }
    this.#ask(enter, told);
  }

  #end(lot: LotSight): void {
    const { world } = this;
    const self = this;
    lot.endAskedAt ??= world.now;
    function enter(machine: AccessMachine, ticket: string): readonly AccessOutput[] {
      return machine.core.lots.end(ticket, lot.id, host, world.now);
    }
    function told(what: LotTold | undefined): void {
      self.#count(`end ${what?.kind ?? "silence"}`);
      if (what?.kind === "ended") lot.endedAt ??= world.now;
      else if (what?.kind !== "missing") world.after(300, again);
    }
    function again(): void {
      self.#end(lot);
    }
    this.#askLot(lot, { kind: "end" }, enter, { told });
  }

  /** The end of a lot is asked for now; false where it is not taken, or was ended before. */
  endLot(id: string): boolean {
    const lot = this.lots.find(isLot, { id });
    if (lot?.takenAt === undefined || lot.endAskedAt !== undefined) return false;
    this.#end(lot);
    return true;
  }

  /** One lot, read with a hold by one caller; the ms from the end of a run to the telling of its result. */
  watchHeld(until: number): number[] {
    const { world } = this;
    const self = this;
    const waits: number[] = [];
    const lot = this.handIn();
    function read(): void {
      if (lot.shown.length === lot.items.size || world.now > until) return;
      const before = lot.shown.length;
      const askedAt = world.now;
      self.#read(lot, before, 1_000, after);
      function after(): void {
        for (const { item, state } of lot.shown.slice(before))
          if (state === "solved" && lot.items.get(item)!.finishedAt > askedAt)
            waits.push(world.now - lot.items.get(item)!.finishedAt);
        read();
      }
    }
    world.after(300, read);
    world.run(until);
    return waits;
  }

  /** The only dispatcher dies amid its runs and begins anew; the ms from its first draw until the last of those runs begins again. */
  watchNewLife(): number {
    const { world } = this;
    const [access] = this.accesses as [AccessMachine];
    const lot = this.handIn();
    world.run(world.now + 500);
    const under: ItemSight[] = [];
    for (const item of lot.items.values())
      if (item.runs > 0 && !item.finished && !item.poisoned) under.push(item);
    access.kill(false);
    world.run(world.now + 100);
    access.start();
    const { address } = access;
    let drawnAt = Number.POSITIVE_INFINITY;
    function watch(from: string, _to: string, message: unknown): undefined {
      const { kind, command } = message as { kind: string; command?: { kind: string } };
      if (from === address && kind === "queue-inquiry" && command?.kind === "draw")
        drawnAt = Math.min(drawnAt, world.now);
    }
    world.watch = watch;
    world.run(world.now + 10_000);
    let last = under.length === 0 ? Number.POSITIVE_INFINITY : 0;
    for (const item of under)
      last = Math.max(last, item.runs > 1 ? item.begunAt : Number.POSITIVE_INFINITY);
    return last - drawnAt;
  }

  /** Lots handed in one after another, and how long each caller waited for its first word. */
  watchHandIns(count: number, every: number): number[] {
    const { world } = this;
    const waits: number[] = [];
    const lots: LotSight[] = [];
    for (let number = 0; number < count; number += 1) {
      lots.push(this.handIn());
      world.run(world.now + every);
    }
    const until = world.now + 6_000;
    while (world.now < until) {
      world.run(world.now + 10);
      for (const lot of lots) if (lot.toldAt !== undefined) waits.push(lot.toldAt - lot.firstAt);
      if (waits.length === count) break;
      if (world.now < until) waits.length = 0;
    }
    world.mend();
    this.#closeBooks();
    return waits;
  }

  // Faults: one machine of a kind at a time, back before the next

  #strike(fault: Fault): void {
    const { world } = this;
    const { chance } = world;
    const self = this;
    this.#count(`fault ${fault}`);
    function backAfter(machine: Machine, milliseconds: number): void {
      function back(): void {
        if (!machine.alive) machine.start();
        else machine.wake();
      }
      world.after(milliseconds, back);
    }
    function mend(): void {
      world.mend();
    }
    const storages = this.storages.filter(isUp);
    switch (fault) {
      case "kill-access":
      case "freeze-access": {
        const machine = chance.pick(this.accesses);
        if (!machine.alive || machine.frozen) return;
        if (fault === "kill-access") machine.kill(false);
        else machine.freeze();
        return backAfter(machine, chance.between(300, 5_000));
      }
      case "kill-storage":
      case "freeze-storage":
      case "wipe-storage": {
        if (storages.length < 3 || world.now - this.#wipedAt < 12_000) return;
        const machine = chance.pick(storages);
        if (fault === "freeze-storage") machine.freeze();
        else machine.kill(chance.happens(0.5));
        if (fault === "wipe-storage") {
          machine.wipe();
          this.#wipedAt = world.now;
        }
        return backAfter(machine, chance.between(300, 5_000));
      }
      case "cut-storage": {
        const machine = chance.pick(this.storages);
        for (const other of this.storages)
          if (other !== machine) world.cut(machine.address, other.address);
        return world.after(chance.between(500, 4_000), mend);
      }
      case "cut-access": {
        const machine = chance.pick(this.accesses);
        world.isolate(machine.address);
        return world.after(chance.between(500, 4_000), mend);
      }
      case "power": {
        for (const machine of this.storages) {
          if (machine.alive) machine.kill(true);
          backAfter(machine, chance.between(500, 1_500));
        }
        return;
      }
      case "kill-control": {
        const up = this.controls.filter(isUp);
        if (up.length < 3) return;
        const machine = chance.pick(up);
        machine.kill(chance.happens(0.5));
        return backAfter(machine, chance.between(300, 4_000));
      }
      case "loss": {
        world.loss = chance.between(0.01, 0.15);
        function calm(): void {
          world.loss = 0;
        }
        return world.after(chance.between(500, 3_000), calm);
      }
      case "runners": {
        const runner = chance.pick(this.runners);
        runner.alive = false;
        function again(): void {
          runner.incarnation += 1;
          runner.alive = true;
        }
        this.manner.tear = chance.between(0, 0.5);
        this.manner.trouble = chance.between(0, 0.2);
        function calm(): void {
          self.manner.tear = 0.05;
        }
        world.after(2_000, calm);
        return world.after(chance.between(500, 3_000), again);
      }
    }
  }

  /** After the calm every lot that was taken and not ended is done, and reads from the start as it was shown. */
  #closeBooks(): void {
    const { world } = this;
    for (const lot of this.lots) {
      /** Every try is over by now. */
      if (lot.takenAt === undefined && lot.tries.every(isRefused))
        for (const item of lot.items.values())
          if (item.runs > 0) this.breach(`${item.id} of a refused lot ran`);
      if (lot.takenAt === undefined || lot.endAskedAt !== undefined) continue;
      if (lot.doneAt === undefined)
        this.breach(`${lot.id} is not done: ${lot.shown.length} of ${lot.items.size}`);
    }
    const until = world.now + 6_000;
    for (const lot of this.lots) if (lot.takenAt !== undefined) this.#read(lot, 0, 0, nothing);
    world.run(until);
    for (const lot of this.lots)
      for (const { rule, facts } of judge(lotLog, lot.operations))
        this.breach(`${lot.id}: ${rule}: ${facts}`);
  }
}

function dataOf(item: string, number: number): string {
  return `${item}#${number}`;
}

function isRefused(told: string): boolean {
  return told === "refused";
}

function isLot(this: { id: string }, lot: LotSight): boolean {
  return lot.id === this.id;
}

function isItem(this: { item: string }, result: LotResult): boolean {
  return result.item === this.item;
}

function isAt(this: { address: string }, runner: PassRunner): boolean {
  return runner.address === this.address;
}

function isUp(machine: Machine): boolean {
  return machine.alive && !machine.frozen;
}

function nobody(): undefined {
  return undefined;
}

function nothing(): void {
  // Own ways are not played here.
}
