/** Steps on signals to a daemon that is still starting. */
import { equal } from "node:assert/strict";
import { spawn, type ChildProcess } from "node:child_process";
import { once } from "node:events";
import { After, Given, Then, When } from "@cucumber/cucumber";

interface World {
  daemon: ChildProcess | undefined;
  output: string;
}

/** A daemon whose start never completes; it logs to standard output. */
const PROGRAM = `
import { start } from "@chutewick/shell";
setInterval(() => {}, 1_000);
function open() {
  console.log("opening");
  return new Promise(() => {});
}
await start("test", { name: "test", logLevel: "info" }, open);
`;

async function aDaemon(this: World): Promise<void> {
  const daemon = spawn(process.execPath, ["--input-type=module", "--eval", PROGRAM], {
    cwd: "features",
    stdio: ["ignore", "pipe", "inherit"],
  });
  this.daemon = daemon;
  this.output = "";
  const read = (bytes: Buffer): void => {
    this.output += bytes.toString();
  };
  daemon.stdout.on("data", read);
  await says(this, "opening");
}
Given("a daemon that takes long to open", { timeout: 20_000 }, aDaemon);

async function says(world: World, text: string): Promise<void> {
  while (!world.output.includes(text) && world.daemon!.exitCode === null)
    await once(world.daemon!.stdout!, "data");
}

function isSent(this: World, signal: NodeJS.Signals): void {
  this.daemon!.kill(signal);
}
When(/^it is sent (SIGHUP|SIGTERM) while it opens$/, isSent);

async function goesOn(this: World): Promise<void> {
  await says(this, "settings may have changed");
  equal(this.daemon!.signalCode, null);
}
Then("it goes on", { timeout: 20_000 }, goesOn);

async function endsItself(this: World, code: number): Promise<void> {
  if (this.daemon!.exitCode === null) await once(this.daemon!, "exit");
  equal(this.daemon!.exitCode, code);
}
Then("it ends by itself with {int}", { timeout: 20_000 }, endsItself);

function ended(this: World): void {
  this.daemon?.kill("SIGKILL");
  this.daemon = undefined;
}
After(ended);
