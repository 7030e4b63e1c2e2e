import { Agent } from "node:http";
import { bounds, type Machine } from "../system/machine.js";
import type { AnswerChecks, WorkKind } from "./answer-checks.js";
import { nextId, send } from "./exchange.js";
import type { Random } from "./random.js";
import type { SoakSystem } from "./system.js";
import { now, pause } from "./time.js";

/** Clients of each access machine that go on sending on one connection each. */
const clientsEach = 3;
/** ms. Between the requests of one client. */
const pauseLeast = 60;
const pauseMost = 250;
/** ms. A client waits this long after a connection that did not come up. */
const pauseAfterFailure = 400;
const patience = 5_000;
/** Connections kept open and idle for requests long after a planned stop. */
const idleConnections = 12;
/** ms. The longest work of a request sent late, far below what its route allows. */
const lateWorkMost = 1_800;
const longStreams = 2;
const longPatience = 14_000;

/** One piece of work: its kind, its path, and how long a runner takes over it in ms. */
interface Work {
  readonly kind: WorkKind;
  readonly path: string;
  readonly takes: number;
}

/** The clients of a run. */
export class Traffic {
  #system: SoakSystem;
  #checks: AnswerChecks;
  #random: Random;
  #isOver = false;
  #late: Promise<void>[] = [];

  constructor(system: SoakSystem, checks: AnswerChecks, random: Random) {
    this.#system = system;
    this.#checks = checks;
    this.#random = random;
  }

  /** Sends until told to stop. */
  async run(): Promise<void> {
    const clients: Promise<void>[] = [];
    for (const { name } of this.#system.machines("access"))
      for (let count = 0; count < clientsEach; count += 1)
        clients.push(this.#keepSending(name, this.#random.split()));
    await Promise.all(clients);
    await Promise.all(this.#late);
  }

  stop(): void {
    this.#isOver = true;
  }

  /** Before a planned stop: begins long streams and opens connections, which send long after the stop has begun. */
  async prepareStop(machine: Machine): Promise<void> {
    const opened: Promise<Agent | undefined>[] = [];
    for (let count = 0; count < idleConnections; count += 1)
      opened.push(this.#openIdle(machine, this.#random.split()));
    const agents = await Promise.all(opened);
    for (const agent of agents)
      if (agent !== undefined) this.#late.push(this.#sendLate(machine, agent));
    for (let count = 0; count < longStreams; count += 1) this.#late.push(this.#streamLong(machine));
  }

  async #keepSending(name: string, random: Random): Promise<void> {
    const agent = keepingAgent();
    while (!this.#isOver) {
      await pause(random.between(pauseLeast, pauseMost));
      const isServed = await this.#work(this.#system.machine(name), drawWork(random), agent);
      if (!isServed) await pause(pauseAfterFailure);
    }
    agent.destroy();
  }

  /** Whether an answer came. */
  async #work(machine: Machine, work: Work, agent: Agent): Promise<boolean> {
    const { kind, path, takes } = work;
    const call = { machine, method: "POST", path, id: nextId(), agent, body: "{}" } as const;
    const exchange = await send({ ...call, patience });
    this.#checks.judge(kind, exchange, takes);
    return exchange.isComplete;
  }

  async #openIdle(machine: Machine, random: Random): Promise<Agent | undefined> {
    const agent = keepingAgent();
    const path = `/labels/${random.whole(0, 999)}`;
    const isOpen = await this.#work(machine, { kind: "safe", path, takes: 0 }, agent);
    if (isOpen) return agent;
    agent.destroy();
    return undefined;
  }

  async #sendLate(machine: Machine, agent: Agent): Promise<void> {
    const random = this.#random.split();
    await pause(random.between(0, bounds.graceS * 1_000));
    const takes = random.whole(0, lateWorkMost);
    const path = `/work/takes-${takes}/${random.whole(0, 999)}`;
    await this.#work(machine, { kind: "safe", path, takes }, agent);
    agent.destroy();
  }

  /** A stream that keeps the process busy for some seconds. */
  async #streamLong(machine: Machine): Promise<void> {
    const eventTakes = this.#random.whole(300, 1_250);
    const path = `/long/takes-${eventTakes}/${this.#random.whole(0, 999)}`;
    const call = { machine, method: "POST", path, id: nextId(), body: "{}" } as const;
    const begun = now();
    const exchange = await send({ ...call, patience: longPatience });
    this.#checks.judge("stream", exchange, Math.max(5 * eventTakes, now() - begun));
  }
}

function keepingAgent(): Agent {
  return new Agent({ keepAlive: true, maxSockets: 1 });
}

function drawWork(random: Random): Work {
  const number = random.whole(0, 9_999);
  const draw = random.next();
  if (draw < 0.3) return { kind: "unsafe", path: `/pay/${number}`, takes: 40 };
  if (draw < 0.45) return { kind: "stream", path: `/notes/${number}`, takes: 20 };
  if (draw < 0.65) return { kind: "safe", path: `/labels/takes-300/${number}`, takes: 300 };
  return { kind: "safe", path: `/labels/${number}`, takes: 0 };
}
