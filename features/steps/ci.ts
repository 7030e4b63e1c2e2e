/** Steps of ci.feature: the scripts of CI are run on reports and lists made here. */
import { equal, match, notEqual } from "node:assert/strict";
import { spawnSync, type SpawnSyncReturns } from "node:child_process";
import { cpSync, mkdirSync, mkdtempSync, readFileSync, symlinkSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { Given, Then, When } from "@cucumber/cucumber";

interface CiWorld {
  folder: string;
  /** Names of the report files in the folder. */
  reports: string[];
  outcome: SpawnSyncReturns<string>;
}

/** One scenario of a cucumber report, as far as the count reads it. */
function reported(name: string, status: "passed" | "failed"): object {
  return { name, steps: [{ result: { status } }] };
}

function run(folder: string, script: string, parameters: string[]): SpawnSyncReturns<string> {
  return spawnSync(process.execPath, [script, ...parameters], { cwd: folder, encoding: "utf8" });
}

/** The texts in double quotes of a step's list. */
function quotedIn(list: string): string[] {
  return (list.match(/"[^"]*"/g) ?? []).map((text) => text.slice(1, -1));
}

function writeReport(world: CiWorld, name: string, scenarios: readonly object[]): void {
  const report = scenarios.length === 0 ? [] : [{ name: "f", elements: scenarios }];
  writeFileSync(join(world.folder, name), JSON.stringify(report));
  world.reports.push(name);
}

function scenariosOf(good: string, bad: string): object[] {
  const failing = quotedIn(bad).map((name) => reported(name, "failed"));
  return [reported(good, "passed"), ...failing];
}

Given(
  /^a report in which "(.+)" passes and (.+) fail$/,
  function (this: CiWorld, good: string, bad: string) {
    this.folder = mkdtempSync(join(tmpdir(), "verdict-"));
    this.reports = [];
    writeReport(this, "report.json", scenariosOf(good, bad));
  },
);

Given(
  /^another report in which "(.+)" passes and (.+) fail$/,
  function (this: CiWorld, good: string, bad: string) {
    writeReport(this, "other.json", scenariosOf(good, bad));
  },
);

Given("another report that is not there", function (this: CiWorld) {
  this.reports.push("missing.json");
});

Given("another report without any scenario", function (this: CiWorld) {
  writeReport(this, "empty.json", []);
});

Given(/^a list of known failures that holds (.+)$/, function (this: CiWorld, lines: string) {
  const text = quotedIn(lines)
    .map((line) => `${line}\n`)
    .join("");
  writeFileSync(join(this.folder, "list.txt"), text);
});

When("the verdict is counted", function (this: CiWorld) {
  this.outcome = run(this.folder, resolve(".ci/count.mjs"), ["list.txt", ...this.reports]);
});

Then("it is {string}", function (this: CiWorld, verdict: string) {
  equal(this.outcome.stdout.trim().split("\n").at(-1), verdict, this.outcome.stderr);
  notEqual(this.outcome.status, 0);
});

When("the list of packages is checked against what the programs load", function (this: CiWorld) {
  this.outcome = run(process.cwd(), resolve(".ci/packages.mjs"), ["libraries"]);
});

Then("the check passes", function (this: CiWorld) {
  equal(this.outcome.status, 0, this.outcome.stderr);
});

When("the check is made without {string} on the list", function (this: CiWorld, name: string) {
  this.folder = mkdtempSync(join(tmpdir(), "packages-check-"));
  mkdirSync(join(this.folder, "deploy"));
  cpSync(".ci", join(this.folder, ".ci"), { recursive: true });
  symlinkSync(resolve("node_modules"), join(this.folder, "node_modules"));
  const listed = readFileSync("deploy/system.toml", "utf8");
  writeFileSync(join(this.folder, "deploy/system.toml"), listed.replace(`"${name}", `, ""));
  this.outcome = run(this.folder, join(this.folder, ".ci/packages.mjs"), ["libraries"]);
});

Then("the check fails and names {string}", function (this: CiWorld, library: string) {
  equal(this.outcome.status, 1);
  match(this.outcome.stderr, new RegExp(library.replace(/[+]/g, "\\+")));
});
