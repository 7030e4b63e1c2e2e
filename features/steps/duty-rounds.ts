import { deepEqual, ok } from "node:assert/strict";
import { Then, When } from "@cucumber/cucumber";
import { guards, playDutySeeds, type DutyPlayed } from "@chutewick/simulator";

/** Plays of the model of duties (docs/design.md §14). */
interface World {
  dutyPlays: DutyPlayed[];
}

/** ms. */
const patience = { timeout: 120_000 };

async function arePlayed(this: World, first: number, last: number): Promise<void> {
  this.dutyPlays = await playDutySeeds(first, last);
}
When("duties are played with the seeds {int} to {int}", patience, arePlayed);

async function arePlayedWithout(
  this: World,
  first: number,
  last: number,
  guard: string,
): Promise<void> {
  ok(Object.hasOwn(guards, guard), guard);
  this.dutyPlays = await playDutySeeds(first, last, guard);
}
When(
  "duties are played with the seeds {int} to {int} without the guard {string}",
  patience,
  arePlayedWithout,
);

function noneIsBroken(this: World): void {
  const broken = this.dutyPlays.filter((play) => play.broken.length > 0);
  deepEqual(
    broken.map((play) => [play.seed, play.broken[0]]),
    [],
  );
}
Then("no rule of duties is broken", noneIsBroken);

function allAreReported(this: World): void {
  const lacking = this.dutyPlays.filter((play) => play.missing.length > 0);
  deepEqual(
    lacking.map((play) => [play.seed, play.missing]),
    [],
  );
}
Then("every window is reported once the trouble is over", allAreReported);

function holderChanges(this: World, least: number): void {
  let handOvers = 0;
  for (const play of this.dutyPlays) handOvers += play.handOvers;
  ok(handOvers > least, `${handOvers} times`);
}
Then("more than {int} times the holder of the reports changes", holderChanges);

function isTold(this: World, rule: string): void {
  const found = this.dutyPlays.some(({ broken }) => broken.some((text) => text.startsWith(rule)));
  ok(found, rule);
}
Then("{string} is told in at least one of them", isTold);
