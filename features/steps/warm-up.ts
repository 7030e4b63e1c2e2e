/** Steps of warm-up.feature: each warm-up of the platform's request path runs in its own process, so that its code is cold. */
import { equal, ok } from "node:assert/strict";
import { spawnSync } from "node:child_process";
import type { WarmUpResult } from "@chutewick/data";
import { Given, Then, When } from "@cucumber/cucumber";

interface World {
  /** Code that creates the sample of the warm-up. */
  sample: string;
  result: WarmUpResult;
  /** Number of servers that still listen after the warm-up. */
  listening: number;
}

const PATH_SAMPLE = "new PlatformWarmUpSample(log)";

/** A sample whose runners fail instead of responding. */
const MUTE_SAMPLE = `Object.assign(${PATH_SAMPLE}, { answerHeaders() { throw new Error("no answer"); } })`;

function programOf(sample: string, calls: number): string {
  return `
    import { WarmUp } from "@chutewick/data";
    import { PlatformRunnerProtocol, PlatformWarmUpSample } from "@chutewick/platform";
    process.on("uncaughtException", () => {});
    const log = { info() {}, warn() {}, error() {} };
    let asked = 0;
    const isWanted = () => ++asked <= ${calls};
    const result = await new WarmUp(new PlatformRunnerProtocol(), ${sample}).run(isWanted);
    await new Promise((resolve) => setTimeout(resolve, 100));
    const listening = process.getActiveResourcesInfo().filter((kind) => kind === "TCPServerWrap");
    console.log(JSON.stringify({ result, listening: listening.length }));
    process.exit(0);
  `;
}

function runWarmUp(world: World, calls: number): void {
  const parameters = ["--input-type=module", "--eval", programOf(world.sample, calls)];
  const child = spawnSync(process.execPath, parameters, { cwd: "features", encoding: "utf8" });
  equal(child.status, 0, child.stderr);
  const output = JSON.parse(child.stdout) as { result: WarmUpResult; listening: number };
  world.result = output.result;
  world.listening = output.listening;
}

Given("a warm-up of the platform's path", function (this: World) {
  this.sample = PATH_SAMPLE;
});

Given("a warm-up of the platform's path whose runners do not respond", function (this: World) {
  this.sample = MUTE_SAMPLE;
});

When("it runs until it has made all of its calls", { timeout: 60_000 }, function (this: World) {
  runWarmUp(this, Number.MAX_SAFE_INTEGER);
});

When(
  "a caller connects after {int} of its calls",
  { timeout: 30_000 },
  function (this: World, calls: number) {
    runWarmUp(this, calls);
  },
);

When("it runs for {int} call", { timeout: 30_000 }, function (this: World, calls: number) {
  runWarmUp(this, calls);
});

Then("all of its calls get a complete response", function (this: World) {
  ok(this.result.calls > 0);
  equal(this.result.answered, this.result.calls);
});

Then("the last call took less than a third of the first", function (this: World) {
  const { first, last } = this.result;
  ok(last < first / 3, `${last} ms after ${first} ms`);
});

Then("no server of the warm-up is still listening", function (this: World) {
  equal(this.listening, 0);
});

Then("it has made {int} calls", function (this: World, calls: number) {
  equal(this.result.calls, calls);
});

Then(
  "it has made {int} call, and none got a complete response",
  function (this: World, calls: number) {
    equal(this.result.calls, calls);
    equal(this.result.answered, 0);
  },
);
