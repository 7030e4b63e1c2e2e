import { spawn, type ChildProcess } from "node:child_process";
import { createWriteStream, mkdirSync, rmSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { StandInRunner, type Behaviour } from "@chutewick/runner";
import { request } from "undici";
import { HistoryRecorder, type Answer, type CommandResult } from "./history-recorder.js";
import { Relay } from "./relay.js";

/** A whole fleet on one machine, each process on a loopback address of its own. */
export interface FleetOptions {
  readonly folder: string;
  readonly access: number;
  readonly storage: number;
  readonly modelRunners: number;
  readonly plainRunners: number;
  readonly models: readonly string[];
  readonly behaviour?: Partial<Behaviour>;
  readonly seats?: number;
  /** Second number of the loopback addresses, so that two fleets can stand side by side. */
  readonly net?: number;
}

export interface Machine {
  readonly name: string;
  readonly kind: "access" | "storage" | "control";
  readonly host: string;
  readonly wire: string;
  readonly http: string;
  readonly data: string;
  child: ChildProcess | undefined;
  exit: Promise<number | null> | undefined;
}

const program = fileURLToPath(
  new URL("../../../programs/chutewick/dist/index.js", import.meta.url),
);
const zones = ["a", "b", "c"];

export class Fleet {
  readonly options: FleetOptions;
  readonly machines = new Map<string, Machine>();
  readonly runners: StandInRunner[] = [];
  readonly relay = new Relay();
  /** What its operators and callers of lots saw. */
  readonly history = new HistoryRecorder();
  #seeds: string[] = [];

  constructor(options: FleetOptions) {
    this.options = options;
    const net = options.net ?? 0;
    const kinds = [
      ["control", 3],
      ["storage", options.storage],
      ["access", options.access],
    ] as const;
    for (const [at, [kind, count]] of kinds.entries()) {
      for (let number = 1; number <= count; number += 1) {
        const name = `${kind}-${number}`;
        const host = `127.${net}.${at + 1}.${number}`;
        this.machines.set(name, {
          name,
          kind,
          host,
          wire: `${host}:7100`,
          http: `${host}:7200`,
          data: join(options.folder, name),
          child: undefined,
          exit: undefined,
        });
        if (kind === "control") this.#seeds.push(`${host}:7100`);
      }
    }
  }

  /** Addresses over HTTP of all machines of a kind. */
  http(kind: Machine["kind"]): string[] {
    const found: string[] = [];
    for (const machine of this.machines.values())
      if (machine.kind === kind) found.push(machine.http);
    return found;
  }

  machine(name: string): Machine {
    const machine = this.machines.get(name);
    if (machine === undefined) throw new Error(`there is no machine ${name}`);
    return machine;
  }

  async start(): Promise<void> {
    mkdirSync(this.options.folder, { recursive: true });
    for (const machine of this.machines.values())
      await this.relay.open(machine.wire, `${machine.host}:7101`);
    for (const machine of this.machines.values()) this.launch(machine.name);
  }

  launch(name: string): void {
    const machine = this.machine(name);
    const number = Number(name.split("-")[1]);
    const file = join(this.options.folder, `${name}.json`);
    writeFileSync(
      file,
      JSON.stringify({
        name,
        zone: zones[(number - 1) % 3],
        wire: machine.wire,
        wireListen: `${machine.host}:7101`,
        http: machine.http,
        seeds: this.#seeds,
        ...(machine.kind === "access" ? {} : { data: machine.data }),
      }),
    );
    const child = spawn(process.execPath, [program, machine.kind, "--settings", file], {
      stdio: ["ignore", "pipe", "pipe"],
    });
    const log = createWriteStream(join(this.options.folder, `${name}.log`), { flags: "a" });
    child.stdout.pipe(log, { end: false });
    child.stderr.pipe(log, { end: false });
    machine.child = child;
    function ended(resolve: (code: number | null) => void): void {
      child.once("exit", resolve);
    }
    machine.exit = new Promise(ended);
  }

  async startRunners(): Promise<void> {
    const { modelRunners, plainRunners, models, behaviour, seats } = this.options;
    const access = this.http("access");
    for (let number = 1; number <= modelRunners + plainRunners; number += 1) {
      const plain = number > modelRunners;
      const turned = [
        ...access.slice(number % access.length),
        ...access.slice(0, number % access.length),
      ];
      const runner = new StandInRunner({
        id: `${plain ? "plain" : "model"}-${number}`,
        address: `127.${this.options.net ?? 0}.4.${number}:7300`,
        kind: plain ? "plain" : "model",
        models: plain ? [] : models,
        seats: seats ?? (plain ? 64 : 32),
        zone: zones[number % 3]!,
        access: turned,
        behaviour: behaviour ?? {},
      });
      await runner.start();
      this.runners.push(runner);
    }
  }

  /** Runs the program once, as an operator would. */
  chutewick(words: readonly string[], input?: string): Promise<CommandResult> {
    if (!isConfigurationChange(words)) return this.#run(words, input);
    return this.history.command(words, () => this.#run(words, input));
  }

  async #run(words: readonly string[], input: string | undefined): Promise<CommandResult> {
    const child = spawn(process.execPath, [program, ...words], {
      stdio: ["pipe", "pipe", "pipe"],
      env: { ...process.env, CHUTEWICK_CONTROL: this.http("control").join(",") },
    });
    let out = "";
    let trouble = "";
    function told(chunk: Buffer): void {
      out += chunk.toString();
    }
    function complained(chunk: Buffer): void {
      trouble += chunk.toString();
    }
    child.stdout.on("data", told);
    child.stderr.on("data", complained);
    child.stdin.end(input ?? "");
    function ended(resolve: (code: number | null) => void): void {
      child.once("close", resolve);
    }
    return { code: await new Promise<number | null>(ended), out, trouble };
  }

  kill(name: string, signal: NodeJS.Signals = "SIGKILL"): Promise<number | null> {
    const machine = this.machine(name);
    machine.child?.kill(signal);
    return machine.exit ?? Promise.resolve(null);
  }

  freeze(name: string): void {
    this.machine(name).child?.kill("SIGSTOP");
  }
  wake(name: string): void {
    this.machine(name).child?.kill("SIGCONT");
  }
  wipe(name: string): void {
    rmSync(this.machine(name).data, { recursive: true, force: true });
  }

  async stop(): Promise<void> {
    for (const runner of this.runners) runner.crash();
    const ends: Promise<unknown>[] = [];
    for (const machine of this.machines.values()) {
      if (
        machine.child === undefined ||
        machine.child.exitCode !== null ||
        machine.child.signalCode !== null
      )
        continue;
      machine.child.kill("SIGKILL");
      ends.push(machine.exit!);
    }
    await Promise.all(ends);
    this.relay.close();
  }

  async status(name: string): Promise<Record<string, unknown> | undefined> {
    try {
      const told = await request(`http://${this.machine(name).http}/status`, {
        headersTimeout: 1_000,
        bodyTimeout: 1_000,
      });
      return (await told.body.json()) as Record<string, unknown>;
    } catch {
      return undefined;
    }
  }

  /** Asks again until something holds; the bound is for a system that hangs, not a pace. */
  async until(what: string, holds: () => Promise<boolean>, bound = 30_000): Promise<number> {
    const start = performance.now();
    for (;;) {
      if (await holds()) return performance.now() - start;
      if (performance.now() - start > bound) throw new Error(`not within ${bound} ms: ${what}`);
      await breath();
    }
  }

  /** The first whole state: a view of three, all nodes with a lease, all runners known everywhere. */
  async ready(): Promise<void> {
    const self = this;
    async function settled(): Promise<boolean> {
      for (const machine of self.machines.values()) {
        const status = await self.status(machine.name);
        if (status === undefined) return false;
        if (machine.kind === "control") {
          if (((status["view"] as { members?: unknown[] } | undefined)?.members?.length ?? 0) < 3)
            return false;
          if ((status["nodes"] as unknown[]).length < self.options.access + self.options.storage)
            return false;
        }
      }
      return true;
    }
    await this.until("fleet ready", settled);
  }

  async control(
    method: "GET" | "PUT" | "PATCH" | "POST" | "DELETE",
    path: string,
    body?: unknown,
    mark?: number,
    at = 0,
    patience = 10_000,
  ): Promise<Answer> {
    const to = this.http("control")[at]!;
    async function send(): Promise<Answer> {
      const told = await request(`http://${to}${path}`, {
        method,
        headersTimeout: patience,
        headers: {
          "content-type": "application/json",
          ...(mark === undefined ? {} : { "if-match": `"${mark}"` }),
        },
        ...(body === undefined ? {} : { body: JSON.stringify(body) }),
      });
      return {
        status: told.statusCode,
        body: (await told.body.json()) as Record<string, unknown>,
      };
    }
    if (path !== "/configuration") return send();
    return this.history.configuration({ method, base: mark }, send);
  }

  /** An order of an operator who tells it by a key, so that it may be sent again to any control machine. */
  order(
    { key, base, change }: KeyedOrder,
    at: number,
    patience: number,
    isAnswerLost: boolean,
  ): Promise<Answer> {
    const to = this.http("control")[at]!;
    async function send(): Promise<Answer> {
      const told = await request(`http://${to}/configuration`, {
        method: "PATCH",
        headersTimeout: patience,
        headers: {
          "content-type": "application/json",
          "if-match": `"${base}"`,
          "idempotency-key": key,
        },
        body: JSON.stringify(change),
      });
      const body = (await told.body.json()) as Record<string, unknown>;
      if (isAnswerLost) throw new Error("the answer was lost");
      return { status: told.statusCode, body };
    }
    return this.history.configuration({ method: "PATCH", key, base }, send);
  }
}

/** Commands that an operator changes the configuration with. */
function isConfigurationChange([command, verb]: readonly string[]): boolean {
  if (command === "configuration") return verb === "put" || verb === "patch";
  return command === "label" || (command === "season" && (verb === "put" || verb === "remove"));
}

/** A patch of the configuration, the same at each sending. */
export interface KeyedOrder {
  readonly key: string;
  readonly base: number;
  readonly change: unknown;
}

function breath(): Promise<void> {
  function begin(resolve: () => void): void {
    setTimeout(resolve, 25);
  }
  return new Promise(begin);
}
