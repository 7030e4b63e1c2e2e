/**
 * Many lots come at once, again and again; every lot fits and is accepted. Each accepted lot must stay readable.
 * Exit status: 1 if a rule was broken, 0 if it held, 2 if the case could not run.
 */
import { readFileSync, writeFileSync } from "node:fs";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { bulk, configuration, host } from "../lib-2/config.mjs";
import { Fleet, call, sleep } from "../lib-2/fleet.mjs";
import { Runner, seal } from "../lib-2/runner.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
const recordPath = join(dirname(fileURLToPath(import.meta.url)), "record.txt");

/** Lots of the deployment `further/`: 2.19 a second, 80 items each, 32 events an item. */
const lotsPerSecond = 2.19;
const itemsPerLot = 80;
const eventsPerItem = 32;
const bytesPerEvent = 300;
const bytesPerBody = 1600;
const tokensPerItem = 940;
/** Bursts of the site file: six times the lots for 3 s; here every 6 s. */
const burstFactor = 6;
const burstMs = 3000;
const burstPeriodMs = 6000;
const trafficMs = 72_000;
/** The platform starts a process that ended again after this time. */
const restartDelayMs = 500;
/** The rule Fault: on two machines at least, processes end by themselves three times. */
const maxOwnEnds = 3;
const minFaultyMachines = 2;
/** Time that lots get after traffic, and how long each lot is then asked for. */
const completionMs = 10_000;
const readMs = 6_000;

const lines = [];
const startedAt = Date.now();
function note(text) {
  lines.push(`${((Date.now() - startedAt) / 1000).toFixed(2)} ${text}`);
}

function anonymousMb({ child }) {
  try {
    const status = readFileSync(`/proc/${child.pid}/status`, "utf8");
    return Math.round(Number(/RssAnon:\s+(\d+)/.exec(status)[1]) / 1024);
  } catch {
    return "down";
  }
}

const fleet = new Fleet({ access: 4 });
const runners = [];
const lots = [];
let itemsRun = 0;
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
      note(`${machine.name} ended by itself: code ${code}, signal ${signal}`);
      const reason = machine.log
        .split("\n")
        .filter((line) => line.startsWith("FATAL"))
        .at(-1);
      if (reason !== undefined) note(`${machine.name} says: ${reason}`);
      setTimeout(() => {
        if (!isOver) machine.start();
      }, restartDelayMs);
    }
    await sleep(50);
  }
}

async function runItem({ arrival: { id, headers }, answer }) {
  itemsRun += 1;
  await sleep(100);
  if (answer.destroyed) return;
  answer.writeHead(200, {
    "chutewick-attempt-id": id,
    "chutewick-answer-seal": seal(id),
    "chutewick-weight-versions": "1",
    "content-type": "text/event-stream",
  });
  const last = headers["last-event-id"];
  let text = "";
  for (let number = last === undefined ? 1 : Number(last) + 1; number <= eventsPerItem; number += 1)
    text += `id: ${number}\ndata: ${String(number).padEnd(bytesPerEvent, "x")}\n\n`;
  answer.end(text);
}

/** Hands a lot in: up to three tries, at different nodes. */
async function submit(number) {
  const lot = { id: `lot${number}`, accepted: false, sentAt: Date.now(), answers: [] };
  const entries = [];
  for (let index = 0; index < itemsPerLot; index += 1)
    entries.push({
      instanceId: `${lot.id}-${index}`,
      path: "/lots/slip",
      headers: { "Chutewick-Model": "m", "Chutewick-Token-Count": "540,400" },
      body: Buffer.alloc(bytesPerBody, 65).toString("base64"),
      tokens: tokensPerItem,
    });
  const body = JSON.stringify({ entries });
  for (let turn = 0; turn < 3 && !lot.accepted; turn += 1) {
    const { status, end } = await call(fleet.front(number + turn), {
      method: "POST",
      path: "/lots/batch",
      headers: { host, "chutewick-attempt-id": lot.id, "content-type": "application/json" },
      body,
      timeoutMs: 4000,
    });
    lot.answers.push(status ?? end);
    lot.accepted = status === 202;
    if (!lot.accepted) await sleep(500);
  }
  lots.push(lot);
}

function isBurst(elapsed) {
  return hasTrouble && elapsed % burstPeriodMs >= burstPeriodMs - burstMs;
}

async function sendTraffic() {
  const begunAt = Date.now();
  const submissions = [];
  let due = 0;
  let reportedAt = 0;
  for (let previous = 0; ;) {
    const elapsed = Date.now() - begunAt;
    if (elapsed >= trafficMs) break;
    due += ((elapsed - previous) / 1000) * lotsPerSecond * (isBurst(elapsed) ? burstFactor : 1);
    previous = elapsed;
    for (; due >= 1; due -= 1) submissions.push(submit(submissions.length + 1));
    if (elapsed - reportedAt >= 5000) {
      reportedAt = elapsed;
      const accepted = lots.filter((lot) => lot.accepted).length;
      note(
        `lots sent ${submissions.length}, accepted ${accepted}, items run ${itemsRun}, ` +
          `anonymous memory of storage (MB) ${fleet.storage.map(anonymousMb).join(" ")}`,
      );
    }
    await sleep(20);
  }
  await Promise.all(submissions);
}

/** Reads a lot from the start, again at another node after each failure; resolves with its number of results, or why it cannot be read. */
async function read(lot, index, until) {
  let reason = "not asked";
  for (let turn = 0; Date.now() < until; turn += 1) {
    const { status, end, body } = await call(fleet.front(index + turn), {
      path: `/chutewick/lots/${lot.id}?startToken=0`,
      headers: { host },
      timeoutMs: 2500,
    });
    if (status === 200 && end === "whole") {
      const { total, results } = JSON.parse(body.toString());
      return { total, listed: results.length };
    }
    reason = String(status ?? end);
    await sleep(400);
  }
  return { reason };
}

async function main() {
  fleet.start();
  void supervise();
  const status = await fleet.order(
    "/chutewick/configuration/replace",
    configuration(1, [bulk()]),
    0,
    15000,
  );
  if (status !== 200) return 2;
  await fleet.ready();
  for (let index = 0; index < 24; index += 1) {
    const runner = new Runner(fleet, {
      service: "model",
      models: ["m"],
      work(given) {
        given.runner.arrivals.length = 0;
        return runItem(given);
      },
    });
    runners.push(runner);
    await runner.start();
  }
  await sleep(1500);
  note(`traffic begins, ${hasTrouble ? "with" : "without"} bursts`);
  await sendTraffic();
  note("traffic has ended");
  await sleep(completionMs);
  const accepted = lots.filter((lot) => lot.accepted);
  note(`reading ${accepted.length} accepted lots`);
  const until = Date.now() + readMs;
  // A tenth of the lots, spread over the whole time: "some are read from the start".
  const asked = accepted.filter((_, index) => index % 10 === 0);
  const found = await Promise.all(asked.map((lot, index) => read(lot, index, until)));
  const lost = [];
  for (const [index, { reason }] of found.entries())
    if (reason !== undefined) lost.push(`${asked[index].id}: ${reason}`);
  const answers = {};
  for (const lot of lots)
    for (const answer of lot.answers) answers[answer] = (answers[answer] ?? 0) + 1;
  note(`answers to submissions: ${JSON.stringify(answers)}`);
  note(`lots read at the end: ${asked.length}, not readable: ${lost.length}`);
  for (const text of lost.slice(0, 20)) note(`cannot be read: ${text}`);
  const crashes = fleet.machines.filter((machine) => machine.ownExits.length > 0);
  for (const machine of crashes)
    note(`${machine.name} ended by itself ${machine.ownExits.length} times`);
  const looping = crashes.filter((machine) => machine.ownExits.length >= maxOwnEnds);
  return lost.length > 0 || looping.length >= minFaultyMachines ? 1 : 0;
}

let result = 2;
try {
  result = await main();
} catch (error) {
  note(`the case could not run: ${error.stack}`);
}
isOver = true;
for (const runner of runners) runner.end();
await fleet.stop();
note(["rules held", "a rule was broken", "the case could not run"][result]);
writeFileSync(recordPath, `${lines.join("\n")}\n`);
process.exit(result);
