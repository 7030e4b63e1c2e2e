/**
 * Exercises the path of live requests before callers connect, so that the first calls run code that is already compiled
 * (docs/design.md §13.9). A warm-up uses its own adapter, relay, balancer, connections and runners at loopback addresses
 * and does not touch the state of the node.
 */
import { setTimeout as pause } from "node:timers/promises";
import { callerLimits, policy } from "@chutewick/parts";
import { monotonicNow } from "@chutewick/shell";
import type { AccessApi, PassageCaller } from "../access-desk.js";
import { isForCaller, PassageCallers } from "../caller-delivery.js";
import { RunnerBalancer } from "../choice.js";
import type { PassageEvent, PassageRequest, RunnerProtocol } from "../dialect.js";
import { EventBudget } from "../event-budget.js";
import type { NodeIdentity } from "../membership.js";
import { PassageRunnerConnections } from "../pass-link.js";
import type { PassageOutput } from "../pass.js";
import { RelayCore } from "../relay-core.js";
import { callOnce } from "./sample-caller.js";
import { SampleFleet } from "./sample-fleet.js";
import { SampleRunner } from "./sample-runner.js";
import type { SampleAdapter, WarmUpSample } from "./warm-up-sample.js";

const LOOPBACK_FREE_PORT = "127.0.0.1:0";

/** Number of runners in the sample fleet: more than one, so that the balancer has runners to compare. */
const RUNNER_COUNT = 3;

const CONNECTIONS_PER_RUNNER = 4;

/** Maximum number of calls: more of them reduce the time of a call only a little (docs/decisions.md). */
const MAX_CALLS = 40;

/** Pause between two calls, so that the node's own messages are not delayed. */
const PAUSE_MS = 2;

const nodeIdentity: NodeIdentity = {
  identity: "warm-up",
  address: LOOPBACK_FREE_PORT,
  kind: "access",
  zone: "",
  http: LOOPBACK_FREE_PORT,
};

/** Result of a warm-up. */
export interface WarmUpResult {
  /** Number of calls made. */
  readonly calls: number;
  /** Number of calls that got a complete response. */
  readonly answered: number;
  /** Duration of the first call in ms. */
  readonly first: number;
  /** Duration of the last call in ms. */
  readonly last: number;
}

/** One warm-up of an access process. */
export class WarmUp {
  #sample: WarmUpSample;
  #runners: SampleRunner[] = [];
  #callers = new PassageCallers();
  #tickets = 0;
  #protocol: RunnerProtocol;

  constructor(protocol: RunnerProtocol, sample: WarmUpSample) {
    this.#protocol = protocol;
    this.#sample = sample;
  }

  /** @param isWanted checked before each call; the warm-up ends once it returns false */
  async run(isWanted: () => boolean): Promise<WarmUpResult> {
    const adapter = this.#sample.accessAdapter(LOOPBACK_FREE_PORT);
    const connections = await this.#openPath(adapter);
    const result = await this.#runCalls(adapter, isWanted);
    connections.close();
    await adapter.close();
    for (const runner of this.#runners) runner.close();
    return result;
  }

  async #runCalls(adapter: SampleAdapter, isWanted: () => boolean): Promise<WarmUpResult> {
    let calls = 0;
    let answered = 0;
    let first = 0;
    let last = 0;
    while (calls < MAX_CALLS && isWanted()) {
      const startedAt = monotonicNow();
      if (await callOnce(adapter.address, this.#sample, calls)) answered += 1;
      last = monotonicNow() - startedAt;
      if (calls === 0) first = last;
      calls += 1;
      await pause(PAUSE_MS);
    }
    return { calls, answered, first, last };
  }

  /** Assembles adapter, relay, balancer, connections and runners as an access process does. */
  async #openPath(adapter: SampleAdapter): Promise<PassageRunnerConnections> {
    const addresses: string[] = [];
    for (let index = 0; index < RUNNER_COUNT; index += 1) {
      const runner = new SampleRunner(this.#sample);
      addresses.push(await runner.open());
      this.#runners.push(runner);
    }
    const fleet = new SampleFleet(addresses);
    const balancer = new RunnerBalancer(fleet, nodeIdentity);
    const relay = new RelayCore(fleet, balancer, policy.defaults);
    const perform = (outputs: readonly PassageOutput[]): void => {
      for (const output of outputs) this.#perform(output, connections);
    };
    const connections = new PassageRunnerConnections({
      dialect: this.#protocol,
      mayStart: (attempt: number) => relay.mayStart(attempt, monotonicNow()),
      told: (attempt: number, event: PassageEvent) =>
        perform(relay.handleAttemptEvent(attempt, event, monotonicNow())),
      share: () => CONNECTIONS_PER_RUNNER,
      now: monotonicNow,
      eventBudget: new EventBudget(policy.defaults.memory),
    });
    await adapter.open(this.#api(relay, perform));
    return connections;
  }

  #perform(output: PassageOutput, connections: PassageRunnerConnections): void {
    if (output.kind === "pass-run") connections.run(output.go, output.address, output.work);
    else if (output.kind === "pass-abandon") connections.abandon(output.go);
    else if (isForCaller(output)) this.#callers.deliver(output);
  }

  #api(relay: RelayCore, perform: (outputs: readonly PassageOutput[]) => void): AccessApi {
    const pass = (request: PassageRequest, caller: PassageCaller): string => {
      this.#tickets += 1;
      const ticket = `warm-up-${this.#tickets}`;
      this.#callers.add(ticket, caller);
      perform(relay.arrive(ticket, request, monotonicNow()));
      return ticket;
    };
    const left = (ticket: string): void => {
      if (this.#callers.remove(ticket)) perform(relay.callerLeft(ticket, monotonicNow()));
    };
    return {
      isReady: () => true,
      callerLimits: () => callerLimits.withDefaults(undefined),
      takesLots: () => false,
      pass,
      callerLeft: left,
      pause: ignore,
      resume: ignore,
      submitLot: rejectLot,
      readLot: rejectLot,
      readItem: rejectLot,
      endLot: rejectLot,
    };
  }
}

function ignore(): void {}

function rejectLot(): never {
  throw new Error("a warm-up does not accept lots");
}
