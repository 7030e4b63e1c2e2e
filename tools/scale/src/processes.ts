import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Fleet } from "@chutewick/fleet";
import { Load, type Mix } from "@chutewick/load";
import { StandInRunner } from "@chutewick/runner";
import { Membership, type DataMessage } from "@chutewick/data";
import { constants, type RunnerCard, type Telling } from "@chutewick/parts";
import { Wire } from "@chutewick/shell";
import type { ControlMessage } from "@chutewick/control";
import { measurePassing, PassingRunner, type PassingSizes } from "./passing.js";
import { hollowCard } from "./stations.js";
import { pause, quiet, useOf, type Use } from "./uses.js";
import type { Role, Rows } from "./rows.js";
import type { Point } from "./slope.js";

/** Real processes on loopback, with hollow nodes beside them that share this process (docs/CAPACITY.md). */
/** A hollow node with a wire of its own: its session and leases go over real sockets. */
class WiredNode {
  readonly #wire: Wire;
  readonly #membership: Membership;
  #beating: NodeJS.Timeout | undefined;

  /** Runners that are no hollow ones may announce here as well. */
  constructor(
    number: number,
    net: number,
    seeds: readonly string[],
    runnersEach: number,
    announced: readonly RunnerCard[] = [],
  ) {
    const address = `127.${net}.${50 + (number >> 7)}.${1 + (number & 127)}:7100`;
    const self = this;
    function telling(): Telling {
      const runners: RunnerCard[] = [...announced];
      for (let place = 0; place < runnersEach; place += 1)
        runners.push({
          ...hollowCard(`runner-${number}-${place}-7f3a91c2`, number),
          burden: Math.floor(performance.now() / constants.announceEvery + place) % 16,
          age: Math.floor(performance.now() + place * 37) % constants.announceEvery,
        });
      return { runners, lots: [], turnedAway: [] };
    }
    this.#membership = new Membership(
      {
        identity: `hollow-${number}-4f1c9a70-0b67-4f0e-9d3c-6c1a1f6e2b15`,
        address,
        kind: "access",
        zone: `zone-${number % 11}`,
        http: address.replace(":7100", ":7200"),
      },
      seeds,
      performance.now(),
      telling,
    );
    function receive(message: unknown, from: string): void {
      const told = message as DataMessage;
      const now = performance.now();
      if (told.kind === "fellow-ask" || told.kind === "fellow-tell")
        self.#send(self.#membership.peer(told, from, now));
      else if (self.#membership.receive(told as ControlMessage, from, now))
        self.#send(self.#membership.tell(now));
    }
    this.#wire = new Wire({ address, listen: address, log: quiet, receive });
  }

  async open(): Promise<void> {
    await this.#wire.open();
    const self = this;
    function beat(): void {
      self.#send(self.#membership.beat(performance.now()));
    }
    this.#beating = setInterval(beat, constants.beatEvery);
  }

  #send(sends: readonly { readonly to: string; readonly message: unknown }[]): void {
    for (const { to, message } of sends) this.#wire.send(to, message);
  }

  close(): void {
    clearInterval(this.#beating);
    this.#wire.close();
  }
}

export interface ProcessSizes {
  readonly hollow: readonly number[];
  readonly runnersEach: number;
  readonly runners: readonly number[];
  readonly streams: readonly number[];
  readonly pieces: readonly number[];
  readonly lots: readonly number[];
  readonly passing: PassingSizes;
  readonly seconds: number;
}

const ways = {
  models: {
    reader: {
      adapters: [],
      bucket: { tokens: 2_000, windowSeconds: 1, capacity: 2_000 },
      waiting: 100_000,
    },
  },
  ways: {
    note: { kind: "stream", model: "reader" },
    manifest: { kind: "stream", model: "reader" },
    label: { kind: "fetch" },
    slips: { kind: "lot", model: "reader" },
  },
  pools: { readers: { models: ["reader"] } },
  passages: {
    note: {
      host: "scale.example",
      prefix: "/note/",
      kind: "stream",
      pools: [{ pool: "readers", weight: 1 }],
      goesMost: 2,
      guard: 60_000,
    },
  },
};

/** 3 control, 3 storage and 1 access process; then hollow nodes, runners, streams and lots, three sizes of each. */
export async function measureProcesses(
  rows: Rows,
  sizes: ProcessSizes,
  note: (text: string) => void,
): Promise<void> {
  const folder = mkdtempSync(join(tmpdir(), "chutewick-scale-"));
  const net = 77;
  const fleet = new Fleet({
    folder,
    access: 1,
    storage: 3,
    modelRunners: Math.min(...sizes.runners),
    plainRunners: 1,
    models: ["reader"],
    behaviour: { firstMs: 20, pieceMs: 2, pieces: 8, wholeMs: 10 },
    seats: 400,
    net,
  });
  const hollow: WiredNode[] = [];
  const more: StandInRunner[] = [];
  const passing: PassingRunner[] = [];
  try {
    await fleet.start();
    await fleet.startRunners();
    await fleet.ready();
    await fleet.control("PUT", "/configuration", ways, 0);
    await pause(6_000);
    const access = fleet.http("access");
    await new Load({ access, mix: mixOf(20, 1), seconds: 3, live: 1, lots: 1, seed: 1 }).run();

    note("real processes: runners that announce");
    const announced = new Map<string, Point[]>();
    for (const count of sizes.runners) {
      while (fleet.runners.length + more.length < count) {
        const number = fleet.runners.length + more.length + 1;
        const runner = new StandInRunner({
          id: `model-${number}`,
          address: `127.${net}.5.${number}:7300`,
          kind: "model",
          models: ["reader"],
          seats: 400,
          zone: "a",
          access,
          behaviour: { firstMs: 20, pieceMs: 2, pieces: 8, wholeMs: 10 },
        });
        await runner.start();
        more.push(runner);
      }
      await pause(1_500);
      const told = await span(fleet, sizes.seconds);
      keep(
        announced,
        "runner link|announcing, processor of the access node a second|ms/s",
        [count],
        told.get("access-1")!.processor,
      );
    }
    add(rows, announced, ["runners"]);

    note("real processes: streams");
    const streams = new Map<string, Point[]>();
    const memory: Point[] = [];
    for (const perSecond of sizes.streams) await stream(perSecond, sizes.pieces[0]!);
    for (const pieces of sizes.pieces.slice(1)) await stream(sizes.streams[1]!, pieces);
    async function stream(perSecond: number, pieces: number): Promise<void> {
      for (const runner of [...fleet.runners, ...more])
        runner.behaviour = { ...runner.behaviour, pieces, pieceMs };
      const load = new Load({
        access,
        mix: mixOf(perSecond, 0),
        seconds: sizes.seconds,
        live: 1,
        lots: 0,
        seed: pieces + perSecond,
      });
      const from = usesOf(fleet);
      const start = performance.now();
      await load.run();
      const seconds = (performance.now() - start) / 1_000;
      const told = since(fleet, from, seconds);
      const done = load.told.filter(isDone).length;
      keep(
        streams,
        "access node|live streams, processor a second|ms/s",
        [done / seconds, (done * pieces) / seconds],
        told.get("access-1")!.processor,
      );
      /** By those that stand open at once while it lasts. */
      memory.push({
        at: [(perSecond * pieces * pieceMs) / 1_000],
        value: told.get("access-1")!.memory,
      });
    }
    add(rows, streams, ["streams a second", "pieces a second"]);
    rows.add("access node", "live streams, memory", "bytes", ["streams open at once"], memory);

    note("real processes: lots");
    const lots = new Map<string, Point[]>();
    for (const runner of [...fleet.runners, ...more])
      runner.behaviour = { ...runner.behaviour, pieces: 4, pieceMs: 2 };
    for (const perSecond of sizes.lots) {
      const load = new Load({
        access,
        mix: mixOf(0, perSecond),
        seconds: sizes.seconds,
        live: 1,
        lots: 1,
        seed: perSecond + 7,
      });
      const from = usesOf(fleet);
      const start = performance.now();
      await load.run();
      const seconds = (performance.now() - start) / 1_000;
      const told = since(fleet, from, seconds);
      const items = (load.lots.filter(wasDone).length * lotItems) / seconds;
      const owner = await ownerOf(fleet);
      const copies = ["storage-1", "storage-2", "storage-3"].filter(isNot, { name: owner });
      keep(
        lots,
        "storage owner|lots, processor a second|ms/s",
        [items],
        told.get(owner)!.processor,
      );
      keep(
        lots,
        "storage replica|lots, processor a second|ms/s",
        [items],
        (told.get(copies[0]!)!.processor + told.get(copies[1]!)!.processor) / 2,
      );
      keep(
        lots,
        "storage replica|lots, bytes to the disk a second|bytes/s",
        [items],
        told.get(copies[0]!)!.written,
      );
      keep(lots, "storage owner|process, memory|bytes", [items], told.get(owner)!.memory);
      keep(lots, "storage replica|process, memory|bytes", [items], told.get(copies[0]!)!.memory);
      keep(
        lots,
        "dispatcher|lots, processor a second|ms/s",
        [items],
        told.get("access-1")!.processor,
      );
    }
    add(rows, lots, ["items a second"]);

    note("real processes: streams on passages");
    const seeds: string[] = [];
    for (const machine of fleet.machines.values())
      if (machine.kind === "control") seeds.push(machine.wire);
    const cards: RunnerCard[] = [];
    for (let number = 1; number <= 8; number += 1) {
      const runner = new PassingRunner(number, net);
      await runner.open();
      passing.push(runner);
      cards.push(runner.card);
    }
    const first = new WiredNode(0, net, seeds, sizes.runnersEach, cards);
    await first.open();
    hollow.push(first);
    await measurePassing(rows, sizes.passing, net, seeds, passing);

    note("real processes: hollow nodes");
    const nodes = new Map<string, Point[]>();
    for (const runner of [...fleet.runners, ...more]) runner.crash();
    for (const count of sizes.hollow) {
      while (hollow.length < count) {
        const node = new WiredNode(hollow.length, net, seeds, sizes.runnersEach);
        await node.open();
        hollow.push(node);
      }
      await pause(4_000);
      const head = await headOf(fleet);
      const other = ["control-1", "control-2", "control-3"].filter(isNot, { name: head });
      const told = await span(fleet, sizes.seconds);
      const at = [count, count * (count + count * sizes.runnersEach)];
      keep(
        nodes,
        "control head|sessions over sockets, processor a second|ms/s",
        at,
        told.get(head)!.processor,
      );
      keep(
        nodes,
        "control member|sessions over sockets, processor a second|ms/s",
        at,
        (told.get(other[0]!)!.processor + told.get(other[1]!)!.processor) / 2,
      );
      keep(nodes, "control head|process, memory|bytes", at, told.get(head)!.memory);
      keep(nodes, "control member|process, memory|bytes", at, told.get(other[0]!)!.memory);
    }
    for (const [name, points] of nodes) {
      const [role, what, unit] = name.split("|");
      /** Nodes and runners grow together here, so one variable is taken. */
      const one: Point[] = [];
      for (const { at, value } of points) one.push({ at: [at[1]!], value });
      rows.add(role as Role, what!, unit!, ["nodes x (nodes + runners)"], one);
    }
  } finally {
    for (const node of hollow) node.close();
    for (const runner of more) runner.crash();
    for (const runner of passing) runner.close();
    await fleet.stop();
    rmSync(folder, { recursive: true, force: true });
  }
}

const lotItems = 20;
/** ms between two pieces, as the size to design for has it. */
const pieceMs = 38;

function mixOf(streams: number, lots: number): Mix {
  return {
    stream: { way: "note", perSecond: streams },
    read: { way: "manifest", perSecond: 0 },
    fetch: { way: "label", perSecond: 0 },
    lot: { way: "slips", perSecond: lots, items: lotItems },
  };
}

function keep(
  found: Map<string, Point[]>,
  name: string,
  at: readonly number[],
  value: number,
): void {
  const points = found.get(name) ?? [];
  points.push({ at, value });
  found.set(name, points);
}

function add(
  rows: Rows,
  found: ReadonlyMap<string, readonly Point[]>,
  by: readonly string[],
): void {
  for (const [name, points] of found) {
    const [role, what, unit] = name.split("|");
    rows.add(role as Role, what!, unit!, by, points);
  }
}

function usesOf(fleet: Fleet): Map<string, Use> {
  const found = new Map<string, Use>();
  for (const machine of fleet.machines.values())
    found.set(machine.name, useOf(machine.child!.pid!));
  return found;
}

function since(fleet: Fleet, from: ReadonlyMap<string, Use>, seconds: number): Map<string, Use> {
  const found = new Map<string, Use>();
  for (const [name, use] of usesOf(fleet))
    found.set(name, {
      processor: (use.processor - from.get(name)!.processor) / seconds,
      memory: use.memory,
      written: (use.written - from.get(name)!.written) / seconds,
    });
  return found;
}

async function span(fleet: Fleet, seconds: number): Promise<Map<string, Use>> {
  const from = usesOf(fleet);
  await pause(seconds * 1_000);
  return since(fleet, from, seconds);
}

async function headOf(fleet: Fleet): Promise<string> {
  for (const name of ["control-1", "control-2", "control-3"])
    if ((await fleet.status(name))?.["head"] === true) return name;
  throw new Error("no control process is the head");
}

async function ownerOf(fleet: Fleet): Promise<string> {
  for (const name of ["storage-1", "storage-2", "storage-3"]) {
    const queues = (await fleet.status(name))?.["queues"] as
      Record<string, { owner: boolean }> | undefined;
    if (queues?.["reader"]?.owner === true) return name;
  }
  throw new Error("no storage process owns the queue");
}

function isNot(this: { name: string }, name: string): boolean {
  return name !== this.name;
}

function isDone(told: { told: string }): boolean {
  return told.told === "done";
}

function wasDone(lot: { doneAt: number | undefined }): boolean {
  return lot.doneAt !== undefined;
}
