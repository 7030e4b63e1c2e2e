import { deepEqual, equal, ok } from "node:assert/strict";
import { cpSync, mkdirSync, readFileSync, rmSync, truncateSync, writeFileSync } from "node:fs";
import { connect, type Socket } from "node:net";
import { join } from "node:path";
import { Given, Then, When, type DataTable } from "@cucumber/cucumber";
import type { Fleet } from "@chutewick/fleet";
import { Wire, log } from "@chutewick/shell";
import { request } from "undici";
import { usedBytes } from "./folder.js";

interface World {
  fleet: Fleet;
  folder: string;
  half: Promise<string>;
  access: string;
}

function aCallerWhoSendsHalf(this: World): void {
  const [host, port] = this.fleet.http("access")[0]!.split(":");
  const socket: Socket = connect(Number(port), host);
  let text = "";
  function told(chunk: Buffer): void {
    text += chunk.toString();
  }
  socket.on("data", told);
  socket.write(
    'POST /ways/check HTTP/1.1\r\nhost: x\r\ncontent-type: application/json\r\ncontent-length: 1000\r\n\r\n{"prompt":',
  );
  function ended(resolve: (text: string) => void): void {
    function closed(): void {
      resolve(text);
    }
    socket.once("close", closed);
    socket.on("error", closed);
  }
  this.half = new Promise<string>(ended);
}
Given("a caller who sends half a body and then nothing more", aCallerWhoSendsHalf);

async function badRequests(this: World): Promise<void> {
  this.access = this.fleet.http("access")[0]!;
  const { fleet, access } = this;
  async function knows(): Promise<boolean> {
    const told = await request(`http://${access}/ways/check`, {
      method: "POST",
      headers: { "content-type": "application/json" },
      body: JSON.stringify({ prompt: "known" }),
    });
    await told.body.dump();
    return told.statusCode === 200;
  }
  await fleet.until("the access node knows ways and runners", knows);
}
When("bad inquiries are sent to an access node", badRequests);

function written(body: string): string {
  if (body === "2 MiB") return JSON.stringify({ prompt: "x".repeat(2 * 1_048_576) });
  if (body.includes("1001 prompts"))
    return JSON.stringify({ key: "a", items: new Array(1_001).fill(1) });
  return body;
}

async function eachHasItsStatus(this: World, table: DataTable): Promise<void> {
  for (const row of table.hashes() as {
    method: "GET" | "POST" | "DELETE";
    path: string;
    body: string;
    status: string;
    trouble: string;
  }[]) {
    const told = await request(`http://${this.access}${row.path}`, {
      method: row.method,
      headers: { "content-type": "application/json" },
      ...(row.body === "" ? {} : { body: written(row.body) }),
    });
    const text = await told.body.text();
    equal(told.statusCode, Number(row.status), `${row.method} ${row.path} ${row.body}: ${text}`);
    const body = JSON.parse(text) as { trouble: string; reason: string };
    equal(body.trouble, row.trouble, `${row.path} ${row.body}`);
    ok(body.reason.length > 5);
  }
}
Then("each has its status and trouble", eachHasItsStatus);

async function badChangesAreRefused(this: World, table: DataTable): Promise<void> {
  for (const { change, says } of table.hashes() as { change: string; says: string }[]) {
    const told = await this.fleet.chutewick(["configuration", "patch", "-"], change);
    equal(told.code, 3, `${change}: ${told.out} ${told.trouble}`);
    ok(told.trouble.includes(says), `${change}: ${told.trouble}`);
  }
}
Then("the operators' bad changes are refused with path and reason", badChangesAreRefused);

async function emptyingIsRefused(this: World): Promise<void> {
  const status = await this.fleet.control("GET", "/status");
  const storage = (status.body["nodes"] as { identity: string; kind: string }[]).find(
    isStorage,
  )!.identity;
  const unknown = await this.fleet.chutewick(["machine", "empty", "nobody"]);
  equal(unknown.code, 3);
  ok(unknown.trouble.includes("there is no such storage machine"), unknown.trouble);
  const needed = await this.fleet.chutewick(["machine", "empty", storage]);
  equal(needed.code, 3);
  ok(needed.trouble.includes("only 2 other machines could take its queues"), needed.trouble);
  const kept = await this.fleet.chutewick(["machine", "keep", storage]);
  equal(kept.code, 3);
  ok(kept.trouble.includes("is not being emptied"), kept.trouble);
}
Then(
  "emptying is refused with the reason for a machine that is unknown, needed or not being emptied",
  emptyingIsRefused,
);

function isStorage(node: { kind: string }): boolean {
  return node.kind === "storage";
}

async function theConfigurationStillHasMark(this: World, mark: number): Promise<void> {
  const told = await this.fleet.control("GET", "/configuration", undefined, undefined, 1);
  equal(told.body["mark"], mark);
}
Then("the configuration still has mark {int}", theConfigurationStillHasMark);

async function ofTwoOperators(this: World): Promise<void> {
  const both = await Promise.all([
    this.fleet.chutewick(["label", "way", "check", "by=one", "--mark", "1"]),
    this.fleet.chutewick(["label", "way", "check", "by=other", "--mark", "1"]),
  ]);
  const codes = [both[0].code, both[1].code].sort();
  deepEqual(codes, [0, 4], JSON.stringify(both));
  const told = await this.fleet.control("GET", "/configuration");
  equal(told.body["mark"], 2);
  const configuration = told.body["configuration"] as {
    ways: Record<string, { labels: Record<string, string> }>;
  };
  equal(configuration.ways["check"]!.labels["by"], both[0].code === 0 ? "one" : "other");
}
Then("of two operators who build on mark 1 one wins and the other is told so", ofTwoOperators);

async function keyedChange(this: World): Promise<void> {
  const { fleet } = this;
  async function sent(key: string, by: string, at: number): Promise<[number, unknown]> {
    const told = await request(`http://${fleet.http("control")[at]!}/configuration`, {
      method: "PATCH",
      headers: {
        "content-type": "application/json",
        "if-match": '"2"',
        ...(key === "" ? {} : { "idempotency-key": key }),
      },
      body: JSON.stringify({ ways: { check: { labels: { by } } } }),
    });
    return [told.statusCode, ((await told.body.json()) as { mark?: number }).mark];
  }
  deepEqual(await sent("mine", "keyed", 0), [200, 3]);
  deepEqual(await sent("mine", "keyed", 1), [200, 3]);
  deepEqual(await sent("other", "keyed", 2), [409, 3]);
  deepEqual(await sent("mine", "changed", 2), [409, 3]);
  deepEqual(await sent("", "keyed", 0), [409, 3]);
  deepEqual(await sent("x".repeat(300), "keyed", 0), [400, undefined]);
  deepEqual(await sent("mine", "keyed", 2), [200, 3]);
}
Then(
  "a change sent again under its Idempotency-Key hears the mark that it was given, at any control machine",
  keyedChange,
);

async function theSlowCallerIsTold(this: World): Promise<void> {
  const text = await this.half;
  ok(text.startsWith("HTTP/1.1 408"), text);
  ok(text.includes('"trouble":"too-slow"'), text);
}
Then("the caller who sent half a body is told too-slow", theSlowCallerIsTold);

async function badSettings(this: World, table: DataTable): Promise<void> {
  for (const { words, says } of table.hashes() as { words: string; says: string }[]) {
    const told = await this.fleet.chutewick(words.split(" "));
    equal(told.code, 2, `${words}: ${told.out} ${told.trouble}`);
    equal(told.trouble.trim().split("\n").length, 1, told.trouble);
    ok(told.trouble.includes(says), told.trouble);
  }
}
Then("the program ends with 2 and one clear message for bad settings", badSettings);

async function badFoldersEndWithOne(this: World): Promise<void> {
  const { fleet } = this;
  const machine = fleet.machine("storage-3");
  const words = [
    "storage",
    "--name",
    "storage-9",
    "--zone",
    "a",
    "--wire",
    "127.1.2.9:7100",
    "--http",
    "127.1.2.9:7200",
    "--seeds",
    "127.1.1.1:7100,127.1.1.2:7100,127.1.1.3:7100",
    "--data",
  ];
  const used = await fleet.chutewick([...words, machine.data]);
  equal(used.code, 1, used.out);
  ok(used.trouble.includes("in use by process"), used.trouble);
  const foreign = join(this.folder, "foreign");
  mkdirSync(foreign);
  writeFileSync(join(foreign, "letters.txt"), "dear reader");
  const strange = await fleet.chutewick([...words, foreign]);
  equal(strange.code, 1);
  ok(strange.trouble.includes("not chutewick's"), strange.trouble);
  equal(readFileSync(join(foreign, "letters.txt"), "utf8"), "dear reader");
  await fleet.kill("storage-3");
  const copied = join(this.folder, "copied");
  cpSync(machine.data, copied, { recursive: true });
  rmSync(join(copied, "process"));
  /** With this marker the database would be set aside, and the machine would come back blank (features/disk.feature). */
  rmSync(join(copied, "begun"));
  truncateSync(join(copied, "data.mdb"), usedBytes(join(copied, "data.mdb")) - 4_096);
  const cutOff = await fleet.chutewick([...words, copied]);
  equal(cutOff.code, 1);
  ok(cutOff.trouble.includes("is cut off"), cutOff.trouble);
  const kind = await fleet.chutewick(["control", ...words.slice(1), machine.data]);
  equal(kind.code, 1);
  ok(kind.trouble.includes("belongs to a storage machine"), kind.trouble);
}
Then(
  "a storage machine whose folder is cut off, foreign, another kind's or in use ends with 1",
  badFoldersEndWithOne,
);

async function anotherWireMark(this: World): Promise<void> {
  const said: unknown[] = [];
  const quiet = log.open("test", "stranger", "fatal");
  function told(_facts: unknown, text: string): void {
    said.push(text);
  }
  quiet.error = told as typeof quiet.error;
  function receive(): void {
    // Nothing is expected.
  }
  const stranger = new Wire({
    address: "127.1.9.1:7100",
    listen: "127.1.9.1:7100",
    log: quiet,
    receive,
    mark: 999,
  });
  await stranger.open();
  stranger.send(this.fleet.machine("control-1").wire, { kind: "session" });
  async function refused(): Promise<boolean> {
    const status = await refusals();
    return said.length > 0 && status > 0;
  }
  const { fleet } = this;
  async function refusals(): Promise<number> {
    const status = await fleet.status("control-1");
    return (status?.["counts"] as { refused: number }).refused;
  }
  await fleet.until("the stranger is refused", refused);
  stranger.close();
}
Then("a process that speaks another wire mark is refused and told so", anotherWireMark);

async function aStorageMachineStops(this: World): Promise<void> {
  equal(await this.fleet.kill("storage-2", "SIGTERM"), 0);
}
Then("a storage machine that is told to stop ends with 0", aStorageMachineStops);
