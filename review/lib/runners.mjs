/**
 * Stand-in model runners, all in one process. Arguments: network, first index, number of runners, service, and options as JSON.
 * Writes a line of JSON to its output for each run that begins or ends. The text of an event depends only on the request's id and
 * on the number of the event, so that any runner continues a stream at any event.
 */
import { createServer, request } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";

const [net, first, count, service, optionText] = process.argv.slice(2);
const options = {
  slots: 16,
  queue: 48,
  events: 12,
  eventBytes: 140,
  firstMs: 30,
  jitterMs: 0,
  memoryTokens: 232_000,
  eventMs: 5,
  controls: 3,
  reportMs: 1200,
  models: ["m"],
  quiet: false,
  ...JSON.parse(optionText ?? "{}"),
};

const zones = ["sala-callao", "nave-lurin", "rack-ate"];

function say(fact) {
  if (!options.quiet) process.stdout.write(`${JSON.stringify({ at: Date.now(), ...fact })}\n`);
}

/** The data of one event. */
function dataOf(id, number) {
  return `${id}:${number}:`.padEnd(options.eventBytes, "x");
}

class Runner {
  constructor(index) {
    this.id = `i-${service}-${index}-${process.pid}`;
    this.index = index;
    this.ip = `127.${net}.8.${index}`;
    this.port = 8000;
    this.active = 0;
    this.calls = 0;
    this.waiting = [];
  }

  listen() {
    const server = createServer((incoming, response) => this.serve(incoming, response));
    server.keepAliveTimeout = 15_000;
    return new Promise((done) => server.listen(this.port, this.ip, done));
  }

  serve(incoming, response) {
    const chunks = [];
    incoming.on("data", (chunk) => chunks.push(chunk));
    incoming.once("end", () => {
      if (incoming.url === "/health") {
        response.writeHead(200, { "Chutewick-Serving-Instance": this.id, "content-length": "0" });
        return response.end();
      }
      if (incoming.url === "/chutewick/report") return this.report(response);
      this.accept(incoming, response);
    });
  }

  report(response) {
    const body = JSON.stringify({
      phase: "both",
      models: options.models.map((name) => ({ name, revision: 1, adapters: [] })),
      occupancy: false,
      callSequence: this.calls,
      queued: this.waiting.length,
      active: this.active,
      cacheUsed: 0,
      cacheTotal: 232_000,
      supportedModels: 0,
    });
    response.writeHead(200, {
      "content-type": "application/json",
      "content-length": String(body.length),
    });
    response.end(body);
  }

  accept(incoming, response) {
    const { headers } = incoming;
    const id = headers["chutewick-attempt-id"];
    const refuse = (status) => {
      response.writeHead(status, {
        ...(id === undefined ? {} : { "Chutewick-Attempt-Id": id }),
        "Chutewick-Not-Executed": "1",
        "content-length": "0",
      });
      response.end();
    };
    if (id === undefined) return refuse(400);
    const expected = headers["chutewick-expected-instance"];
    if (expected !== undefined && expected !== this.id) return refuse(421);
    const [tokensIn = 0, tokensOut = 0] = String(headers["chutewick-token-count"] ?? "0,0")
      .split(",")
      .map(Number);
    if (tokensIn + tokensOut > options.memoryTokens) {
      say({ kind: "too-large", id, runner: this.id });
      return refuse(503);
    }
    if (this.active >= options.slots) {
      if (this.waiting.length >= options.queue) return refuse(503);
      this.waiting.push({ incoming, response });
      return;
    }
    this.active += 1;
    void this.run(id, incoming, response).finally(() => {
      this.active -= 1;
      let next = this.waiting.shift();
      while (next?.response.destroyed === true) next = this.waiting.shift();
      if (next !== undefined) this.accept(next.incoming, next.response);
    });
  }

  async run(id, incoming, response) {
    const after = Number(incoming.headers["last-event-id"] ?? 0);
    const base = {
      id,
      runner: this.id,
      path: incoming.url,
      after,
    };
    say({ kind: "begin", ...base });
    response.writeHead(200, {
      "Chutewick-Attempt-Id": id,
      "Chutewick-Answer-Seal": `${this.id}.${id}`,
      "Chutewick-Weight-Versions": "1",
      "content-type": "text/event-stream",
    });
    await sleep(options.firstMs + Math.random() * options.jitterMs);
    for (let number = after + 1; number <= options.events; number += 1) {
      if (response.destroyed) return say({ kind: "dropped", id, runner: this.id, number });
      response.write(`id: ${number}\ndata: ${dataOf(id, number)}\n\n`);
      if (options.eventMs > 0) await sleep(options.eventMs);
    }
    response.end();
    say({ kind: "end", id, runner: this.id });
  }

  /** Reports to the control machines in turn until one acknowledges. */
  async announce() {
    const body = JSON.stringify({
      service,
      address: `${this.ip}:${this.port}`,
      zone: zones[this.index % zones.length],
      revision: "v1",
      capacitySlots: options.slots,
      state: "in_service",
      warmupLeftMs: 0,
      phase: "both",
      models: options.models.map((name) => ({ name, revision: 1, adapters: [] })),
      callSequence: (this.calls += 1),
    });
    for (let turn = 0; turn < options.controls; turn += 1) {
      const control = `127.${net}.1.${1 + ((this.calls + turn) % options.controls)}`;
      if (await this.beat(control, body)) return;
    }
  }

  beat(host, body) {
    return new Promise((done) => {
      const outgoing = request({
        host,
        port: 8146,
        method: "POST",
        path: `/chutewick/instances/${this.id}/report`,
        agent: false,
        timeout: 1000,
        headers: { "content-type": "application/json", "content-length": Buffer.byteLength(body) },
      });
      outgoing.once("timeout", () => outgoing.destroy(new Error("time")));
      outgoing.once("error", () => done(false));
      outgoing.once("response", (response) => {
        response.resume();
        done(response.statusCode >= 200 && response.statusCode < 300);
      });
      outgoing.end(body);
    });
  }
}

for (let index = Number(first); index < Number(first) + Number(count); index += 1) {
  const runner = new Runner(index);
  await runner.listen();
  const report = async () => {
    for (;;) {
      await runner.announce();
      await sleep(options.reportMs);
    }
  };
  void report();
}
say({ kind: "listening" });
