/** HTTP calls of clients and of the operator, each on a new connection. */
import { request } from "node:http";
import { ports, sleep } from "./fleet.mjs";

/** Sends one request. Resolves with status 0 where no complete answer came. */
export function call({ ip, port, method = "GET", path, headers = {}, body, timeoutMs = 5000 }) {
  return new Promise((done) => {
    let isDone = false;
    const finish = (result) => {
      if (isDone) return;
      isDone = true;
      clearTimeout(timer);
      done(result);
      outgoing.destroy();
    };
    const outgoing = request({
      host: ip,
      port,
      method,
      path,
      agent: false,
      headers: {
        ...headers,
        ...(body === undefined ? {} : { "content-length": Buffer.byteLength(body) }),
      },
    });
    const timer = setTimeout(() => finish({ status: 0, reason: "time" }), timeoutMs);
    outgoing.once("error", (error) => finish({ status: 0, reason: error.message }));
    outgoing.once("response", (response) => {
      const chunks = [];
      response.on("data", (chunk) => chunks.push(chunk));
      response.once("error", (error) => finish({ status: 0, reason: error.message }));
      response.once("close", () => finish({ status: 0, reason: "cut" }));
      response.once("end", () => {
        const text = Buffer.concat(chunks).toString("utf8");
        if (!response.complete) return finish({ status: 0, reason: "cut" });
        finish({ status: response.statusCode, headers: response.headers, text });
      });
    });
    outgoing.end(body);
  });
}

export function id() {
  let text = "";
  for (let count = 0; count < 4; count += 1)
    text += Math.floor(Math.random() * 65_536)
      .toString(16)
      .padStart(4, "0");
  return text;
}

/** Sends an order to the control machines in turn until it has a clear answer. */
export async function order(fleet, path, body, headers = {}, patienceMs = 30_000) {
  const text = JSON.stringify(body);
  const until = Date.now() + patienceMs;
  for (let turn = 0; Date.now() < until; turn += 1) {
    const ip = fleet.ip("core", 1 + (turn % 3));
    const answer = await call({
      ip,
      port: ports.control,
      method: "POST",
      path,
      headers: { "content-type": "application/json", ...headers },
      body: text,
      timeoutMs: 2000,
    });
    if (answer.status === 200 || (answer.status >= 400 && answer.status < 500)) return answer;
    await sleep(150);
  }
  return { status: 0, reason: "no clear answer" };
}

/** Replaces the configuration. */
export function replaceConfiguration(fleet, base, document) {
  return order(fleet, "/chutewick/configuration/replace", document, {
    "Chutewick-Base-Revision": String(base),
  });
}

/** Asks a node of the system whether it is ready. */
export async function isReady(fleet, index) {
  const { status } = await call({
    ip: fleet.ip("access", index),
    port: ports.readiness,
    path: "/chutewick/readiness",
    timeoutMs: 1000,
  });
  return status === 200;
}

/** Waits until the access nodes are ready. */
export async function waitReady(fleet, indexes, patienceMs = 20_000) {
  const until = Date.now() + patienceMs;
  for (const index of indexes)
    while (!(await isReady(fleet, index))) {
      if (Date.now() > until) return false;
      await sleep(100);
    }
  return true;
}
