/** Steps of start.feature: the built programs are loaded with a look at the modules that they load. */
import { deepEqual, equal, ok } from "node:assert/strict";
import { spawnSync } from "node:child_process";
import { Given, Then, When } from "@cucumber/cucumber";

interface World {
  /** Built-in modules and files of packages that the process loaded. */
  builtin: string[];
  packages: string[];
}

const BUILD = ["deploy/build.mjs"];
const PROGRAM = "./target/chutewick.cjs";

/** Tells what was loaded when the process ends. */
const TELL = `
process.once("exit", () => {
  const builtin = process.moduleLoadList.map((name) => name.replace(/^NativeModule /, ""));
  const files = Object.keys(require("module")._cache);
  process.stderr.write(JSON.stringify({ builtin, files }));
});
`;

function run(script: string): string {
  const parameters = ["--max-old-space-size=240", "--eval", `${TELL}${script}`];
  const done = spawnSync(process.execPath, parameters, { encoding: "utf8" });
  equal(done.status, 0, done.stderr);
  return done.stderr;
}

Given("the programs as the deploy file builds them", { timeout: 60_000 }, function () {
  const built = spawnSync(process.execPath, BUILD, { encoding: "utf8" });
  equal(built.status, 0, built.stderr);
});

/** The version is told once all modules are loaded; lmdb is loaded only when a data folder is opened. */
When("they are loaded", function (this: World) {
  const told = run(`process.argv[2] = "--version"; require("${PROGRAM}");`);
  const { builtin, files } = JSON.parse(told) as { builtin: string[]; files: string[] };
  this.builtin = builtin;
  const inPackages = files.map(packageOf).filter((name) => name !== undefined);
  this.packages = [...new Set(inPackages)].sort();
});

function packageOf(file: string): string | undefined {
  return /.*\/node_modules\/((?:@[^/]+\/)?[^/]+)/.exec(file)?.[1];
}

Then(/^they have loaded none of (.+)$/, function (this: World, list: string) {
  for (const [, name] of list.matchAll(/"([^"]+)"/g))
    ok(!this.builtin.includes(name!), `${name!} was loaded`);
});

Then("they have loaded no package but msgpackr", function (this: World) {
  deepEqual(this.packages, ["msgpackr"]);
});

When("{string} is loaded as the programs do", function (this: World, name: string) {
  const told = run(`
    const load = require("./deploy/unused-modules.cjs")(process.cwd() + "/package.json");
    const later = load("${name}");
    const isLoaded = () => process.moduleLoadList.includes("NativeModule ${name}");
    const before = isLoaded();
    const found = later.Agent === require("${name}").Agent;
    process.removeAllListeners("exit");
    process.stderr.write(JSON.stringify([before, found, isLoaded()]));
  `);
  this.builtin = (JSON.parse(told) as boolean[]).map(String);
});

Then("it is loaded only once its {string} is asked for", function (this: World, _property: string) {
  deepEqual(this.builtin, ["false", "true", "true"]);
});
