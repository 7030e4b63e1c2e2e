import { deepEqual, equal, ok } from "node:assert/strict";
import { Then, When } from "@cucumber/cucumber";
import { targetedFaults, guards, playAll, seeds, type Played } from "@chutewick/simulator";

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

export function breachesOf(played: readonly Played[]): string[] {
  const lines: string[] = [];
  for (const { options, violations } of played)
    for (const { rule, facts } of violations) lines.push(`seed ${options.seed}: ${rule}: ${facts}`);
  return lines;
}

function nothingBroke(this: World): void {
  deepEqual(breachesOf(this.played).slice(0, 10), []);
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
