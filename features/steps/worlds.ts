import { deepEqual, ok } from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import {
  Site,
  guards,
  judgeWorld,
  playWorlds,
  summarize,
  worlds,
  type Violation,
  type WorldHistory,
  type WorldPlayed,
} from "@chutewick/simulator";
import { patience } from "./proof.js";
import { plantedFaults } from "./worlds-planted.js";

interface World {
  played: WorldPlayed[];
  site: Site;
  /** Number of the core machine that was added last. */
  added: number;
  history: WorldHistory;
  found: Violation[];
}

const VIOLATIONS_SHOWN = 10;

async function seedsArePlayed(this: World, from: number, to: number, world: string): Promise<void> {
  this.played = await playWorlds({ world, from, to });
}
When("the seeds {int} to {int} of the world {string} are played", patience, seedsArePlayed);

async function seedIsPlayedWithout(
  this: World,
  seed: number,
  world: string,
  guard: string,
): Promise<void> {
  ok(Object.hasOwn(guards, guard), guard);
  this.played = await playWorlds({ world, from: seed, to: seed, guard });
}
When(
  "the seed {int} of the world {string} is played without the guard {string}",
  patience,
  seedIsPlayedWithout,
);

function noRuleBroke(this: World): void {
  const lines: string[] = [];
  for (const { seed, violations } of this.played)
    for (const { rule, facts } of violations) lines.push(`seed ${seed}: ${rule}: ${facts}`);
  deepEqual(lines.slice(0, VIOLATIONS_SHOWN), []);
}
Then("no rule broke in it", noRuleBroke);

function eachWasPlayed(this: World, list: string): void {
  const { faults } = summarize(this.played);
  const wanted = list.split(list.includes(";") ? "; " : ", ");
  const missing = wanted.filter((kind) => !(faults[kind]! > 0));
  deepEqual(missing, [], JSON.stringify(faults));
}
Then(/^each of these was played in it: (.+)$/, eachWasPlayed);

function servedAgainWithin(this: World, most: number): void {
  const { slowestRecovery, slowestSeed } = summarize(this.played);
  ok(slowestRecovery > 0, "nothing recovered");
  ok(slowestRecovery <= most, `seed ${slowestSeed}: ${slowestRecovery} ms`);
}
Then("everything was served again within {int} ms each time", servedAgainWithin);

function theRuleBroke(this: World, rule: string): void {
  const { rules } = summarize(this.played);
  ok(Object.hasOwn(rules, rule), `only these broke: ${Object.keys(rules).join(", ")}`);
}
Then("the rule {string} broke in it", theRuleBroke);

/** A seed whose site has three core machines, one tolerated loss and nodes that go on alone. */
const SMALL_SITE = 0;

function aSite(this: World, cores: number): void {
  this.site = new Site(SMALL_SITE);
  this.site.start();
  deepEqual(this.site.cores.length, cores);
}
Given("a world's site of {int} core machines", aSite);

function eachIsReplaced(this: World): void {
  const { site } = this;
  for (const old of site.cores) {
    site.retire(old);
    site.addCore();
    site.wait(site.bounds.syncWithin);
  }
  this.added = site.addCore();
}
When("each of them is replaced by a new one in turn, and one more is added", eachIsReplaced);

function isInTouch(this: World, seconds: number): void {
  const { site, added } = this;
  site.wait(seconds * 1_000);
  ok(site.control(added).folder?.votes?.view !== undefined, "its control process knows no view");
  ok(site.storage(added).core.membership.head !== undefined, "its storage process knows no head");
}
Then("both processes of that one know the group within {int} s", isInTouch);

function historyOfASeed(this: World, seed: number, world: string): void {
  this.history = worlds[world]!(seed).history;
  deepEqual(judgeWorld(this.history), []);
}
Given("the history of seed {int} of the world {string}, which is right", patience, historyOfASeed);

function faultIsPlanted(this: World, fault: string): void {
  plantedFaults[fault]!(this.history);
  this.found = judgeWorld(this.history);
}
When(/^this is planted in it: (.+)$/, faultIsPlanted);

function ruleIsFoundBroken(this: World, rule: string): void {
  const rules = this.found.map((violation) => violation.rule);
  ok(rules.includes(rule), `only these: ${rules.join(", ") || "none"}`);
}
Then("the rule {string} is found broken", ruleIsFoundBroken);
