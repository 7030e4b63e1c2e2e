import { mkdtempSync, readFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createInterface } from "node:readline";
import { command, number, option, optional, run, string } from "cmd-ts";
import { Fleet } from "./fleet.js";

/** `npm run fleet` keeps a whole fleet up on this machine until it is told to end. */
async function up(given: {
  access: number;
  storage: number;
  modelRunners: number;
  plainRunners: number;
  models: string;
  folder: string | undefined;
  configuration: string | undefined;
}): Promise<void> {
  const folder = given.folder ?? mkdtempSync(join(tmpdir(), "chutewick-fleet-"));
  const fleet = new Fleet({
    folder,
    access: given.access,
    storage: given.storage,
    modelRunners: given.modelRunners,
    plainRunners: given.plainRunners,
    models: given.models.split(","),
  });
  async function down(): Promise<void> {
    await fleet.stop();
    process.exit(0);
  }
  process.on("SIGINT", down);
  process.on("SIGTERM", down);
  await fleet.start();
  await fleet.ready();
  await fleet.startRunners();
  if (given.configuration !== undefined) {
    const told = await fleet.control(
      "PUT",
      "/configuration",
      JSON.parse(readFileSync(given.configuration, "utf8")),
    );
    process.stdout.write(`configuration: ${told.status} ${JSON.stringify(told.body)}\n`);
  }
  commands(fleet, down);
  process.stdout.write(
    `${JSON.stringify({ folder, control: fleet.http("control"), access: fleet.http("access") }, undefined, 2)}\n`,
  );
}

/** Troubles on request, a line each: kill, stop, launch, freeze, wake, wipe NAME; cut NAME [NAME]; mend; down. */
function commands(fleet: Fleet, down: () => Promise<void>): void {
  function obey(line: string): void {
    const [what, name, other] = line.trim().split(/\s+/);
    try {
      if (what === "mend") fleet.relay.mend();
      else if (what === "down") void down();
      else if (name === undefined)
        process.stderr.write(
          "fleet: kill, stop, launch, freeze, wake, wipe NAME; cut NAME [NAME]; mend; down\n",
        );
      else if (what === "kill") void fleet.kill(name);
      else if (what === "stop") void fleet.kill(name, "SIGTERM");
      else if (what === "launch") fleet.launch(name);
      else if (what === "freeze") fleet.freeze(name);
      else if (what === "wake") fleet.wake(name);
      else if (what === "wipe") fleet.wipe(name);
      else if (what === "cut")
        fleet.relay.cut(
          fleet.machine(name).host,
          other === undefined ? "*" : fleet.machine(other).host,
        );
    } catch (error) {
      process.stderr.write(`fleet: ${(error as Error).message}\n`);
    }
  }
  createInterface({ input: process.stdin }).on("line", obey);
}

function seven(): number {
  return 7;
}
function three(): number {
  return 3;
}
function thirteen(): number {
  return 13;
}
function reader(): string {
  return "reader";
}

void run(
  command({
    name: "fleet",
    description: "a whole fleet on one machine",
    handler: up,
    args: {
      access: option({ type: number, long: "access", defaultValue: seven }),
      storage: option({ type: number, long: "storage", defaultValue: three }),
      modelRunners: option({ type: number, long: "model-runners", defaultValue: thirteen }),
      plainRunners: option({ type: number, long: "plain-runners", defaultValue: three }),
      models: option({ type: string, long: "models", defaultValue: reader }),
      folder: option({ type: optional(string), long: "folder" }),
      configuration: option({ type: optional(string), long: "configuration" }),
    },
  }),
  process.argv.slice(2),
);
