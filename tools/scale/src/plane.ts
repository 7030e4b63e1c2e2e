import { Sessions, constants, type NodeCard } from "@chutewick/parts";
import type { ControlCommand, ControlOutcome } from "@chutewick/control";
import type { PassRequest } from "@chutewick/data";
import { Bus, meanOf, type Kept } from "./bus.js";
import { heldBy } from "./heap.js";
import type { Rows } from "./rows.js";
import type { Point } from "./slope.js";
import {
  AccessStation,
  ControlStation,
  HollowNode,
  StorageStation,
  configurationOf,
  hollowCard,
} from "./stations.js";
import { spent } from "./uses.js";

/** The control plane with hollow nodes and runners: sessions, registries, feed, plans (docs/CAPACITY.md). */
export interface PlaneSize {
  readonly nodes: number;
  readonly runners: number;
  readonly models?: number;
  readonly ways?: number;
  /** Runners that each hollow node tells that it has work at. */
  readonly told?: number;
}

interface Plane {
  readonly bus: Bus;
  readonly controls: readonly ControlStation[];
  readonly access: AccessStation;
  readonly head: ControlStation;
  readonly member: ControlStation;
}

const seeds = ["10.9.0.1:7100", "10.9.0.2:7100", "10.9.0.3:7100"];

function planeOf(size: PlaneSize): Plane {
  const bus = new Bus();
  const controls: ControlStation[] = [];
  for (const seed of seeds) controls.push(new ControlStation(bus, seed, seeds));
  for (let number = 1; number <= 3; number += 1)
    new StorageStation(bus, `10.8.0.${number}:7100`, seeds, `zone-${number}`);
  const access = new AccessStation(bus, "10.7.0.1:7100", seeds, "zone-1");
  bus.run(2_000);
  change(bus, controls, {
    kind: "put",
    expected: 0,
    value: configurationOf(size.models ?? 3, size.ways ?? 20),
  });
  bus.run(6_500);
  const runners: string[] = [];
  for (let number = 0; number < size.runners; number += 1)
    runners.push(`runner-${number}-7f3a91c2`);
  for (let number = 0; number < size.nodes; number += 1) {
    const own: string[] = [];
    for (let place = number; place < runners.length; place += size.nodes) own.push(runners[place]!);
    const told: string[] = [];
    for (let place = 0; place < (size.told ?? 0); place += 1)
      told.push(runners[(number * 31 + place) % runners.length]!);
    new HollowNode(bus, number + 1, seeds, own, told);
  }
  bus.run(9_000);
  const head = controls.find(isHead);
  const member = controls.find(isMember);
  if (head === undefined || member === undefined)
    throw new Error("the control group has no head after 9 s");
  return { bus, controls, access, head, member };
}

function isHead(station: ControlStation): boolean {
  return station.core.isHead;
}

function isMember(station: ControlStation): boolean {
  return !station.core.isHead;
}

function change(
  bus: Bus,
  controls: readonly ControlStation[],
  command: ControlCommand,
): ControlOutcome {
  let found: ControlOutcome | undefined;
  function told(outcome: ControlOutcome): void {
    found = outcome;
  }
  controls[0]!.inquire(command, told);
  const until = bus.now + 6_000;
  while (found === undefined && bus.now < until) bus.run(bus.now + constants.beatEvery);
  if (found?.kind !== "confirmed")
    throw new Error(`the change was not confirmed: ${JSON.stringify(found)}`);
  return found;
}

function bytesOf(kept: Pick<Kept, "count" | "bytes"> | undefined): number {
  return kept === undefined || kept.count === 0 ? 0 : kept.bytes / kept.count;
}

/** Sessions, registries and beats, each by the message, so that what grows with nodes x (nodes + runners) can be worked out. */
export function measureSessions(rows: Rows, sizes: readonly PlaneSize[], seconds: number): void {
  const by = ["nodes", "runners"];
  const found = new Map<string, Point[]>();
  function keep(name: string, size: PlaneSize, value: number): void {
    const points = found.get(name) ?? [];
    points.push({ at: [size.nodes, size.runners], value });
    found.set(name, points);
  }
  for (const size of sizes) {
    const { bus, head, member, access } = planeOf(size);
    bus.clear();
    const from = bus.now;
    bus.run(from + seconds * 1_000);
    for (const [name, station] of [
      ["control head", head],
      ["control member", member],
    ] as const) {
      const { meter } = station;
      keep(
        `${name}|one session heard and told back, processor|ms`,
        size,
        meanOf(meter.kinds.get("session")),
      );
      keep(`${name}|one session in|bytes`, size, bytesOf(meter.kinds.get("session")));
      keep(`${name}|one lease out|bytes`, size, bytesOf(bus.sizes.get("lease")));
      keep(
        `${name}|one roll to another control machine|bytes`,
        size,
        bytesOf(bus.sizes.get("roll")),
      );
      keep(`${name}|one roll heard, processor|ms`, size, meanOf(meter.kinds.get("roll")));
      keep(`${name}|one beat, processor|ms`, size, meanOf(meter.kinds.get("beat")));
    }
    keep(
      "access node|one lease heard, processor|ms",
      size,
      meanOf(access.meter.kinds.get("lease")),
    );
    keep(
      "access node|one beat, session told included, processor|ms",
      size,
      meanOf(access.meter.kinds.get("beat")),
    );
    keep(
      "access node|messages of control in a second|messages/s",
      size,
      access.meter.heard / seconds,
    );
    keep(
      "access node|messages to control out a second|messages/s",
      size,
      access.meter.sent / seconds,
    );
  }
  for (const [name, points] of found) {
    const [role, what, unit] = name.split("|");
    rows.add(role as "access node", what!, unit!, by, points);
  }
}

/** One choice of a runner and the start of a stream, by the runners known and what is under way. */
export function measureChoices(
  rows: Rows,
  runners: readonly number[],
  underWay: readonly number[],
): void {
  const points: Point[] = [];
  for (const count of runners) {
    const { bus, access } = planeOf({ nodes: 8, runners: count });
    access.runs = 60_000;
    let started = 0;
    for (const wanted of underWay) {
      while (started < wanted) started += arrive(access, bus, started);
      const start = spent();
      const before = started;
      for (let number = 0; number < 20; number += 1) started += arrive(access, bus, started);
      points.push({ at: [count, count * wanted], value: (spent() - start) / (started - before) });
    }
  }
  rows.add(
    "access node",
    "own ways: choice of a runner and start of a stream, processor",
    "ms",
    ["runners", "runners x under way"],
    points,
  );
}

function arrive(access: AccessStation, bus: Bus, number: number): number {
  access.perform(
    access.core.arrive(
      `scale/${number}`,
      "way-3",
      { prompt: "a short prompt" },
      undefined,
      bus.now,
    ),
  );
  return 1;
}

/** The same on passages; what is known of runners and of other nodes' work is read anew a few times a second. */
export function measurePassages(
  rows: Rows,
  runners: readonly number[],
  sizes: readonly PlaneSize[],
): void {
  const [choices, looks]: [Point[], Point[]] = [[], []];
  for (const count of runners) {
    const { bus, access } = planeOf({ nodes: 8, runners: count });
    access.runs = 60_000;
    let number = 0;
    function pass(): void {
      number += 1;
      access.perform(access.core.relay.arrive(`pass/${number}`, requestOf(number), bus.now));
    }
    for (let turn = 0; turn < 200; turn += 1) pass();
    const start = spent();
    for (let turn = 0; turn < 200; turn += 1) pass();
    choices.push({ at: [count], value: (spent() - start) / 200 });
  }
  for (const { nodes, runners: count } of sizes) {
    const { bus, access } = planeOf({ nodes, runners: count, told: count });
    const spans: number[] = [];
    for (let turn = 0; turn < 60; turn += 1) {
      /** Late enough that all is read anew, early enough that all that is told still counts. */
      const later = bus.now + 0.001 * turn + (turn % 2) * constants.lookEvery;
      const start = spent();
      access.core.choice.stands({ runner: "nobody", incarnation: 1, address: "" }, later);
      if (turn > 20 && turn % 2 === 1) spans.push(spent() - start);
    }
    let sum = 0;
    for (const span of spans) sum += span;
    looks.push({ at: [nodes, count], value: sum / spans.length });
  }
  rows.add(
    "access node",
    "passages: choice of a runner and start, processor",
    "ms",
    ["runners of the pool"],
    choices,
  );
  rows.add(
    "access node",
    "passages: one look at what all nodes have under way, processor",
    "ms",
    ["nodes", "runners"],
    looks,
  );
}

function requestOf(number: number): PassRequest {
  return {
    id: `inquiry-${number}`,
    method: "POST",
    host: "scale.example",
    path: "/note/1",
    headers: [],
    body: new Uint8Array(200),
    patience: undefined,
    model: "model-1",
    tokensIn: 700,
    tokensOut: 300,
    parts: [],
    resumeAfter: undefined,
  };
}

/** Runners that announce at one access node: the core's part of each, and what the node's session then carries. */
export function measureAnnouncements(rows: Rows, runners: readonly number[]): void {
  const [busy, session]: [Point[], Point[]] = [[], []];
  for (const count of runners) {
    const { bus, access } = planeOf({ nodes: 4, runners: 4 });
    function announce(): void {
      for (let number = 0; number < count; number += 1)
        access.perform(
          access.core.announce(
            `announce/${number}`,
            hollowCard(`runner-${number}-7f3a91c2`, number),
            bus.now,
          ),
        );
    }
    for (let turn = 0; turn < 20; turn += 1) announce();
    const start = spent();
    for (let turn = 0; turn < 20; turn += 1) announce();
    busy.push({ at: [count], value: (spent() - start) / 20 / count });
    bus.clear();
    bus.run(bus.now + 1_000);
    session.push({ at: [count], value: access.meter.sentBytes / access.meter.sent });
  }
  rows.add(
    "runner link",
    "one announcement, processor of the core alone",
    "ms",
    ["runners announced here"],
    busy,
  );
  rows.add(
    "runner link",
    "one session of the access node that heard the announcements",
    "bytes",
    ["runners announced here"],
    session,
  );
}

/** Nothing is measured of what the engine has not compiled yet. */
export function warm(): void {
  const { bus, controls, access } = planeOf({ nodes: 12, runners: 48 });
  for (let number = 0; number < 200; number += 1) arrive(access, bus, number);
  for (const control of controls) control.silent = true;
  bus.run(bus.now + 3_000);
}

/** How sessions and registries grow with the runners that nodes tell they have work at; the registry tells sums by runner. */
export function measureTold(rows: Rows, runners: readonly number[], nodes: number): void {
  const [session, lease, heard]: [Point[], Point[], Point[]] = [[], [], []];
  for (const count of runners) {
    for (const told of [0, Math.floor(count / 2), count]) {
      const { bus, member } = planeOf({ nodes, runners: count, told });
      bus.clear();
      bus.run(bus.now + 1_000);
      let distinct = 0;
      let announced = 0;
      /** The hollow nodes' alone: the real ones tell of no such work. */
      let bytes = 0;
      let messages = 0;
      for (const station of bus.stations.values()) {
        if (!(station instanceof HollowNode)) continue;
        bytes += station.meter.sentBytes;
        messages += station.meter.sent;
        distinct = Math.max(distinct, told === 0 ? 0 : Math.min(count, told * nodes));
        announced = count / nodes;
      }
      session.push({ at: [announced, told], value: bytes / messages });
      lease.push({ at: [count, distinct], value: bytesOf(bus.sizes.get("lease")) });
      heard.push({ at: [count, told], value: meanOf(member.meter.kinds.get("session")) });
    }
  }
  rows.add(
    "access node",
    "one session out, by runners it has work at",
    "bytes",
    ["runners announced here", "runners told of"],
    session,
  );
  rows.add(
    "control member",
    "one lease out, by runners at which any node has work",
    "bytes",
    ["runners", "runners told of by any node"],
    lease,
  );
  rows.add(
    "control member",
    `one session heard and told back, by runners it tells of, ${nodes} nodes, processor`,
    "ms",
    ["runners", "runners told of"],
    heard,
  );
}

/** A change of configuration: what goes to each node, and what it costs the head, by the size of the whole configuration. */
export function measureChanges(rows: Rows, ways: readonly number[]): void {
  const feed: Point[] = [];
  const head: Point[] = [];
  const node: Point[] = [];
  const takes: Point[] = [];
  for (const count of ways) {
    const plane = planeOf({ nodes: 4, runners: 8, ways: count });
    const changes = 5;
    plane.bus.clear();
    let waited = 0;
    let bytes = 0;
    for (let number = 0; number < changes; number += 1) {
      const from = plane.bus.now;
      change(plane.bus, plane.controls, {
        kind: "patch",
        expected: undefined,
        change: { ways: { "way-1": { labels: { tenant: `tenant-${number}` } } } },
      });
      waited += plane.bus.now - from;
    }
    const told = plane.bus.sizes.get("feed");
    bytes = told === undefined ? 0 : told.bytes;
    /** Each control machine that a node follows tells it: three today. */
    const followers = plane.bus.stations.size - seeds.length;
    feed.push({ at: [count], value: bytes / changes / followers });
    head.push({ at: [count], value: meanOf(plane.controls[0]!.meter.kinds.get("change")) });
    node.push({ at: [count], value: meanOf(plane.access.meter.kinds.get("feed")) });
    takes.push({ at: [count], value: waited / changes });
  }
  rows.add(
    "access node",
    "bytes in for one change of one way",
    "bytes",
    ["ways in the configuration"],
    feed,
  );
  rows.add(
    "access node",
    "one change of one way, processor",
    "ms",
    ["ways in the configuration"],
    node,
  );
  rows.add(
    "control head",
    "one change of one way, processor",
    "ms",
    ["ways in the configuration"],
    head,
  );
  rows.add(
    "control head",
    "one change until told as in force, hops without delay",
    "ms",
    ["ways in the configuration"],
    takes,
  );
}

/** Plans by the head: placement, pace and shares of all queues, five times a second. */
export function measurePlans(rows: Rows, models: readonly number[], runners: number): void {
  const points: Point[] = [];
  for (const count of models) {
    const { bus, head } = planeOf({ nodes: 10, runners, models: count });
    bus.clear();
    bus.run(bus.now + 2_000);
    points.push({ at: [count], value: meanOf(head.meter.kinds.get("beat")) });
  }
  rows.add(
    "control head",
    `one beat by queues, ${runners} runners, processor`,
    "ms",
    ["queues"],
    points,
  );
}

/** Asks and promises while control is away: every node asks every other (docs/design.md §7.4). */
export function measurePermits(rows: Rows, nodes: readonly number[], runnersPerNode: number): void {
  const messages: Point[] = [];
  const bytes: Point[] = [];
  const busy: Point[] = [];
  for (const count of nodes) {
    const { bus, controls, access } = planeOf({ nodes: count, runners: count * runnersPerNode });
    for (const control of controls) control.silent = true;
    bus.run(bus.now + 2_000);
    bus.clear();
    const seconds = 1.5;
    bus.run(bus.now + seconds * 1_000);
    messages.push({ at: [count], value: (access.meter.sent + access.meter.heard) / seconds });
    bytes.push({
      at: [count],
      value: (access.meter.sentBytes + access.meter.heardBytes) / seconds,
    });
    busy.push({ at: [count], value: access.meter.busy / seconds });
  }
  rows.add(
    "access node",
    "control away: messages both ways a second",
    "messages/s",
    ["nodes"],
    messages,
  );
  rows.add("access node", "control away: bytes both ways a second", "bytes/s", ["nodes"], bytes);
  rows.add("access node", "control away: processor a second", "ms/s", ["nodes"], busy);
}

/** Memory of sessions and runners at a control machine, and the look for a majority that took a change. */
export function measureState(
  rows: Rows,
  sizes: readonly PlaneSize[],
  looked: readonly number[],
): void {
  const held: Point[] = [];
  for (const { nodes, runners } of sizes) {
    function build(): Sessions {
      return sessionsOf(nodes, runners);
    }
    held.push({ at: [nodes, runners], value: heldBy(build) });
  }
  rows.add("control head", "memory of sessions and runners", "bytes", ["nodes", "runners"], held);
  rows.add("control member", "memory of sessions and runners", "bytes", ["nodes", "runners"], held);
  const looks: Point[] = [];
  for (const nodes of looked) {
    const sessions = sessionsOf(nodes, 0);
    const addresses: string[] = [];
    for (const card of sessions.live("access", 0)) addresses.push(card.address);
    const start = spent();
    let count = 0;
    for (const address of addresses) if (sessions.taken(address) >= 0) count += 1;
    looks.push({ at: [nodes * nodes], value: count === nodes ? spent() - start : Number.NaN });
  }
  rows.add(
    "control head",
    "one look whether a majority took a change, processor",
    "ms",
    ["nodes x nodes"],
    looks,
  );
}

function sessionsOf(nodes: number, runners: number): Sessions {
  const sessions = new Sessions();
  for (let number = 0; number < nodes; number += 1) {
    const own: (ReturnType<typeof hollowCard> & { age: number })[] = [];
    for (let place = number; place < runners; place += nodes)
      own.push({ ...hollowCard(`runner-${place}-7f3a91c2`, number), age: 0 });
    const card: NodeCard = {
      identity: `access-${number}-4f1c9a70-0b67-4f0e-9d3c-6c1a1f6e2b15`,
      address: `10.0.${number >> 8}.${number & 255}:7100`,
      kind: "access",
      zone: `zone-${number % 11}`,
      http: `10.0.${number >> 8}.${number & 255}:7200`,
      leaving: false,
      free: true,
      place: 1,
      telling: { runners: own },
    };
    sessions.heard(card, 0, 1_000, 0, 0);
  }
  return sessions;
}
