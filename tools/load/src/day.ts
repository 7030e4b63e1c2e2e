import { mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Fleet } from "@chutewick/fleet";
import { command, number, oneOf, option, run } from "cmd-ts";
import { Load, mixes } from "./load.js";

/** `npm run flood-day -- --mix pallet`: a whole fleet, the firm's traffic, a flood, and faults in company. */
const shapes: Record<string, { access: number; models: string[]; configuration: string }> = {
  pallet: {
    access: 7,
    models: ["reader", "reader.customs"],
    configuration: "examples/pallet.json",
  },
  font: { access: 9, models: ["tagger", "tagger.licence"], configuration: "examples/font.json" },
};

async function day(given: { mix: string; seconds: number; seed: number }): Promise<void> {
  const shape = shapes[given.mix]!;
  const folder = mkdtempSync(join(tmpdir(), "chutewick-day-"));
  const fleet = new Fleet({
    folder,
    access: shape.access,
    storage: 3,
    modelRunners: 13,
    plainRunners: 3,
    models: shape.models,
    net: 2,
  });
  const faults: string[] = [];
  await fleet.start();
  await fleet.ready();
  await fleet.startRunners();
  const put = await fleet.control(
    "PUT",
    "/configuration",
    JSON.parse(readFileSync(shape.configuration, "utf8")),
  );
  async function whole(): Promise<boolean> {
    const status = await fleet.status("control-2");
    return (
      status !== undefined &&
      status["safeToLoseOne"] === true &&
      Object.keys(status["queues"] as object).length === 2
    );
  }
  await fleet.until("queues are placed", whole);
  const load = new Load({
    access: fleet.http("access"),
    mix: mixes[given.mix]!,
    seconds: given.seconds,
    live: 1,
    lots: 1,
    seed: given.seed,
    flood: { from: given.seconds * 0.2, seconds: given.seconds * 0.3, times: 2 },
  });
  const start = performance.now();
  function at(part: number, what: string, act: () => void): void {
    function strike(): void {
      faults.push(`${Math.round(performance.now() - start)} ${what}`);
      act();
    }
    setTimeout(strike, given.seconds * 1_000 * part);
  }
  function kill(name: string): () => void {
    return killed;
    function killed(): void {
      void fleet.kill(name);
    }
  }
  function launch(name: string): () => void {
    return launched;
    function launched(): void {
      fleet.launch(name);
    }
  }
  function empty(name: string): () => void {
    return emptied;
    function emptied(): void {
      fleet.wipe(name);
      fleet.launch(name);
    }
  }
  function freeze(name: string): () => void {
    return frozen;
    function frozen(): void {
      fleet.freeze(name);
    }
  }
  function wake(name: string): () => void {
    return woken;
    function woken(): void {
      fleet.wake(name);
    }
  }
  function crash(): void {
    fleet.runners[0]!.crash();
  }
  function cut(): void {
    fleet.relay.cut(fleet.machine("access-3").host);
  }
  function mend(): void {
    fleet.relay.mend();
  }
  at(0.1, "access-1 is killed", kill("access-1"));
  at(0.2, "access-1 is back", launch("access-1"));
  at(0.25, "a runner crashes", crash);
  at(0.3, "storage-1 loses its disk", kill("storage-1"));
  at(0.38, "storage-1 comes back empty", empty("storage-1"));
  at(0.45, "control-1 is killed", kill("control-1"));
  at(0.55, "control-1 is back", launch("control-1"));
  at(0.6, "access-2 freezes", freeze("access-2"));
  at(0.66, "access-3 is cut off alone", cut);
  at(0.72, "access-2 wakes", wake("access-2"));
  at(0.76, "links are mended", mend);
  at(0.8, "storage-2 freezes", freeze("storage-2"));
  at(0.9, "storage-2 wakes", wake("storage-2"));
  const report = await load.run();
  const breaches = [...load.breaches, ...runsOf(fleet, load)];
  for (const lot of load.lots)
    if (lot.told === "accepted" && lot.doneAt === undefined)
      breaches.push(`${lot.key} was accepted and is not done`);
  await fleet.until("three whole copies stand again", whole);
  process.stdout.write(
    `${JSON.stringify({ mix: given.mix, configuration: put.status, faults, ...report, breaches }, undefined, 2)}\n`,
  );
  await fleet.stop();
  rmSync(folder, { recursive: true, force: true });
  process.exit(breaches.length === 0 ? 0 : 1);
}

/** What the runners ran against what callers were told. */
function runsOf(fleet: Fleet, load: Load): string[] {
  const runs = new Map<string, number>();
  for (const runner of fleet.runners) {
    for (const { prompt } of runner.runs) {
      const name =
        typeof prompt === "string" ? prompt.replace(/^\//, "") : (prompt as { name?: string }).name;
      if (name !== undefined) runs.set(name, (runs.get(name) ?? 0) + 1);
    }
  }
  const found: string[] = [];
  for (const [name, count] of runs) if (count > 1) found.push(`${name} ran ${count} times`);
  for (const { prompt, told } of load.told)
    if (told === "not-run" && runs.has(prompt)) found.push(`${prompt} was told not-run and ran`);
  return found;
}

function pallet(): string {
  return "pallet";
}
function forty(): number {
  return 40;
}
function one(): number {
  return 1;
}

void run(
  command({
    name: "flood-day",
    description: "a flood day with faults on a whole fleet of one machine",
    handler: day,
    args: {
      mix: option({ type: oneOf(Object.keys(shapes)), long: "mix", defaultValue: pallet }),
      seconds: option({ type: number, long: "seconds", defaultValue: forty }),
      seed: option({ type: number, long: "seed", defaultValue: one }),
    },
  }),
  process.argv.slice(2),
);
