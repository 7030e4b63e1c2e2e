/** A stand-in runner: it reports to control, checks that it is the one named, and answers plain requests and streams. */
import { createServer } from "node:http";
import { call, sleep } from "./fleet.mjs";

let lastRunner = 0;

export class Runner {
  constructor(
    fleet,
    { service, ip, port = 8200, slots = 16, models, work, zone = "zone-a", record } = {},
  ) {
    lastRunner += 1;
    Object.assign(this, { fleet, service, slots, models, work, zone, record });
    this.id = `i-${process.pid.toString(16)}${lastRunner.toString(16).padStart(4, "0")}`;
    this.ip = ip ?? fleet.runnerIp(lastRunner);
    this.port = port;
    /** What reached this runner: id, method, path, headers, body, and whether it ran. */
    this.arrivals = [];
    this.state = "in_service";
    this.sequence = 0;
    this.isEnded = false;
    this.server = createServer((incoming, answer) => this.#arrived(incoming, answer));
    this.server.keepAliveTimeout = 60000;
  }

  get address() {
    return `${this.ip}:${this.port}`;
  }

  async start() {
    await new Promise((resolve) => this.server.listen(this.port, this.ip, resolve));
    void this.#beats();
  }

  report() {
    this.sequence += 1;
    return JSON.stringify({
      service: this.service,
      address: this.address,
      zone: this.zone,
      revision: "v1",
      capacitySlots: this.slots,
      state: this.state,
      warmupLeftMs: 0,
      ...(this.models === undefined
        ? {}
        : {
            phase: "both",
            models: this.models.map((name) => ({ name, revision: 1, adapters: [] })),
          }),
      callSequence: this.sequence,
    });
  }

  /** Sends one report to control, to the next machine after a failure; resolves whether it was acknowledged. */
  async beat() {
    const body = this.report();
    for (let turn = 0; turn < 3; turn += 1) {
      const { status } = await call(this.fleet.controlAddress(this.turn ?? 0), {
        method: "POST",
        path: `/chutewick/instances/${this.id}/report`,
        headers: { "content-type": "application/json" },
        body,
        timeoutMs: 1000,
      });
      if (status !== undefined && status >= 200 && status < 300) return true;
      this.turn = (this.turn ?? 0) + 1;
    }
    return false;
  }

  async #beats() {
    while (!this.isEnded) {
      if (this.state === "in_service") await this.beat();
      await sleep(1200);
    }
  }

  #arrived(incoming, answer) {
    const chunks = [];
    incoming.on("data", (chunk) => chunks.push(chunk));
    incoming.on("error", () => undefined);
    incoming.on("end", () => {
      const { method, url: path, headers, rawHeaders } = incoming;
      if (method === "GET" && path === "/health") {
        answer.writeHead(200, { "chutewick-serving-instance": this.id, "content-length": 0 });
        return answer.end();
      }
      const id = headers["chutewick-attempt-id"];
      const arrival = {
        id,
        method,
        path,
        headers,
        rawHeaders,
        body: Buffer.concat(chunks),
        at: Date.now(),
        ran: false,
        runner: this.id,
      };
      this.arrivals.push(arrival);
      const expected = headers["chutewick-expected-instance"];
      if (expected !== undefined && expected !== this.id) {
        answer.writeHead(421, {
          "chutewick-attempt-id": id,
          "chutewick-not-executed": "1",
          "content-length": 0,
        });
        return answer.end();
      }
      arrival.ran = true;
      void this.work({ runner: this, arrival, answer, incoming });
    });
  }

  end() {
    this.isEnded = true;
    this.server.close();
    this.server.closeAllConnections();
  }
}

export function seal(id) {
  return `${id}.0.1`;
}

/** Answers a plain request. */
export function plain({ arrival, answer }, text, status = 200) {
  answer.writeHead(status, {
    "chutewick-attempt-id": arrival.id,
    "chutewick-answer-seal": seal(arrival.id),
    "content-type": "text/plain",
    "content-length": Buffer.byteLength(text),
  });
  answer.end(text);
}

/** Answers with a stream of events; goes on after Last-Event-Id. */
export async function events({ arrival, answer }, count, pauseMs, dataOf) {
  answer.writeHead(200, {
    "chutewick-attempt-id": arrival.id,
    "chutewick-answer-seal": seal(arrival.id),
    "chutewick-weight-versions": "1",
    "content-type": "text/event-stream",
  });
  const last = arrival.headers["last-event-id"];
  for (let number = last === undefined ? 1 : Number(last) + 1; number <= count; number += 1) {
    await sleep(pauseMs);
    if (answer.destroyed) return;
    answer.write(`id: ${number}\ndata: ${dataOf(number)}\n\n`);
  }
  answer.end();
}
