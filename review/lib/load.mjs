/** A whole small deployment with one bulk route, and clients that hand in lots and read their results. */
import { spawn } from "node:child_process";
import { appendFileSync, rmSync } from "node:fs";
import { createInterface } from "node:readline";
import { call, id, replaceConfiguration, waitReady } from "./calls.mjs";
import { Fleet, ports, sleep } from "./fleet.mjs";

export const host = "ficu95.example";
const service = "lector-docs";

export const limits = {
  maxHeaderBytes: 16384,
  maxBodyBytes: 4194304,
  headerGuardMs: 3000,
  idleGuardMs: 15000,
};

/** The bulk route of tpa-lima. */
export const bulkRoute = {
  name: "vale-pallet",
  host,
  pathPrefix: "/pule252/",
  routeType: "bulk",
  guardMs: 6000,
  targetMs: 500,
  precedence: 2,
  service,
  maxAttempts: 3,
  affinity: true,
  resumable: true,
  gapTargetMs: 300,
  completionTargetMs: 8000,
  queueTokenCap: 1_100_000,
  retentionS: 40,
};

export function modelService(name, models = [{ name: "m" }]) {
  return {
    name,
    healthPath: "/health",
    maxConnections: 170,
    protocol: "h1",
    tlsMode: false,
    engine: { capacitySlots: 16, cacheTokens: 232000, cacheTokenBytes: 327680, stride: 23, models },
  };
}

/** A script may run for 120 s. */
const timeLimitMs = 116_000;

/**
 * Opens the record file of a case; returns the function that adds a line. A script that fails itself, is stopped or takes too
 * long ends with 2; its processes are ended as it exits.
 */
export function openRecord(file) {
  rmSync(file, { force: true });
  const start = Date.now();
  function record(text) {
    const seconds = ((Date.now() - start) / 1000).toFixed(3).padStart(8);
    appendFileSync(file, `${seconds} ${text}\n`);
  }
  function giveUp(reason) {
    record(`the case could not run: ${reason}`);
    process.exit(2);
  }
  process.once("uncaughtException", (error) => giveUp(error.stack));
  for (const signal of ["SIGTERM", "SIGINT", "SIGHUP"]) process.once(signal, () => giveUp(signal));
  setTimeout(() => giveUp("it takes too long"), timeLimitMs).unref();
  return record;
}

/** Starts stand-in runners in a process of their own. */
export function startRunners(fleet, { first = 1, count, service: name = service, options = {} }) {
  const child = spawn(
    process.execPath,
    ["review/lib/runners.mjs", fleet.net, first, count, name, JSON.stringify(options)].map(String),
    { stdio: ["ignore", "pipe", "inherit"] },
  );
  const runners = { child, runs: [], onFact: undefined };
  createInterface({ input: child.stdout }).on("line", (line) => {
    const fact = JSON.parse(line);
    runners.runs.push(fact);
    runners.onFact?.(fact);
  });
  process.once("exit", () => child.kill("SIGKILL"));
  return runners;
}

/** Starts 3 core, 3 storage and some access machines, and takes the first configuration. */
export async function startDeployment(record, { access = 3, document }) {
  const fleet = await Fleet.create(record);
  for (const index of [1, 2, 3]) fleet.start("core", index, true);
  for (const index of [1, 2, 3]) fleet.start("storage", index, true);
  for (let index = 1; index <= access; index += 1) fleet.start("access", index, true);
  const taken = await replaceConfiguration(fleet, 0, document);
  record(`first configuration: ${taken.status}`);
  const indexes = Array.from({ length: access }, (_, index) => index + 1);
  const isUp = await waitReady(fleet, indexes);
  record(`access nodes ready: ${isUp}`);
  return { fleet, isUp: isUp && taken.status === 200 };
}

/** The part of every prompt that all items of a lot share, in tokens. */
const sharedTokens = 432;

/** A lot whose sizes agree: the parts of a prompt sum to its tokens, and `tokens` is those plus the most that go out. */
export function newLot(items, { bodyBytes = 3200, tokensIn = 1200, tokensOut = 700 } = {}) {
  const entries = [];
  for (let index = 0; index < items; index += 1) {
    const item = id();
    const parts = `9c2e41:${sharedTokens},${item.slice(0, 6)}:${tokensIn - sharedTokens}`;
    entries.push({
      instanceId: item,
      path: `/pule252/3/${item.slice(0, 4)}`,
      headers: {
        "Chutewick-Model": "m",
        "Chutewick-Token-Count": `${tokensIn},${tokensOut}`,
        "Chutewick-Prompt-Prefix": parts,
      },
      body: Buffer.alloc(bodyBytes, item).toString("base64"),
      tokens: tokensIn + tokensOut,
    });
  }
  return { id: id(), entries };
}

export function submitLot(fleet, access, lot, prefix = "/pule252/") {
  return call({
    ip: fleet.ip("access", access),
    port: ports.access,
    method: "POST",
    path: `${prefix}${lot.id.slice(0, 6)}`,
    headers: {
      host,
      "Chutewick-Attempt-Id": lot.id,
      "Chutewick-Remaining-Ms": "4000",
      "content-type": "application/json",
    },
    body: JSON.stringify({ entries: lot.entries }),
    timeoutMs: 5500,
  });
}

export async function readLot(fleet, access, lot, from = 0, holdMs = 0) {
  const answer = await call({
    ip: fleet.ip("access", access),
    port: ports.access,
    path: `/chutewick/lots/${lot}?startToken=${from}`,
    headers: { host, ...(holdMs > 0 ? { "Chutewick-Hold-Ms": String(holdMs) } : {}) },
    timeoutMs: holdMs + 1500,
  });
  return answer.status === 200 ? { ...answer, ...JSON.parse(answer.text) } : answer;
}

export { sleep };
