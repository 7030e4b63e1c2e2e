import { configuration } from "@chutewick/control";
import type { LotEntry } from "@chutewick/data";
import { constants } from "@chutewick/parts";
import { Bus } from "./bus.js";
import type { Rows } from "./rows.js";
import type { Point } from "./slope.js";
import { AccessStation, ControlStation, StorageStation, configurationOf } from "./stations.js";

/** Queues, their owners and dispatchers in virtual time: messages, bytes and processor time of one queue and of one item. */
interface Plant {
  readonly bus: Bus;
  readonly storages: readonly StorageStation[];
  readonly accesses: readonly AccessStation[];
}

const seeds = ["10.9.0.1:7100", "10.9.0.2:7100", "10.9.0.3:7100"];

function plantOf(models: number, nodes = 2): Plant {
  const bus = new Bus();
  const controls: ControlStation[] = [];
  for (const seed of seeds) controls.push(new ControlStation(bus, seed, seeds));
  const storages: StorageStation[] = [];
  for (let number = 1; number <= 3; number += 1)
    storages.push(new StorageStation(bus, `10.8.0.${number}:7100`, seeds, `zone-${number}`));
  const accesses: AccessStation[] = [];
  for (let number = 1; number <= nodes; number += 1)
    accesses.push(new AccessStation(bus, `10.7.0.${number}:7100`, seeds, `zone-${number}`));
  bus.run(2_000);
  function nothing(): void {
    /* Looked at by what follows. */
  }
  controls[0]!.inquire({ kind: "put", expected: 0, value: configurationOf(models, 0) }, nothing);
  function announce(): void {
    for (const access of accesses) {
      for (let number = 1; number <= 8; number += 1) {
        const card = {
          id: `${access.address}/${number}`,
          incarnation: 1,
          url: `http://10.128.0.${number}:8080`,
          kind: "model" as const,
          models: modelsOf(models),
          labels: {},
          pool: "readers",
          seats: 200,
          zone: "zone-1",
          burden: 0,
        };
        access.perform(access.core.announce(`announce/${bus.now}/${number}`, card, bus.now));
      }
    }
    bus.after(constants.announceEvery, announce);
  }
  announce();
  bus.run(12_000);
  return { bus, storages, accesses };
}

function modelsOf(count: number): string[] {
  const found: string[] = [];
  for (let number = 1; number <= count; number += 1) found.push(`model-${number}`);
  return found;
}

/** What idle queues cost, by their number. */
export function measureIdle(rows: Rows, models: readonly number[], seconds: number): void {
  const messages: Point[] = [];
  const owner: Point[] = [];
  const busy: Point[] = [];
  const asked: Point[] = [];
  for (const count of models) {
    const { bus, storages, accesses } = plantOf(count);
    bus.clear();
    bus.run(bus.now + seconds * 1_000);
    messages.push({
      at: [count],
      value: sum(storages, "sent") / seconds + sum(accesses, "sent") / seconds,
    });
    owner.push({ at: [count], value: sum(storages, "busy") / seconds });
    busy.push({ at: [count], value: sum(accesses, "busy") / seconds });
    asked.push({ at: [count], value: sum(accesses, "sent") / seconds });
  }
  rows.add(
    "dispatcher",
    "idle queues: messages of all machines a second",
    "messages/s",
    ["queues"],
    messages,
  );
  rows.add("dispatcher", "idle queues: messages out a second", "messages/s", ["queues"], asked);
  rows.add(
    "dispatcher",
    "idle queues: processor a second, both dispatchers",
    "ms/s",
    ["queues"],
    busy,
  );
  rows.add(
    "storage owner",
    "idle queues: processor a second, owner and copies",
    "ms/s",
    ["queues"],
    owner,
  );
}

/** Every access node draws from every queue of passages; an empty one holds each draw for a while. */
export function measureDraws(rows: Rows, nodes: readonly number[], seconds: number): void {
  const [messages, owner]: [Point[], Point[]] = [[], []];
  for (const count of nodes) {
    const { bus, storages } = plantOf(1, count);
    bus.clear();
    bus.run(bus.now + seconds * 1_000);
    const kinds = ["queue-inquiry", "queue-result", "probe", "probed"];
    let told = 0;
    for (const kind of kinds) told += bus.sizes.get(kind)?.count ?? 0;
    messages.push({ at: [count], value: told / seconds });
    owner.push({ at: [count], value: sum(storages, "busy") / seconds });
  }
  rows.add(
    "dispatcher",
    "idle queue of a passage: messages a second",
    "messages/s",
    ["access nodes"],
    messages,
  );
  rows.add(
    "storage owner",
    "idle queue of a passage: processor a second, owner and copies",
    "ms/s",
    ["access nodes"],
    owner,
  );
}

/** Items of passages: drawn in batches, settled in batches. */
export function measurePassItems(rows: Rows, sizes: readonly ItemSize[], seconds: number): void {
  const found = new Map<string, Point[]>();
  const by = ["items a second", "bytes of bodies a second"];
  for (const size of sizes) {
    const { bus, storages, accesses } = plantOf(1);
    const owner = storages.find(ownsPool);
    if (owner === undefined) throw new Error("the passage's queue has no owner");
    const copies = storages.filter(isOther, owner);
    bus.clear();
    const lot = 20;
    for (let number = 0; number * lot < size.items; number += 1) {
      const entries: LotEntry[] = [];
      for (let place = number * lot; place < Math.min(size.items, (number + 1) * lot); place += 1)
        entries.push({
          id: `item-${place}`,
          path: `/slips/${place}`,
          headers: [],
          body: new Uint8Array(size.body),
          tokens: 800,
          model: "model-1",
        });
      const access = accesses[number % 2]!;
      access.perform(
        access.core.lots.handIn(
          `scale/${number}`,
          { lot: `lot-${number}`, host: "scale.example", path: "/slips/x", entries },
          bus.now,
        ),
      );
    }
    bus.run(bus.now + seconds * 1_000);
    const solved = accesses[0]!.solved + accesses[1]!.solved;
    if (solved < size.items)
      throw new Error(
        `only ${solved} of ${size.items} items were run within the span: ${accesses[0]!.told.join()}`,
      );
    const at = [size.items / seconds, (size.items * size.body) / seconds];
    for (const [role, stations] of [
      ["storage owner", [owner]],
      ["storage replica", copies],
      ["dispatcher", accesses],
    ] as const) {
      const values: [string, number][] = [
        ["messages in and out|messages/s", sum(stations, "sent") + sum(stations, "heard")],
        ["bytes out|bytes/s", sum(stations, "sentBytes")],
        ["bytes in|bytes/s", sum(stations, "heardBytes")],
        ["processor, without the disk|ms/s", sum(stations, "busy")],
      ];
      for (const [name, value] of values) {
        const points = found.get(`${role}|${name}`) ?? [];
        points.push({ at, value: value / stations.length / seconds });
        found.set(`${role}|${name}`, points);
      }
    }
  }
  for (const [name, points] of found) {
    const [role, what, unit] = name.split("|");
    rows.add(role as "dispatcher", `passages: ${what!} of items`, unit!, by, points);
  }
}

function ownsPool(station: StorageStation): boolean {
  const { queues } = station.core.status(station.bus.now) as {
    queues: Record<string, { owner: boolean }>;
  };
  for (const [queue, each] of Object.entries(queues))
    if (each.owner && configuration.isPoolQueue(queue)) return true;
  return false;
}

function sum(
  stations: readonly {
    readonly meter: {
      readonly sent: number;
      readonly sentBytes: number;
      readonly heard: number;
      readonly heardBytes: number;
      readonly busy: number;
    };
  }[],
  what: "sent" | "sentBytes" | "heard" | "heardBytes" | "busy",
): number {
  let total = 0;
  for (const { meter } of stations) total += meter[what];
  return total;
}

export interface ItemSize {
  readonly items: number;
  readonly body: number;
}

/** One queue, lots handed in and worked off within the same span: what each item costs, and each byte of its body. */
export function measureItems(rows: Rows, sizes: readonly ItemSize[], seconds: number): void {
  const found = new Map<string, Point[]>();
  const by = ["items a second", "bytes of bodies a second"];
  function keep(name: string, size: ItemSize, value: number): void {
    const points = found.get(name) ?? [];
    points.push({ at: [size.items / seconds, (size.items * size.body) / seconds], value });
    found.set(name, points);
  }
  for (const size of sizes) {
    const { bus, storages, accesses } = plantOf(1);
    const owner = storages.find(owns);
    if (owner === undefined) throw new Error("the queue has no owner");
    const copies = storages.filter(isOther, owner);
    bus.clear();
    const lot = 20;
    for (let number = 0; number * lot < size.items; number += 1) {
      const items: string[] = [];
      for (let place = number * lot; place < Math.min(size.items, (number + 1) * lot); place += 1)
        items.push(`${place}-`.padEnd(size.body, "x"));
      accesses[number % 2]!.perform(
        accesses[number % 2]!.core.handIn(
          `scale/${number}`,
          "lot-1",
          `lot-${number}`,
          items,
          {},
          bus.now,
        ),
      );
    }
    bus.run(bus.now + seconds * 1_000);
    const solved = accesses[0]!.solved + accesses[1]!.solved;
    if (solved < size.items)
      throw new Error(`only ${solved} of ${size.items} items were run within the span`);
    for (const [role, stations] of [
      ["storage owner", [owner]],
      ["storage replica", copies],
      ["dispatcher", accesses],
    ] as const) {
      keep(
        `${role}|messages in and out|messages/s`,
        size,
        (sum(stations, "sent") + sum(stations, "heard")) / stations.length,
      );
      keep(`${role}|bytes out|bytes/s`, size, sum(stations, "sentBytes") / stations.length);
      keep(`${role}|bytes in|bytes/s`, size, sum(stations, "heardBytes") / stations.length);
      keep(
        `${role}|processor, without the disk|ms/s`,
        size,
        sum(stations, "busy") / stations.length,
      );
    }
  }
  for (const [name, points] of found) {
    const [role, what, unit] = name.split("|");
    rows.add(role as "dispatcher", `${what!} of items`, unit!, by, perSecond(points, seconds));
  }
}

function perSecond(points: readonly Point[], seconds: number): Point[] {
  const found: Point[] = [];
  for (const { at, value } of points) found.push({ at, value: value / seconds });
  return found;
}

function owns(station: StorageStation): boolean {
  const { queues } = station.core.status(station.bus.now) as {
    queues: Record<string, { owner: boolean }>;
  };
  for (const [queue, each] of Object.entries(queues))
    if (each.owner && !configuration.isPoolQueue(queue)) return true;
  return false;
}

function isOther(this: StorageStation, station: StorageStation): boolean {
  return station !== this;
}
