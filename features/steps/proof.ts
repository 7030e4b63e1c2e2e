import { deepEqual, equal, ok } from "node:assert/strict";
import { Then, When } from "@cucumber/cucumber";
import {
  breachesOf,
  targetedFaults,
  guards,
  playAll,
  seeds,
  type Played,
} from "@chutewick/simulator";

/** ms. A bound for many seeds on a loaded machine: only a hang reaches it. */
export const patience = { timeout: 900_000 };

interface World {
  fault: string;
  played: Played[];
}

async function theSeedsArePlayedWithTheFault(
  this: World,
  from: number,
  to: number,
  fault: string,
): Promise<void> {
  this.fault = fault;
  this.played = await playAll(seeds(from, to, targetedFaults[fault]!.options, fault));
}
When(
  "the seeds {int} to {int} are played with the fault {string}",
  patience,
  theSeedsArePlayedWithTheFault,
);

function itStruck(this: World, least: number): void {
  let all = 0;
  for (const { strikes } of this.played) all += strikes;
  ok(all >= least, `${all} strikes`);
}
Then("it struck at least {int} times in all", itStruck);

/** Violations of all runs; alarm: the invariant that the fault itself breaks, which each run must count. */
export function allBreachesOf(played: readonly Played[], alarm?: string): string[] {
  const lines: string[] = [];
  for (const one of played) lines.push(...breachesOf(one, alarm));
  return lines;
}

function nothingBroke(this: World): void {
  const alarm = targetedFaults[this.fault]?.alarm;
  deepEqual(allBreachesOf(this.played, alarm).slice(0, 10), []);
}
Then("nothing broke", nothingBroke);

function serviceIsBackWithin(this: World, most: number): void {
  for (const { options, back } of this.played)
    ok(
      back <= most,
      `seed ${options.seed}: live work, lots and changes are back after ${Math.round(back)} ms`,
    );
}
Then("live work, lots and changes are back within {int} ms", serviceIsBackWithin);

async function theSeedsArePlayedWithoutTheGuard(
  this: World,
  from: number,
  to: number,
  guard: string,
): Promise<void> {
  ok(Object.hasOwn(guards, guard), guard);
  this.played = await playAll(
    seeds(from, to, targetedFaults[this.fault]!.options, this.fault),
    guard,
  );
}
When(
  "the seeds {int} to {int} are played without the guard {string}",
  patience,
  theSeedsArePlayedWithoutTheGuard,
);

function theRuleBreaks(this: World, rule: string): void {
  equal(rule, targetedFaults[this.fault]!.rule);
  const found = new Set<string>();
  for (const { rules } of this.played) for (const each of rules) found.add(each);
  ok(found.has(rule), `only these broke: ${[...found].join(", ")}`);
}
Then("{string} breaks", theRuleBreaks);
