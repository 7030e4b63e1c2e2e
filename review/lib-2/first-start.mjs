/**
 * The first start of a whole system, during which the process of one control machine is killed once. The platform starts it again,
 * and each process that ends by itself too. The first configuration must be taken, and requests must be served.
 */
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { configuration, host, route } from "./config.mjs";
import { Fleet, call, sleep } from "./fleet.mjs";
import { Runner, plain } from "./runner.mjs";

/** Delay with which the platform starts a process again. */
const restartDelayMs = 500;
/** How long the operator goes on to send the first configuration; the bounds are `contactMs` 3,000 and `ackMs` 4,000. */
const orderMs = 60_000;
const requests = 20;

/**
 * @param hit kills the process at its moment; resolves with what it saw, or undefined if the moment was missed
 * @param isInitial value of `initialStart` in the settings of a process that is started again
 */
export async function playFirstStart({ folder, hit, isInitial }) {
  const hasTrouble = process.env.TROUBLE !== "0";
  const lines = [];
  const startedAt = Date.now();
  function note(text) {
    lines.push(`${((Date.now() - startedAt) / 1000).toFixed(2)} ${text}`);
  }
  const fleet = new Fleet({});
  let isOver = false;
  async function supervise() {
    const seen = new Map();
    while (!isOver) {
      for (const machine of fleet.machines) {
        const known = seen.get(machine) ?? 0;
        if (machine.isUp || machine.ownExits.length === known) continue;
        seen.set(machine, machine.ownExits.length);
        const { code, signal } = machine.ownExits.at(-1);
        const words = machine.log.trim().split("\n").at(-1).replaceAll(fleet.folder, "(folder)");
        if (machine.ownExits.length <= 3)
          note(`${machine.name} ended by itself: code ${code}, signal ${signal}: ${words}`);
        setTimeout(() => {
          if (!isOver) machine.start(isInitial);
        }, restartDelayMs);
      }
      await sleep(50);
    }
  }
  async function main() {
    const [target] = fleet.control;
    fleet.start();
    void supervise();
    if (hasTrouble) {
      const seen = await hit(target);
      if (seen === undefined) return 2;
      note(`${target.name}: killed, ${seen}`);
      await sleep(restartDelayMs);
      target.start(isInitial);
      note(`${target.name}: started again, initialStart ${isInitial}`);
    }
    const routes = [route("safe", "safe", "plain")];
    const begunAt = Date.now();
    const status = await fleet.order(
      "/chutewick/configuration/replace",
      configuration(1, routes),
      0,
      orderMs,
    );
    note(
      status === undefined
        ? `the first configuration was not acknowledged in ${orderMs / 1000} s`
        : `the first configuration was answered ${status} after ${Date.now() - begunAt} ms`,
    );
    const runner = new Runner(fleet, { service: "plain", work: (given) => plain(given, "label") });
    await runner.start();
    await sleep(3000);
    const answers = {};
    let served = 0;
    for (let number = 0; number < requests; number += 1) {
      const answer = await call(fleet.front(number), {
        method: "POST",
        path: "/safe/x",
        headers: { host, "chutewick-attempt-id": `a${number}`, "chutewick-remaining-ms": "2500" },
        body: "x",
        timeoutMs: 3000,
      });
      const key = answer.status ?? answer.end;
      answers[key] = (answers[key] ?? 0) + 1;
      if (answer.status === 200) served += 1;
    }
    runner.end();
    note(`answers to ${requests} requests: ${JSON.stringify(answers)}`);
    for (const machine of fleet.machines)
      if (machine.ownExits.length > 0)
        note(`${machine.name} ended by itself ${machine.ownExits.length} times`);
    return status !== 200 && served === 0 ? 1 : 0;
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
  writeFileSync(join(folder, "record.txt"), `${lines.join("\n")}\n`);
  process.exit(result);
}
