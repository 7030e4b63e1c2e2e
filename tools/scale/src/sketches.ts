import { Packr } from "msgpackr";
import { QueueMachine, Chain, type QueueCommand } from "@chutewick/parts";
import { heldBy } from "./heap.js";
import type { Rows } from "./rows.js";
import type { Point } from "./slope.js";
import { configurationOf, hollowCard } from "./stations.js";
import { spent } from "./uses.js";

/** Messages and records of the mechanisms that docs/CAPACITY.md proposes, in the wire's own encoding, at full size: none of them is built. */
const packer = new Packr({ useRecords: false });
const frameHead = 4;

function sizeOf(message: unknown): number {
  return packer.pack(message).length + frameHead;
}

/** ms of one act, the mean of many. */
function timeOf(act: () => void, times = 200): number {
  for (let number = 0; number < times; number += 1) act();
  const start = spent();
  for (let number = 0; number < times; number += 1) act();
  return (spent() - start) / times;
}

/** One message of a relay to all nodes of its cell: place in the registry, then a runner's slot, load and age by turns. */
export function loadsOf(
  runners: number,
  place: number,
): { kind: "burdens"; place: number; rows: readonly number[] } {
  const rows: number[] = [];
  for (let slot = 0; slot < runners; slot += 1)
    rows.push(slot, (slot * 37 + place) % 200, slot % 12);
  return { kind: "burdens", place, rows };
}

export function measureSketches(rows: Rows, tiny: boolean): void {
  const cells = tiny ? [18, 36, 72] : [180, 360, 720, 3_600];
  const [bytes, reading, packing, cards]: [Point[], Point[], Point[], Point[]] = [[], [], [], []];
  for (const runners of cells) {
    const message = loadsOf(runners, 123_456);
    const packed = Buffer.from(packer.pack(message));
    const held = new Map<number, { burden: number; age: number }>();
    function read(): void {
      const told = packer.unpack(packed) as { rows: number[] };
      for (let at = 0; at < told.rows.length; at += 3) {
        const known = held.get(told.rows[at]!);
        if (known === undefined)
          held.set(told.rows[at]!, { burden: told.rows[at + 1]!, age: told.rows[at + 2]! });
        else {
          known.burden = told.rows[at + 1]!;
          known.age = told.rows[at + 2]!;
        }
      }
    }
    function pack(): void {
      packer.pack(message);
    }
    bytes.push({ at: [runners], value: sizeOf(message) });
    reading.push({ at: [runners], value: timeOf(read) });
    packing.push({ at: [runners], value: timeOf(pack) });
    function build(): unknown {
      const known: unknown[] = [];
      for (let slot = 0; slot < runners; slot += 1)
        known.push(
          packer.unpack(packer.pack({ ...hollowCard(`runner-${slot}-7f3a91c2`, slot), age: 0 })),
        );
      return known;
    }
    cards.push({ at: [runners], value: heldBy(build) });
  }
  rows.add("access node", "sketch: burdens of a cell in one message", "bytes", ["runners"], bytes);
  rows.add("access node", "sketch: burdens of a cell read, processor", "ms", ["runners"], reading);
  rows.add(
    "control member",
    "sketch: burdens of a cell packed once, processor",
    "ms",
    ["runners"],
    packing,
  );
  rows.add("access node", "sketch: memory of the cards of a cell", "bytes", ["runners"], cards);

  const [session, lease, sums]: [Point[], Point[], Point[]] = [[], [], []];
  for (const changed of tiny ? [0, 8, 16] : [0, 64, 128, 256]) {
    const counts: number[] = [];
    for (let slot = 0; slot < changed; slot += 1) counts.push(slot * 5, slot % 8);
    session.push({
      at: [changed],
      value: sizeOf({
        kind: "session",
        identity: "access-zone-3-217-4f1c9a70-0b67-4f0e-9d3c-6c1a1f6e2b15",
        life: 3,
        place: 123_456,
        roll: 654_321,
        askedAt: 12_345_678.9,
        free: true,
        leaving: false,
        back: { at: 1_234_567.8, held: 12.3 },
        counts,
      }),
    });
  }
  for (const members of [3, 5, 7]) {
    const addresses: string[] = [];
    for (let number = 1; number <= members; number += 1) addresses.push(`10.9.0.${number}:7100`);
    lease.push({
      at: [members],
      value: sizeOf({
        kind: "lease",
        identity: "control-3-4f1c9a70-0b67-4f0e-9d3c-6c1a1f6e2b15",
        mark: 12,
        askedAt: 12_345_678.9,
        place: 123_456,
        roll: 654_321,
        stamp: { at: 1_234_567.8 },
        controls: addresses,
      }),
    });
  }
  for (const others of tiny ? [2, 4, 8] : [29, 58, 116]) {
    const told: number[] = [];
    for (let pool = 0; pool < others; pool += 1) told.push(pool, 4_000, (pool * 97) % 4_000);
    sums.push({ at: [others], value: sizeOf({ kind: "sums", place: 123_456, rows: told }) });
  }
  rows.add(
    "access node",
    "sketch: one session with counts that changed",
    "bytes",
    ["runners whose count changed"],
    session,
  );
  rows.add("access node", "sketch: one lease without a roll", "bytes", ["control machines"], lease);
  rows.add(
    "access node",
    "sketch: sums of other regions in one message",
    "bytes",
    ["models x other regions"],
    sums,
  );

  const [changes, memory, deregistrations]: [Point[], Point[], Point[]] = [[], [], []];
  const way = { kind: "stream", model: "model-7", labels: { tenant: "tenant-4711" }, runners: {} };
  for (const count of [1, 2, 4]) {
    const found: unknown[] = [];
    const closed: unknown[] = [];
    for (let number = 0; number < count; number += 1) {
      found.push([`way/way-${number + 4_711}`, { mark: 5_311, value: way }]);
      closed.push([
        `goodbye/runner-${number}-7f3a91c2`,
        { runner: `runner-${number}-7f3a91c2`, incarnation: 1_800_000_000_000, at: 123_456_789.1 },
      ]);
    }
    changes.push({
      at: [count],
      value: sizeOf({ kind: "feed", entries: [{ place: 123_456, changes: found }] }),
    });
    deregistrations.push({
      at: [count],
      value: sizeOf({ kind: "feed", entries: [{ place: 123_456, changes: closed }] }),
    });
  }
  for (const count of tiny ? [20, 40, 80] : [2_000, 8_000, 17_200]) {
    function build(): unknown {
      return packer.unpack(packer.pack(configurationOf(29, count)));
    }
    memory.push({ at: [count], value: heldBy(build) });
  }
  rows.add("access node", "sketch: one change by difference", "bytes", ["ways changed"], changes);
  rows.add("runner link", "sketch: goodbyes in the feed", "bytes", ["goodbyes"], deregistrations);
  rows.add("access node", "sketch: memory of the configuration", "bytes", ["ways"], memory);

  const [held, taken, recorded]: [Point[], Point[], Point[]] = [[], [], []];
  for (const items of tiny ? [500, 1_000, 2_000] : [4_000, 16_000, 64_000]) {
    function build(): unknown {
      return beside(items);
    }
    held.push({ at: [items], value: heldBy(build) });
  }
  for (const count of [1, 8, 32]) {
    const prompts: unknown[] = [];
    const endings: unknown[] = [];
    for (let number = 0; number < count; number += 1) {
      prompts.push({ index: number, go: 1, prompt: new Uint8Array(3_300) });
      endings.push({
        index: number,
        go: 1,
        ending: {
          kind: "solved",
          result: "a result of an item, some twelve words of it, as a runner tells it",
        },
      });
    }
    taken.push({
      at: [count],
      value: sizeOf({
        kind: "queue-result",
        ticket: "access-217/123456",
        outcome: {
          kind: "confirmed",
          value: { kind: "TAKEN", lot: "model-7~1234567890123456789012", prompts },
        },
      }),
    });
    recorded.push({
      at: [count],
      value: sizeOf({
        kind: "queue-inquiry",
        ticket: "access-217/123457",
        queue: "model-7/3",
        command: { kind: "record", lot: "model-7~1234567890123456789012", endings },
      }),
    });
  }
  rows.add(
    "storage owner",
    "sketch: memory of waiting items whose bodies lie beside the ledger",
    "bytes",
    ["items"],
    held,
  );
  rows.add(
    "dispatcher",
    "sketch: bytes in for so many prompts in one step",
    "bytes",
    ["items"],
    taken,
  );
  rows.add(
    "dispatcher",
    "sketch: bytes out for so many results in one entry",
    "bytes",
    ["items"],
    recorded,
  );
}

/** What a ledger holds of items when it keeps a place in a file in the body's stead. */
function beside(items: number): Chain {
  const chain = new Chain("sketch", { identity: "one", address: "one" }, new QueueMachine(), 0);
  const limits = { tokens: 1_000_000, windowSeconds: 1, capacity: 1_000_000 };
  chain.machine.apply(
    chain.ledger,
    { kind: "limit", limits, share: 10_000_000, mark: 1 } satisfies QueueCommand,
    0,
  );
  const lot = 500;
  for (let number = 0; number * lot < items; number += 1) {
    const prompts: unknown[] = [];
    for (let place = 0; place < lot; place += 1)
      prompts.push({ segment: number, offset: place * 3_300, length: 3_300 });
    chain.machine.apply(
      chain.ledger,
      {
        kind: "admit",
        lot: `sketch~${number}`,
        way: "lot",
        body: "body",
        prompts,
        labels: {},
        lasts: 600_000,
        allowance: 10_000_000,
      } satisfies QueueCommand,
      0,
    );
  }
  chain.ledger.takeChanges();
  return chain;
}
