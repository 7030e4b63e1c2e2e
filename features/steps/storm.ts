import { deepEqual, ok } from "node:assert/strict";
import { Then, When } from "@cucumber/cucumber";
import { playAll, rateHeld, seeds, type CampaignOptions, type Played } from "@chutewick/simulator";
import { allBreachesOf, patience } from "./proof.js";

interface World {
  held: { taken: number; ideal: number };
  played: Played[];
}

async function play(
  world: World,
  from: number,
  to: number,
  options: Partial<CampaignOptions>,
): Promise<void> {
  world.played = await playAll(seeds(from, to, options));
}

function theSeedsArePlayed(this: World, from: number, to: number): Promise<void> {
  return play(this, from, to, {});
}
When("the seeds {int} to {int} are played with faults", patience, theSeedsArePlayed);

function theSeedsArePlayedWithLosses(this: World, from: number, to: number): Promise<void> {
  return play(this, from, to, { losses: true, syncTakes: [5, 12] });
}
When(
  "the seeds {int} to {int} are played with storms of losses",
  patience,
  theSeedsArePlayedWithLosses,
);

function theSeedsArePlayedWithTwoLost(this: World, from: number, to: number): Promise<void> {
  return play(this, from, to, { losses: true, twoLost: true, syncTakes: [5, 12] });
}
When(
  "the seeds {int} to {int} are played with storms of losses of two at once",
  patience,
  theSeedsArePlayedWithTwoLost,
);

function theSeedsArePlayedWithTokens(
  this: World,
  from: number,
  to: number,
  tokens: number,
  allowance: number,
): Promise<void> {
  return play(this, from, to, { tokens, allowance });
}
When(
  "the seeds {int} to {int} are played with faults, {int} tokens a second and an allowance of {int}",
  patience,
  theSeedsArePlayedWithTokens,
);

function theSeedsArePlayedAtSize(
  this: World,
  from: number,
  to: number,
  access: number,
): Promise<void> {
  return play(this, from, to, {
    access,
    modelRunners: 13,
    plainRunners: 3,
    seats: 8,
    requestEvery: [4, 20],
  });
}
When(
  /^the seeds (\d+) to (\d+) are played with faults, (\d+) access nodes, 13 model and 3 plain runners of 8 and 24 seats$/,
  patience,
  theSeedsArePlayedAtSize,
);

function theSeedsArePlayedInSeason(
  this: World,
  from: number,
  to: number,
  season: number,
): Promise<void> {
  return play(this, from, to, { season, tokens: 4 });
}
When(
  "the seeds {int} to {int} are played with faults and a season of {int} waiting items over queues that come and go",
  patience,
  theSeedsArePlayedInSeason,
);

function theSeedsArePlayedWithoutControl(
  this: World,
  from: number,
  to: number,
  seconds: number,
): Promise<void> {
  return play(this, from, to, {
    faults: false,
    stormy: 18_000,
    calm: 22_000,
    away: seconds * 1_000,
    plainRunners: 3,
  });
}
When(
  "the seeds {int} to {int} are played in calm but for {int} s without control",
  patience,
  theSeedsArePlayedWithoutControl,
);

function requestsMadeMeanwhile(this: World, done: number, notRun: number): void {
  for (const {
    options: { seed },
    counts,
  } of this.played) {
    const all =
      (counts["away done"] ?? 0) + (counts["away not-run"] ?? 0) + (counts["away other"] ?? 0);
    ok(all > 100, `seed ${seed}: ${all} inquiries`);
    ok(
      (counts["away done"] ?? 0) >= (all * done) / 100,
      `seed ${seed}: ${counts["away done"]} of ${all} are done`,
    );
    ok(
      (counts["away not-run"] ?? 0) <= (all * notRun) / 100,
      `seed ${seed}: ${counts["away not-run"]} of ${all} are not-run`,
    );
  }
}
Then(
  "at least {int} in 100 inquiries made meanwhile are done, and at most {int} in 100 are not-run",
  requestsMadeMeanwhile,
);

function theCheckerFindsNothing(this: World): void {
  deepEqual(allBreachesOf(this.played).slice(0, 10), []);
}
Then("the checker finds nothing", theCheckerFindsNothing);

function isStillWaiting(line: string): boolean {
  return line.includes("never ended: open") || line.includes("finished: not back");
}

function theCheckerFindsNothingBut(this: World): void {
  const rest: string[] = [];
  for (const line of allBreachesOf(this.played)) if (!isStillWaiting(line)) rest.push(line);
  deepEqual(rest.slice(0, 10), []);
}
Then("the checker finds nothing but work still waiting", theCheckerFindsNothingBut);

function everyFleetMetFaults(this: World, faults: number, requests: number): void {
  for (const {
    options: { seed },
    faults: met,
    counts,
  } of this.played) {
    ok(met.length >= faults, `seed ${seed} met ${met.length} faults`);
    ok((counts["inquiry done"] ?? 0) >= requests, `seed ${seed} served ${counts["inquiry done"]}`);
  }
}
Then(
  "every fleet met at least {int} faults and served at least {int} inquiries",
  everyFleetMetFaults,
);

function aFleetDraws(this: World, tokens: number, windowSeconds: number, seconds: number): void {
  this.held = rateHeld(tokens, windowSeconds, seconds);
}
When(
  "a fleet in virtual time draws from one queue with {int} tokens per {int} s for {int} s",
  aFleetDraws,
);

function itTookAtLeast(this: World, part: number): void {
  const { taken, ideal } = this.held;
  ok(taken <= ideal && taken >= (ideal * part) / 100, `${taken} of ${ideal}`);
}
Then("it took at least {int} in 100 of the ideal and never more than the ideal", itTookAtLeast);
