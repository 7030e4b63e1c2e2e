/**
 * A control machine loses its disk and is killed once more while it starts; later, right after an acknowledgement, another one loses
 * its disk. The acknowledged configuration must be there. Exit status: 1 if a rule was broken, 0 if it held, 2 if the case could not run.
 */
import { rmSync, writeFileSync } from "node:fs";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { bulk, configuration, host, route } from "../lib-2/config.mjs";
import { Fleet, call, sleep } from "../lib-2/fleet.mjs";
import { killWhileCreating } from "../lib-2/kill-at-start.mjs";
import { Runner, events, plain } from "../lib-2/runner.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
/** How long a machine that loses its disk is down. */
const downMs = 1500;
const restartDelayMs = 500;
/** `syncS` is 5 s: a machine that is back counts as lost for so long. Two seconds more lie between the losses. */
const betweenLossesMs = 7000;
/** `recoveryS` is 12 s. */
const recoveryMs = 13_000;
/** The operator asks for the configuration for so long; `contactMs` is 3 s. */
const readMs = 15_000;
const maxTries = 3;

const lines = [];
const startedAt = Date.now();
function note(text) {
  lines.push(`${((Date.now() - startedAt) / 1000).toFixed(2)} ${text}`);
}

const fleet = new Fleet({});
let isOver = false;

/** Starts a process again that ended by itself, as the platform does. */
async function supervise() {
  const seen = new Map();
  while (!isOver) {
    for (const machine of fleet.machines) {
      const known = seen.get(machine) ?? 0;
      if (machine.isUp || machine.ownExits.length === known) continue;
      seen.set(machine, machine.ownExits.length);
      const { code, signal } = machine.ownExits.at(-1);
      const words = machine.log.trim().split("\n").at(-1).replaceAll(fleet.folder, "(folder)");
      if (machine.ownExits.length <= 2)
        note(`${machine.name} ended by itself: code ${code}, signal ${signal}: ${words}`);
      setTimeout(() => {
        if (!isOver) machine.start();
      }, restartDelayMs);
    }
    await sleep(50);
  }
}

function configurationOf(revision) {
  return configuration(revision, [route("safe", "safe", "plain"), bulk()]);
}

async function order(revision, base) {
  const begunAt = Date.now();
  const status = await fleet.order(
    "/chutewick/configuration/replace",
    configurationOf(revision),
    base,
    15_000,
  );
  note(`configuration ${revision} on ${base}: ${status} after ${Date.now() - begunAt} ms`);
  return status;
}

/** Power and disk of a machine are gone; it comes back empty. */
async function loseDisk(machine) {
  await machine.kill();
  rmSync(machine.dataPath, { recursive: true, force: true });
  note(`${machine.name} loses its disk`);
  await sleep(downMs);
  machine.start();
}

/** The machine comes back empty, and its process is killed once more as it creates its database. */
async function loseDiskAndKill(machine) {
  for (let turn = 0; turn < maxTries; turn += 1) {
    await loseDisk(machine);
    const files = await killWhileCreating(machine);
    if (files !== undefined) {
      note(`${machine.name} is killed while it starts; its folder holds ${files}`);
      await sleep(restartDelayMs);
      machine.start();
      return true;
    }
    note(`${machine.name} is killed while it starts, too late for the moment`);
  }
  return false;
}

async function readConfiguration() {
  const answers = {};
  let newest = 0;
  const until = Date.now() + readMs;
  for (let turn = 0; Date.now() < until; turn += 1) {
    const { status, end, body } = await call(fleet.controlAddress(turn), {
      path: "/chutewick/configuration/read",
      timeoutMs: 2000,
    });
    let key = String(status ?? end);
    if (status === 200) {
      const { revision } = JSON.parse(body.toString());
      newest = Math.max(newest, revision);
      key = `200 with revision ${revision}`;
    }
    answers[key] = (answers[key] ?? 0) + 1;
    await sleep(200);
  }
  note(`answers to reads of the configuration: ${JSON.stringify(answers)}`);
  return newest;
}

async function submitLot() {
  const entries = [];
  for (let index = 0; index < 5; index += 1)
    entries.push({
      instanceId: `item${index}`,
      path: "/lots/slip",
      headers: { "Chutewick-Model": "m", "Chutewick-Token-Count": "540,400" },
      body: "QUJD",
      tokens: 940,
    });
  const answers = [];
  for (let turn = 0; turn < 4; turn += 1) {
    const { status, end } = await call(fleet.front(turn), {
      method: "POST",
      path: "/lots/batch",
      headers: { host, "chutewick-attempt-id": "lot1", "content-type": "application/json" },
      body: JSON.stringify({ entries }),
      timeoutMs: 4000,
    });
    answers.push(status ?? end);
    if (status === 202) break;
  }
  note(`answers to a lot at the end: ${answers.join(" ")}`);
}

async function main() {
  fleet.start();
  void supervise();
  if ((await order(1, 0)) !== 200) return 2;
  await fleet.ready();
  const runners = [
    new Runner(fleet, {
      service: "model",
      models: ["m"],
      work: (given) => events(given, 5, 20, (number) => `${given.arrival.id} ${number}`),
    }),
    new Runner(fleet, { service: "plain", work: (given) => plain(given, "label") }),
  ];
  for (const runner of runners) await runner.start();
  await sleep(3000);
  const [first, second] = fleet.control;
  if (hasTrouble && !(await loseDiskAndKill(first))) return 2;
  await sleep(betweenLossesMs);
  if ((await order(2, 1)) !== 200) return 2;
  if (hasTrouble) await loseDisk(second);
  await sleep(recoveryMs);
  const newest = await readConfiguration();
  await order(3, 2);
  await submitLot();
  for (const runner of runners) runner.end();
  for (const machine of fleet.machines)
    if (machine.ownExits.length > 0)
      note(`${machine.name} ended by itself ${machine.ownExits.length} times`);
  return newest < 2 ? 1 : 0;
}

let result = 2;
try {
  result = await main();
} catch (error) {
  note(`the case could not run: ${error.stack}`);
}
isOver = true;
await fleet.stop();
note(["rules held", "a rule was broken", "the case could not run"][result]);
writeFileSync(join(dirname(fileURLToPath(import.meta.url)), "record.txt"), `${lines.join("\n")}\n`);
process.exit(result);
