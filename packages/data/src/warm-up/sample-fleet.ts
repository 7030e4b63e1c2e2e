/** The fleet of a warm-up: one pool of runners at loopback addresses and one streaming passage to it. */
import {
  configuration,
  type VersionedConfiguration,
  type Passage,
  type Pool,
} from "@chutewick/control";
import type { RunnerDescriptor, RunnerRegistry } from "@chutewick/parts";
import type { FleetView } from "../fleet-view.js";

const POOL = "warm-up";

/** Host and path prefix of the passage of the sample fleet. */
export const SAMPLE_HOST = "warm-up.example";
export const SAMPLE_PATH = "/warm-up/";

/** Concurrency slots of a runner: far more than a warm-up uses at once. */
const RUNNER_SLOTS = 16;

/** Deadline, target and event gap of the passage: long, since a warm-up may run on a busy machine. */
const TIMEOUT_MS = 10_000;

const pool: Pool = { models: [], connections: 0, probePath: "/" };

const passage: Passage = {
  host: SAMPLE_HOST,
  prefix: SAMPLE_PATH,
  kind: "stream",
  pools: [{ pool: POOL, weight: 1 }],
  rank: 0,
  goesMost: 1,
  guard: TIMEOUT_MS,
  aim: TIMEOUT_MS,
  gap: TIMEOUT_MS,
  resumable: true,
  affinity: true,
  waitingTokens: 0,
};

function sampleConfiguration(): VersionedConfiguration {
  const { blank } = configuration;
  const value = { ...blank.value, pools: { [POOL]: pool }, passages: { [POOL]: passage } };
  return { ...blank, value };
}

/** A fleet view that never changes. */
export class SampleFleet implements FleetView {
  readonly configuration = sampleConfiguration();
  readonly registry: RunnerRegistry = { nodes: [], runners: [] };
  #runners: readonly RunnerDescriptor[];

  /** @param addresses host:port of each runner */
  constructor(addresses: readonly string[]) {
    this.#runners = addresses.map(runnerAt);
  }

  runners(): RunnerDescriptor[] {
    return [...this.#runners];
  }

  serves(): boolean {
    return true;
  }

  holds(): boolean {
    return true;
  }

  isClosed(): boolean {
    return false;
  }
}

function runnerAt(address: string, index: number): RunnerDescriptor {
  return {
    id: `${POOL}-${index}`,
    incarnation: 1,
    url: address,
    kind: "model",
    models: [],
    labels: {},
    seats: RUNNER_SLOTS,
    zone: "",
    burden: 0,
    age: 0,
    pool: POOL,
  };
}
