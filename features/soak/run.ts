import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { bounds, ports } from "../system/machine.js";
import { request } from "undici";
import { AnswerChecks } from "./answer-checks.js";
import { Lots } from "./lots.js";
import { Operator } from "./operator.js";
import { OwnCounters } from "./own-counters.js";
import { Probes } from "./probes.js";
import { Random } from "./random.js";
import { sizes, SoakSystem } from "./system.js";
import { holdsWithin, pause } from "./time.js";
import { Traffic } from "./traffic.js";
import { Troubles } from "./troubles.js";
import { Violations, type Violation } from "./violations.js";

/** ms. The whole system must be ready by then. */
const readyWithin = 30_000;
/** ms. After the last trouble the system goes on in calm for this long. */
const calmAfter = bounds.contactMs + bounds.stretchMs;
/** Nets 127.40 to 127.119 are the soak's; others of this repository use 127.0 and 127.9. */
const netFirst = 40;
const netCount = 80;

/** One run of the soak. */
export interface SoakOptions {
  readonly seed: number;
  readonly processes: keyof typeof sizes;
  /** How long troubles go on. */
  readonly seconds: number;
}

/** What a run found. */
export interface SoakResult {
  readonly violations: readonly Violation[];
  /** Where the logs of a failed run are. */
  readonly folder: string | undefined;
  readonly figures: SoakFigures;
}

/** What a run played and looked at. */
export interface SoakFigures {
  readonly changes: number;
  readonly races: number;
  readonly lostAnswers: number;
  /** Probes of the configuration that were judged. */
  readonly probes: number;
  /** Requests sent to a process after its planned stop had begun. */
  readonly lateRequests: number;
  /** Repeatable requests that ran though they were answered as not run. */
  readonly repeatableRan: number;
  readonly lots: number;
  /** Readings of the processes' own counters. */
  readonly counterReads: number;
  /** Answers by kind and status. */
  readonly answers: Readonly<Record<string, number>>;
  /** Troubles by name. */
  readonly troubles: Readonly<Record<string, number>>;
}

/** The parts of one run. */
interface Parts {
  readonly system: SoakSystem;
  readonly violations: Violations;
  readonly operator: Operator;
  readonly probes: Probes;
  readonly checks: AnswerChecks;
  readonly traffic: Traffic;
  readonly lots: Lots;
  readonly troubles: Troubles;
  readonly counters: OwnCounters;
}

/** Plays one seed from the start of the processes to their end. */
export async function runSeed(options: SoakOptions): Promise<SoakResult> {
  const folder = mkdtempSync(join(tmpdir(), `chutewick-soak-${options.seed}-`));
  const parts = assemble(options, folder);
  const { system, violations } = parts;
  try {
    await system.start();
    if (await isReady(parts)) await play(parts, options.seconds * 1_000);
    else violations.add("START", "the system was not ready in time");
  } finally {
    system.stop();
  }
  const hasFailed = violations.found.length > 0;
  if (hasFailed) writeFileSync(join(folder, "journal.txt"), violations.journal);
  else rmSync(folder, { recursive: true, force: true });
  return {
    violations: violations.found,
    folder: hasFailed ? folder : undefined,
    figures: figuresOf(parts),
  };
}

function assemble({ seed, processes }: SoakOptions, folder: string): Parts {
  const random = new Random(seed);
  const violations = new Violations();
  const net = netFirst + (seed % netCount);
  const system = new SoakSystem(net, sizes[processes], folder, violations);
  const operator = new Operator(system, violations, random.split());
  const probes = new Probes(system, operator, violations, random.split());
  const checks = new AnswerChecks(system, violations);
  const traffic = new Traffic(system, checks, random.split());
  const lots = new Lots(system, violations, random.split());
  const troubles = new Troubles({ system, traffic, checks, violations, random: random.split() });
  const counters = new OwnCounters(system, violations);
  return { system, violations, operator, probes, checks, traffic, lots, troubles, counters };
}

async function isReady({ system, operator }: Parts): Promise<boolean> {
  await operator.sendFirst();
  async function areAllReady(): Promise<boolean> {
    for (const { ip } of system.machines("access")) {
      try {
        const told = await request(`http://${ip}:${ports.readiness}/chutewick/readiness`);
        await told.body.dump();
        if (told.statusCode !== 200) return false;
      } catch {
        return false;
      }
    }
    return true;
  }
  return holdsWithin(readyWithin, areAllReady);
}

async function play(parts: Parts, span: number): Promise<void> {
  const { operator, probes, checks, traffic, lots, troubles, counters } = parts;
  const players = [operator, lots, probes, traffic, counters];
  const going = players.map((player) => player.run());
  await troubles.run(span);
  await pause(calmAfter);
  for (const player of players) player.stop();
  await Promise.all(going);
  await operator.checkReadBack();
  await lots.check();
  checks.judgeRuns();
  await counters.check();
}

function figuresOf({ operator, probes, checks, lots, troubles, counters }: Parts): SoakFigures {
  return {
    changes: operator.acknowledged,
    races: operator.races,
    lostAnswers: operator.lostAnswers,
    probes: probes.judged,
    lateRequests: checks.lateRequests,
    repeatableRan: checks.countRepeatableRan(),
    lots: lots.accepted.length,
    counterReads: counters.reads,
    answers: Object.fromEntries(checks.counts),
    troubles: Object.fromEntries(troubles.counts),
  };
}
