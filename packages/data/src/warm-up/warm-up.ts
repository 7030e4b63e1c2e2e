/**
 * Plays the path of live requests against itself before callers come, so that the first ones run code that is compiled
 * already (docs/design.md §13.9). Everything it plays on is its own: front, relay, choice, links and a runner at loopback
 * addresses; nothing of the node's own state is touched.
 */
import { setTimeout as pause } from "node:timers/promises";
import { callerLimits, policy } from "@chutewick/parts";
import { monotonic } from "@chutewick/shell";
import type { AccessDesk, PassCaller } from "../access-desk.js";
import { isForCaller, PassCallers } from "../caller-delivery.js";
import { Choice } from "../choice.js";
import type { PassEvent, PassRequest, RunnerDialect } from "../dialect.js";
import type { Standing } from "../membership.js";
import { PassConnections } from "../pass-link.js";
import type { PassOutput } from "../pass.js";
import { RelayCore } from "../relay-core.js";
import { callOnce } from "./sample-caller.js";
import { SampleFleet } from "./sample-fleet.js";
import { SampleRunner } from "./sample-runner.js";
import type { SampleFront, WarmUpSample } from "./warm-up-sample.js";

const LOOPBACK_FREE_PORT = "127.0.0.1:0";

/** Runners of the sample fleet, so that a choice compares some. */
const RUNNERS = 3;

/** Connections to one runner. */
const CONNECTIONS = 4;

/** Calls after which a warm-up ends: beyond them the time of a call falls little (docs/decisions.md). */
const CALLS = 40;

/** ms. Between two calls, so that the node's own messages are not held up. */
const PAUSE = 2;

const standing: Standing = {
  identity: "warm-up",
  address: LOOPBACK_FREE_PORT,
  kind: "access",
  zone: "",
  http: LOOPBACK_FREE_PORT,
};

/** How a warm-up went. */
export interface WarmUpResult {
  /** Calls made, and those of them that got a whole answer. */
  readonly calls: number;
  readonly answered: number;
  /** ms. Time of the first call and of the last one. */
  readonly first: number;
  readonly last: number;
}

/** One warm-up of an access process. */
export class WarmUp {
  #sample: WarmUpSample;
  #runners: SampleRunner[] = [];
  #callers = new PassCallers();
  #tickets = 0;
  #dialect: RunnerDialect;

  constructor(dialect: RunnerDialect, sample: WarmUpSample) {
    this.#dialect = dialect;
    this.#sample = sample;
  }

  /** @param isWanted asked before each call; the warm-up ends where it says no */
  async run(isWanted: () => boolean): Promise<WarmUpResult> {
    const front = this.#sample.front(LOOPBACK_FREE_PORT);
    const links = await this.#openPath(front);
    const result = await this.#play(front, isWanted);
    links.close();
    await front.close();
    for (const runner of this.#runners) runner.close();
    return result;
  }

  async #play(front: SampleFront, isWanted: () => boolean): Promise<WarmUpResult> {
    let calls = 0;
    let answered = 0;
    let first = 0;
    let last = 0;
    while (calls < CALLS && isWanted()) {
      const startedAt = monotonic();
      if (await callOnce(front.address, this.#sample, calls)) answered += 1;
      last = monotonic() - startedAt;
      if (calls === 0) first = last;
      calls += 1;
      await pause(PAUSE);
    }
    return { calls, answered, first, last };
  }

  /** Puts front, relay, choice, links and runners together as an access process does. */
  async #openPath(front: SampleFront): Promise<PassConnections> {
    const addresses: string[] = [];
    for (let index = 0; index < RUNNERS; index += 1) {
      const runner = new SampleRunner(this.#sample);
      addresses.push(await runner.open());
      this.#runners.push(runner);
    }
    const fleet = new SampleFleet(addresses);
    const choice = new Choice(fleet, standing);
    const relay = new RelayCore(fleet, choice, policy.usual);
    const perform = (outputs: readonly PassOutput[]): void => {
      for (const output of outputs) this.#perform(output, links);
    };
    const links = new PassConnections({
      dialect: this.#dialect,
      mayStart: (go: number) => relay.mayStart(go, monotonic()),
      told: (go: number, event: PassEvent) => perform(relay.goEvent(go, event, monotonic())),
      share: () => CONNECTIONS,
      now: monotonic,
    });
    await front.open(this.#desk(relay, perform));
    return links;
  }

  #perform(output: PassOutput, links: PassConnections): void {
    if (output.kind === "pass-run") links.run(output.go, output.address, output.work);
    else if (output.kind === "pass-abandon") links.abandon(output.go);
    else if (isForCaller(output)) this.#callers.deliver(output);
  }

  #desk(relay: RelayCore, perform: (outputs: readonly PassOutput[]) => void): AccessDesk {
    const pass = (request: PassRequest, caller: PassCaller): string => {
      this.#tickets += 1;
      const ticket = `warm-up-${this.#tickets}`;
      this.#callers.add(ticket, caller);
      perform(relay.arrive(ticket, request, monotonic()));
      return ticket;
    };
    const left = (ticket: string): void => {
      if (this.#callers.remove(ticket)) perform(relay.left(ticket, monotonic()));
    };
    return {
      isReady: () => true,
      callerLimits: () => callerLimits.withUsual(undefined),
      takesLots: () => false,
      pass,
      left,
      slow: ignored,
      ready: ignored,
      handIn: unused,
      readLot: unused,
      readItem: unused,
      endLot: unused,
    };
  }
}

function ignored(): void {}

function unused(): never {
  throw new Error("a warm-up takes no lots");
}
