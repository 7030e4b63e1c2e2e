/** Steps of platform.feature: translation of documents, headers and settings of the platform. */
import { deepEqual, equal, ok } from "node:assert/strict";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Given, Then, When } from "@cucumber/cucumber";
import {
  ControlStateMachine,
  configuration,
  type Configuration,
  type ControlResult,
} from "@chutewick/control";
import type { PassageRequest } from "@chutewick/data";
import { Ledger, callerLimits } from "@chutewick/parts";
import {
  PlatformRunnerProtocol,
  headerParsers,
  documents,
  platformSettings,
  type PlatformSettings,
  type ConfigurationOrder,
} from "@chutewick/platform";

interface World {
  document: Record<string, unknown>;
  text: string;
  modification: string;
  first: ConfigurationOrder;
  /** The last translated order; undefined if it was rejected. */
  told: ConfigurationOrder | undefined;
  /** The parsed request. */
  inquiry: PassageRequest;
  forwarded: string[];
  settings: PlatformSettings;
}

function aDocument(this: World): void {
  this.document = {
    revision: 7,
    routes: [
      {
        name: "notes",
        host: "shop.example",
        pathPrefix: "/notes/",
        routeType: "streaming",
        guardMs: 3_000,
        targetMs: 250,
        precedence: 0,
        service: "reader",
        maxAttempts: 2,
        affinity: true,
        resumable: true,
        gapTargetMs: 300,
      },
      {
        name: "slips",
        host: "shop.example",
        pathPrefix: "/slips/",
        routeType: "bulk",
        guardMs: 6_000,
        targetMs: 500,
        precedence: 2,
        service: "reader",
        maxAttempts: 3,
        affinity: true,
        resumable: true,
        completionTargetMs: 8_000,
        queueTokenCap: 9_000,
        retentionS: 40,
      },
      {
        name: "labels",
        host: "shop.example",
        pathPrefix: "/labels/",
        routeType: "safe",
        guardMs: 2_000,
        targetMs: 150,
        precedence: 2,
        weightedSplit: [
          { service: "printer", weight: 9 },
          { service: "reader", weight: 1 },
        ],
        maxAttempts: 2,
        affinity: false,
      },
    ],
    services: [
      {
        name: "reader",
        healthPath: "/well",
        maxConnections: 120,
        protocol: "h1",
        engine: { capacitySlots: 16, cacheTokens: 232_000, models: [{ name: "m" }] },
      },
      { name: "printer", healthPath: "/well", maxConnections: 100, protocol: "h1" },
    ],
    limits: { maxHeaderBytes: 16_384, unheardOf: true },
  };
}
Given("a platform document with revision 7, a streaming, a bulk and a split safe route", aDocument);

function listed({ document }: World): Record<string, unknown>[] {
  return document["routes"] as Record<string, unknown>[];
}

function translated(this: World): void {
  this.text = JSON.stringify(this.document);
  this.told = documents.replaced(this.text, 0);
  ok(this.told !== undefined);
  this.first = this.told;
}
When("it is translated without a base", translated);

function limited(this: World, limits: string): void {
  this.document["limits"] = JSON.parse(limits) as unknown;
  this.told = documents.replaced(JSON.stringify(this.document), 0);
}
When(/^its limits are (.*)$/, limited);

function limitsOfCallers(this: World, callers: string): void {
  const found = callerLimits.withDefaults(checked(this.told).callers);
  deepEqual(found, JSON.parse(callers));
}
Then(/^the product's limits of callers are (.*)$/, limitsOfCallers);

function modified(this: World): void {
  const changed = { ...listed(this)[0], service: "printer" };
  this.modification = JSON.stringify({
    revision: 9,
    upsert: { routes: [changed] },
    remove: { routes: ["slips"] },
  });
  this.told = documents.modified(this.modification, 7, this.first.origin);
}
When(
  "a modification to revision 9 replaces the streaming route's pool and removes the bulk route",
  modified,
);

function checked(order: ConfigurationOrder | undefined): Configuration {
  ok(order !== undefined, "the adapter accepts it");
  const outcome = configuration.check(order.value);
  if (!outcome.ok) throw new Error(outcome.reason);
  return outcome.value;
}

function versionIs(this: World, mark: number): void {
  equal(this.told?.mark, mark);
  checked(this.told);
}
Then("the version is {int} and the product's validation accepts it", versionIs);

function threeKinds(this: World): void {
  const { passages, pools } = checked(this.told);
  deepEqual(
    [passages["notes"]!.kind, passages["slips"]!.kind, passages["labels"]!.kind],
    ["stream", "lot", "safe"],
  );
  deepEqual(passages["labels"]!.pools, [
    { pool: "printer", weight: 9 },
    { pool: "reader", weight: 1 },
  ]);
  const { goesMost, waitingTokens, keeps, within, guard } = passages["slips"]!;
  deepEqual(
    { goesMost, waitingTokens, keeps, within, guard },
    { goesMost: 3, waitingTokens: 9_000, keeps: 40, within: 8_000, guard: 6_000 },
  );
  const { seats, memoryTokens, connections, models } = pools["reader"]!;
  deepEqual(
    { seats, memoryTokens, connections, models },
    { seats: 16, memoryTokens: 232_000, connections: 120, models: ["m"] },
  );
}
Then(
  "the passages have the kinds stream, lot and safe, with their pools, bounds and allowances",
  threeKinds,
);

function twoKinds(this: World): void {
  const { passages } = checked(this.told);
  deepEqual(Object.keys(passages).sort(), ["labels", "notes"]);
  deepEqual(passages["notes"]!.pools, [{ pool: "printer", weight: 1 }]);
}
Then("the passages have the kinds stream and safe", twoKinds);

function isReturned(this: World): void {
  deepEqual(documents.documentOf(this.told!.origin), this.document);
}
Then("the document is returned as it was sent", isReturned);

function areRecognized(this: World): void {
  const records = new ControlStateMachine();
  const ledger = new Ledger();
  function sent(order: ConfigurationOrder, expected: number): ControlResult {
    const { mark, value, origin, key } = order;
    return records.apply(ledger, { kind: "put", expected, mark, value, origin, word: key }, 1);
  }
  const modification = this.told!;
  for (let time = 0; time < 2; time += 1) {
    deepEqual(sent(this.first, 0), { kind: "IN_FORCE", mark: 7 });
    deepEqual(sent(modification, 7), { kind: "IN_FORCE", mark: 9 });
  }
  const others = [
    documents.modified(this.modification, 6, this.first.origin)!,
    documents.replaced(`${this.text} `, 0)!,
  ];
  deepEqual(sent(others[0]!, 6), { kind: "CONFLICT", mark: 9 });
  deepEqual(sent(others[1]!, 0), { kind: "CONFLICT", mark: 9 });
}
Then("both orders are recognized as accepted, and others are not", areRecognized);

function madeInvalid(this: World, fault: string): void {
  const [notes, slips, labels] = listed(this) as [
    Record<string, unknown>,
    Record<string, unknown>,
    Record<string, unknown>,
  ];
  if (fault === "an unknown service") notes["service"] = "nobody";
  if (fault === "two routes at one place") slips["pathPrefix"] = notes["pathPrefix"];
  if (fault === "weights of zero") labels["weightedSplit"] = [{ service: "printer", weight: 0 }];
  if (fault === "a zero guard time") notes["guardMs"] = 0;
  if (fault === "a limit below 0") this.document["limits"] = { maxBodyBytes: -1 };
  if (fault === "a limit that is text") this.document["limits"] = { idleGuardMs: "long" };
  if (fault === "a name twice") slips["name"] = notes["name"];
  if (fault === "two subscribers with one key")
    this.document["subscribers"] = [
      { name: "huka", credentials: ["k1", "k2"] },
      { name: "puhu", credentials: ["k2"] },
    ];
  if (fault === "a subscriber twice")
    this.document["subscribers"] = [
      { name: "huka", credentials: ["k1"] },
      { name: "huka", credentials: ["k2"] },
    ];
  if (fault === "a subscriber of two lines")
    this.document["subscribers"] = [{ name: "huka\r\nX-Other: 1", credentials: ["k1"] }];
  if (fault === "fewer runners at most than at least")
    (this.document["services"] as Record<string, unknown>[])[0]!["scaling"] = {
      minimum: 3,
      maximum: 2,
      bootS: 4,
    };
  const text = JSON.stringify(this.document);
  this.told = documents.replaced(
    fault === "truncating it" ? text.slice(0, text.length / 2) : text,
    0,
  );
}
When("it is made invalid by {}", madeInvalid);

function rejected(this: World): void {
  ok(this.told === undefined || !configuration.check(this.told.value).ok);
}
Then("it is rejected", rejected);

function isForwarded(this: World): void {
  const headers = {
    host: "shop.example",
    connection: "keep-alive, x-hop",
    "x-hop": "1",
    "x-kept": "yes",
    "content-length": "3",
    "chutewick-attempt-id": "a1",
    "chutewick-remaining-ms": "4000",
    "chutewick-model": "m",
    "chutewick-token-count": "1460,80",
    "chutewick-prompt-prefix": "5c1e:800,91bd:660",
    "last-event-id": "4",
  };
  const rawHeaders: string[] = [];
  for (const [name, value] of Object.entries(headers)) rawHeaders.push(name, value);
  this.inquiry = headerParsers.inquiry(
    "POST",
    "/notes/2f?x=1",
    rawHeaders,
    headers,
    Buffer.from("abc"),
  )!;
  this.forwarded = new PlatformRunnerProtocol().headers(
    {
      request: this.inquiry,
      runner: "r-1",
      rank: 2,
      until: 3_600.7,
      resumeAfter: 4,
      events: true,
      repeatable: false,
      tenancy: undefined,
    },
    100,
  );
}
When("a request with headers is parsed and forwarded to a runner", isForwarded);

function isParsed(this: World): void {
  const { id, model, tokensIn, tokensOut, parts, patience, resumeAfter, path } = this.inquiry;
  deepEqual(
    { id, model, tokensIn, tokensOut, patience, resumeAfter, path },
    {
      id: "a1",
      model: "m",
      tokensIn: 1_460,
      tokensOut: 80,
      patience: 4_000,
      resumeAfter: 4,
      path: "/notes/2f?x=1",
    },
  );
  deepEqual(parts, [
    { name: "5c1e", size: 800 },
    { name: "91bd", size: 660 },
  ]);
}
Then("the parsed request has its id, sizes, parts and deadline", isParsed);

function hasForwardedHeaders(this: World): void {
  const headers = new Map<string, string>();
  for (let index = 0; index < this.forwarded.length; index += 2)
    headers.set(this.forwarded[index]!.toLowerCase(), this.forwarded[index + 1]!);
  for (const name of ["connection", "x-hop", "content-length"]) ok(!headers.has(name), name);
  deepEqual(
    [
      headers.get("host"),
      headers.get("x-kept"),
      headers.get("chutewick-attempt-id"),
      headers.get("chutewick-remaining-ms"),
      headers.get("chutewick-expected-instance"),
      headers.get("chutewick-precedence"),
      headers.get("last-event-id"),
    ],
    ["shop.example", "yes", "a1", "3500", "r-1", "2", "4"],
  );
}
Then(
  "the runner gets all headers except hop-by-hop ones, with the remaining time, its own id and the rank",
  hasForwardedHeaders,
);

function aSettingsFile(this: World): void {
  const folder = mkdtempSync(join(tmpdir(), "chutewick-"));
  const path = join(folder, "boot.json");
  writeFileSync(
    path,
    JSON.stringify({
      nodeName: "storage-a-1",
      role: "storage",
      machineClass: "storage",
      serves: ["storage"],
      ip: "10.0.0.5",
      zone: "a",
      bindAddresses: {},
      internalPorts: [7_660, 7_675],
      seedNodes: ["10.0.0.1:8146", "10.0.0.2:8146"],
      initialStart: true,
      limits: { memoryMb: 400, fileDescriptors: 8_200, diskMb: 560, cpuShare: 0.6 },
      dataPath: "/data/x",
      reportIntervalMs: 1_200,
      faultTolerance: { machines: 2, zones: 0, regions: 0 },
      bounds: { contactMs: 4_000, drainMs: 2_500, graceS: 8, unheardOf: 1 },
      unheardOf: [],
    }),
  );
  process.env["CHUTEWICK_CONFIG"] = path;
  this.settings = platformSettings.read();
  delete process.env["CHUTEWICK_CONFIG"];
  rmSync(folder, { recursive: true });
}
When("a settings file with unknown fields is read", aSettingsFile);

function hasSettings(this: World): void {
  const { own } = this.settings;
  deepEqual(own.seeds, ["10.0.0.1:7660", "10.0.0.2:7660"]);
  deepEqual(
    [own.name, own.zone, own.wire, own.http, own.data],
    ["storage-a-1", "a", "10.0.0.5:7660", "10.0.0.5:7661", "/data/x"],
  );
}
Then("seeds use the first internal port, and addresses and names follow the file", hasSettings);
