/** The fleet that a warm-up plays against: one pool of runners at loopback addresses and one passage of streams to it. */
import {
  configuration,
  type MarkedConfiguration,
  type Passage,
  type Pool,
} from "@chutewick/control";
import type { RunnerCard, RunnerRegistry } from "@chutewick/parts";
import type { FleetView } from "../fleet-view.js";

const POOL = "warm-up";

/** Where the passage of the sample fleet stands. */
export const SAMPLE_HOST = "warm-up.example";
export const SAMPLE_PATH = "/warm-up/";

/** Seats of a runner: far more than the calls of a warm-up take at once. */
const SEATS = 16;

/** ms. Patience, aim and pause between events of the passage: long, since a warm-up runs on a busy machine too. */
const PATIENCE = 10_000;

const pool: Pool = { models: [], connections: 0, probePath: "/" };

const passage: Passage = {
  host: SAMPLE_HOST,
  prefix: SAMPLE_PATH,
  kind: "stream",
  pools: [{ pool: POOL, weight: 1 }],
  rank: 0,
  goesMost: 1,
  guard: PATIENCE,
  aim: PATIENCE,
  gap: PATIENCE,
  resumable: true,
  affinity: true,
  waitingTokens: 0,
};

function sampleConfiguration(): MarkedConfiguration {
  const { blank } = configuration;
  const value = { ...blank.value, pools: { [POOL]: pool }, passages: { [POOL]: passage } };
  return { ...blank, value };
}

/** A fleet view that never changes. */
export class SampleFleet implements FleetView {
  readonly configuration = sampleConfiguration();
  readonly registry: RunnerRegistry = { nodes: [], runners: [] };
  #runners: readonly RunnerCard[];

  /** @param addresses host:port of each runner */
  constructor(addresses: readonly string[]) {
    this.#runners = addresses.map(runnerAt);
  }

  runners(): RunnerCard[] {
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

function runnerAt(address: string, index: number): RunnerCard {
  return {
    id: `${POOL}-${index}`,
    incarnation: 1,
    url: address,
    kind: "model",
    models: [],
    labels: {},
    seats: SEATS,
    zone: "",
    burden: 0,
    age: 0,
    pool: POOL,
  };
}
