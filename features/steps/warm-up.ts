/** Steps of warm-up.feature: warm-ups of the platform's path in a process of their own, so that its code is cold. */
import { equal, ok } from "node:assert/strict";
import { spawnSync } from "node:child_process";
import type { WarmUpResult } from "@chutewick/data";
import { Given, Then, When } from "@cucumber/cucumber";

interface World {
  /** Makes the sample that the warm-up plays with. */
  sample: string;
  result: WarmUpResult;
  /** Servers that listen after the warm-up. */
  listening: number;
}

const PATH_SAMPLE = "new PlatformWarmUpSample(log)";

/** A sample whose runners break off instead of answering. */
const MUTE_SAMPLE = `Object.assign(${PATH_SAMPLE}, { answerHeaders() { throw new Error("no answer"); } })`;

function programOf(sample: string, calls: number): string {
  return `
    import { WarmUp } from "@chutewick/data";
    import { PlatformDialect, PlatformWarmUpSample } from "@chutewick/platform";
    process.on("uncaughtException", () => {});
    const log = { info() {}, warn() {}, error() {} };
    let asked = 0;
    const isWanted = () => ++asked <= ${calls};
    const result = await new WarmUp(new PlatformDialect(), ${sample}).run(isWanted);
    await new Promise((resolve) => setTimeout(resolve, 100));
    const listening = process.getActiveResourcesInfo().filter((kind) => kind === "TCPServerWrap");
    console.log(JSON.stringify({ result, listening: listening.length }));
    process.exit(0);
  `;
}

function play(world: World, calls: number): void {
  const parameters = ["--input-type=module", "--eval", programOf(world.sample, calls)];
  const done = spawnSync(process.execPath, parameters, { cwd: "features", encoding: "utf8" });
  equal(done.status, 0, done.stderr);
  const told = JSON.parse(done.stdout) as { result: WarmUpResult; listening: number };
  world.result = told.result;
  world.listening = told.listening;
}

Given("a warm-up of the platform's path", function (this: World) {
  this.sample = PATH_SAMPLE;
});

Given("a warm-up of the platform's path whose runners answer nothing", function (this: World) {
  this.sample = MUTE_SAMPLE;
});

When("it runs as long as nobody comes", { timeout: 60_000 }, function (this: World) {
  play(this, Number.MAX_SAFE_INTEGER);
});

When(
  "a caller comes after {int} of its calls",
  { timeout: 30_000 },
  function (this: World, calls: number) {
    play(this, calls);
  },
);

When("it runs for {int} call", { timeout: 30_000 }, function (this: World, calls: number) {
  play(this, calls);
});

Then("all of its calls are answered whole", function (this: World) {
  ok(this.result.calls > 0);
  equal(this.result.answered, this.result.calls);
});

Then("the last call took less than a third of the first", function (this: World) {
  const { first, last } = this.result;
  ok(last < first / 3, `${last} ms after ${first} ms`);
});

Then("nothing listens that listened for it", function (this: World) {
  equal(this.listening, 0);
});

Then("it has made {int} calls", function (this: World, calls: number) {
  equal(this.result.calls, calls);
});

Then("it has made {int} call, and none was answered whole", function (this: World, calls: number) {
  equal(this.result.calls, calls);
  equal(this.result.answered, 0);
});
