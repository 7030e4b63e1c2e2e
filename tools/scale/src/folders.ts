import { mkdtempSync, readFileSync, rmSync, statfsSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import {
  Chain,
  QueueMachine,
  type ChainCommand,
  type ChainView,
  type Member,
  type QueueCommand,
  type QueueResult,
} from "@chutewick/parts";
import { Disk } from "@chutewick/shell";
import { Packr } from "msgpackr";
import { heldBy } from "./heap.js";
import type { Rows } from "./rows.js";
import type { Point } from "./slope.js";
import { spent } from "./uses.js";

/** Three real chains over three real folders on a real disk, and the queue's machine by itself (docs/CAPACITY.md). */
interface Copy {
  readonly chain: Chain;
  readonly disk: Disk;
  readonly member: Member;
  sent: number;
  sentBytes: number;
  busy: number;
}

const limits = { tokens: 1_000_000, windowSeconds: 1, capacity: 1_000_000 };

function unexpected(what: string): void {
  throw new Error(`the disk is ${what}`);
}

const listener = { changed: unexpected, waiting: unexpected };

class Copies {
  readonly copies: Copy[] = [];
  entries = 0;
  #waiting = new Map<string, (value: QueueResult) => void>();
  #packer = new Packr({ useRecords: false });
  #number = 0;

  async open(folder: string): Promise<void> {
    const members: Member[] = [];
    for (let number = 1; number <= 3; number += 1)
      members.push({ identity: `copy-${number}`, address: `copy-${number}` });
    const view: ChainView = { mark: 1, members };
    for (const member of members) {
      const disk = await Disk.open(
        join(folder, member.identity),
        { kind: "storage", name: member.identity },
        listener,
      );
      if (!disk.ok) throw new Error(disk.reason);
      this.copies.push({
        chain: new Chain("scale", member, new QueueMachine(), performance.now()),
        disk: disk.value,
        member,
        sent: 0,
        sentBytes: 0,
        busy: 0,
      });
    }
    for (const copy of this.copies) this.#perform(copy, copy.chain.adopt(view, performance.now()));
    for (const copy of this.copies) while (copy.disk.syncs === 0) await turn();
    await this.inquire({ kind: "limit", limits, share: 1_000_000, mark: 1 });
  }

  inquire(command: QueueCommand): Promise<QueueResult> {
    const self = this;
    function begin(resolve: (value: QueueResult) => void): void {
      self.#number += 1;
      const ticket = String(self.#number);
      self.#waiting.set(ticket, resolve);
      const owner = self.copies[0]!;
      self.#timed(owner, owner.chain.inquire.bind(owner.chain, ticket, command, performance.now()));
    }
    return new Promise<QueueResult>(begin);
  }

  #timed(copy: Copy, act: () => ChainCommand[]): void {
    const start = performance.now();
    this.#perform(copy, act());
    copy.busy += performance.now() - start;
  }

  #perform(copy: Copy, commands: readonly ChainCommand[]): void {
    const self = this;
    for (const command of commands) {
      if (command.kind === "write") {
        const { ticket } = command;
        function written(): void {
          self.#timed(copy, copy.chain.written.bind(copy.chain, ticket, performance.now()));
        }
        this.entries += copy === this.copies[0] ? command.write.entries.length : 0;
        copy.disk.writeChain("scale", command.write, written);
      } else if (command.kind === "send") {
        const bytes = Buffer.from(this.#packer.pack(command.message));
        copy.sent += 1;
        copy.sentBytes += bytes.length + 4;
        const to = this.copies.find(hasAddress, { address: command.to })!;
        function deliver(): void {
          const start = performance.now();
          const message = self.#packer.unpack(bytes) as Parameters<Chain["receive"]>[0];
          to.busy += performance.now() - start;
          self.#timed(
            to,
            to.chain.receive.bind(to.chain, message, copy.member.address, performance.now()),
          );
        }
        setImmediate(deliver);
      } else if (command.kind === "result" && command.result.kind === "confirmed") {
        const told = this.#waiting.get(command.ticket);
        this.#waiting.delete(command.ticket);
        told?.(command.result.value as QueueResult);
      }
    }
  }

  async close(): Promise<void> {
    for (const { disk } of this.copies) await disk.close();
  }
}

function hasAddress(this: { address: string }, copy: Copy): boolean {
  return copy.member.address === this.address;
}

function turn(): Promise<void> {
  function begin(resolve: () => void): void {
    setImmediate(resolve);
  }
  return new Promise<void>(begin);
}

/** Bytes that this process caused to be written to storage. */
function writtenToDisk(): number {
  const found = /^write_bytes: (\d+)$/m.exec(readFileSync("/proc/self/io", "utf8"));
  return found === null ? Number.NaN : Number(found[1]);
}

interface Entered {
  readonly items: number;
  readonly entries: number;
  readonly seconds: number;
  /** ms of the processor of this process, its threads that write to the disk included. */
  readonly processor: number;
  readonly owner: { readonly busy: number; readonly sent: number; readonly sentBytes: number };
  readonly replica: { readonly busy: number; readonly sent: number; readonly sentBytes: number };
  readonly diskBytes: number;
  readonly syncs: number;
}

function bodyOf(bytes: number, number: number): string {
  return `${number}-`.padEnd(bytes, "x");
}

/** Closed loop: so many dispatchers pop and record, and hand in a lot of 50 whenever nothing waits. */
async function entered(width: number, body: number, seconds: number): Promise<Entered> {
  const folder = mkdtempSync(join(tmpdir(), "chutewick-scale-"));
  const copies = new Copies();
  try {
    await copies.open(folder);
    let lots = 0;
    let items = 0;
    let filling: Promise<unknown> | undefined;
    const lot = 50;
    async function fill(): Promise<void> {
      lots += 1;
      const prompts: string[] = [];
      for (let place = 0; place < lot; place += 1) prompts.push(bodyOf(body, place));
      await copies.inquire({
        kind: "admit",
        lot: `scale~${lots}`,
        way: "lot",
        body: `body-${lots}`,
        prompts,
        labels: {},
        lasts: 600_000,
        allowance: 1_000_000,
      });
      filling = undefined;
    }
    await fill();
    const before = {
      entries: copies.entries,
      processor: process.cpuUsage(),
      written: writtenToDisk(),
      syncs: copies.copies[0]!.disk.syncs,
    };
    const start = performance.now();
    const until = start + seconds * 1_000;
    const [owner, replica] = [{ ...copies.copies[0]! }, { ...copies.copies[1]! }];
    async function work(holder: number): Promise<void> {
      while (performance.now() < until) {
        const taken = await copies.inquire({ kind: "pop", holder: `dispatcher-${holder}` });
        if (taken.kind !== "TAKEN") {
          filling ??= fill();
          await filling;
          continue;
        }
        await copies.inquire({
          kind: "record",
          lot: taken.lot,
          index: taken.index,
          go: taken.go,
          ending: {
            kind: "solved",
            result: "a result of an item, some twelve words of it, as a runner tells it",
          },
        });
        items += 1;
      }
    }
    const workers: Promise<void>[] = [];
    for (let holder = 0; holder < width; holder += 1) workers.push(work(holder));
    await Promise.all(workers);
    const took = (performance.now() - start) / 1_000;
    const used = process.cpuUsage(before.processor);
    function since(
      copy: Copy,
      from: { busy: number; sent: number; sentBytes: number },
    ): Entered["owner"] {
      return {
        busy: copy.busy - from.busy,
        sent: copy.sent - from.sent,
        sentBytes: copy.sentBytes - from.sentBytes,
      };
    }
    return {
      items,
      entries: copies.entries - before.entries,
      seconds: took,
      processor: (used.user + used.system) / 1_000,
      owner: since(copies.copies[0]!, owner),
      replica: since(copies.copies[1]!, replica),
      diskBytes: writtenToDisk() - before.written,
      syncs: copies.copies[0]!.disk.syncs - before.syncs,
    };
  } finally {
    await copies.close();
    rmSync(folder, { recursive: true, force: true });
  }
}

/** Entries a second by those under way at once, then bytes and processor time by the size of a body. */
export async function measureFolders(
  rows: Rows,
  widths: readonly number[],
  bodies: readonly number[],
  seconds: number,
): Promise<void> {
  const rate: Point[] = [];
  const syncs: Point[] = [];
  const perEntry: Point[] = [];
  for (const width of widths) {
    const told = await entered(width, 3_300, seconds);
    rate.push({ at: [width], value: told.entries / told.seconds });
    syncs.push({ at: [width], value: (told.seconds * 1_000) / told.syncs });
    perEntry.push({ at: [width], value: told.processor / told.entries / 3 });
  }
  rows.add(
    "storage owner",
    "entries a second of one queue, three folders on one disk",
    "entries/s",
    ["under way at once"],
    rate,
  );
  rows.add(
    "storage owner",
    "one synced batch of the owner's folder",
    "ms",
    ["under way at once"],
    syncs,
  );
  rows.add(
    "storage owner",
    "one entry at one copy, processor with the disk's threads",
    "ms",
    ["under way at once"],
    perEntry,
  );
  const bytes: Point[] = [];
  const passed: Point[] = [];
  const written: Point[] = [];
  const [ownerBusy, replicaBusy, messages]: [Point[], Point[], Point[]] = [[], [], []];
  for (const body of bodies) {
    const told = await entered(32, body, seconds);
    bytes.push({ at: [body], value: told.owner.sentBytes / told.items });
    passed.push({ at: [body], value: told.replica.sentBytes / told.items });
    written.push({ at: [body], value: told.diskBytes / told.items / 3 });
    ownerBusy.push({ at: [body], value: told.owner.busy / told.items });
    replicaBusy.push({ at: [body], value: told.replica.busy / told.items });
    messages.push({ at: [body], value: told.replica.sent / told.items });
  }
  rows.add(
    "storage owner",
    "bytes to the next copy for one item",
    "bytes",
    ["bytes of a body"],
    bytes,
  );
  rows.add(
    "storage owner",
    "one item, processor of the chain without the disk's threads",
    "ms",
    ["bytes of a body"],
    ownerBusy,
  );
  rows.add("storage replica", "bytes passed on for one item", "bytes", ["bytes of a body"], passed);
  rows.add(
    "storage replica",
    "bytes written to the disk for one item",
    "bytes",
    ["bytes of a body"],
    written,
  );
  rows.add(
    "storage replica",
    "one item, processor of the chain without the disk's threads",
    "ms",
    ["bytes of a body"],
    replicaBusy,
  );
  rows.add(
    "storage replica",
    "messages out for one item",
    "messages",
    ["bytes of a body"],
    messages,
  );
}

/** A lot in one entry: how long the owner's loop stands still, and how large the entry is on the wire. */
export async function measureLots(
  rows: Rows,
  lots: readonly number[],
  body: number,
): Promise<void> {
  const stands: Point[] = [];
  const sizes: Point[] = [];
  const told: Point[] = [];
  for (const items of lots) {
    const folder = mkdtempSync(join(tmpdir(), "chutewick-scale-"));
    const copies = new Copies();
    try {
      await copies.open(folder);
      const prompts: string[] = [];
      for (let place = 0; place < items; place += 1) prompts.push(bodyOf(body, place));
      const [owner] = copies.copies;
      const before = { busy: owner!.busy, bytes: owner!.sentBytes };
      const start = performance.now();
      await copies.inquire({
        kind: "admit",
        lot: "scale~1",
        way: "lot",
        body: "body",
        prompts,
        labels: {},
        lasts: 600_000,
        allowance: 1_000_000,
      });
      told.push({ at: [items], value: performance.now() - start });
      stands.push({ at: [items], value: owner!.busy - before.busy });
      sizes.push({ at: [items], value: owner!.sentBytes - before.bytes });
    } finally {
      await copies.close();
      rmSync(folder, { recursive: true, force: true });
    }
  }
  rows.add(
    "storage owner",
    `a lot in one entry, ${body} bytes a body: the loop stands still`,
    "ms",
    ["items of the lot"],
    stands,
  );
  rows.add(
    "storage owner",
    `a lot in one entry, ${body} bytes a body: on the wire`,
    "bytes",
    ["items of the lot"],
    sizes,
  );
  rows.add(
    "storage owner",
    `a lot in one entry, ${body} bytes a body: until told`,
    "ms",
    ["items of the lot"],
    told,
  );
}

/** The queue's machine alone: memory of what waits, and one step by how much waits. */
export function measureWaiting(rows: Rows, waiting: readonly number[], body: number): void {
  const held: Point[] = [];
  const steps: Point[] = [];
  const bodies: Point[] = [];
  for (const items of waiting) {
    let chain: Chain | undefined;
    function build(): Chain {
      chain = filled(items, body);
      return chain;
    }
    held.push({ at: [items], value: heldBy(build) });
    const { machine, ledger } = chain!;
    const count = Math.min(200, items);
    const start = spent();
    for (let number = 0; number < count; number += 1) {
      machine.apply(ledger, { kind: "pop", holder: "scale" } satisfies QueueCommand, 1);
      ledger.takeChanges();
    }
    steps.push({ at: [items], value: (spent() - start) / count });
  }
  for (const size of [100, body / 2, body]) {
    function build(): Chain {
      return filled(Math.min(...waiting), size);
    }
    bodies.push({ at: [size], value: heldBy(build) / Math.min(...waiting) });
  }
  for (const role of ["storage owner", "storage replica"] as const) {
    rows.add(role, `memory of waiting items, ${body} bytes a body`, "bytes", ["items"], held);
    rows.add(role, "memory of one waiting item", "bytes", ["bytes of a body"], bodies);
  }
  rows.add("storage owner", "one step of the queue, processor", "ms", ["items that wait"], steps);
}

function filled(items: number, body: number): Chain {
  const chain = new Chain("scale", { identity: "one", address: "one" }, new QueueMachine(), 0);
  chain.machine.apply(
    chain.ledger,
    { kind: "limit", limits, share: 10_000_000, mark: 1 } satisfies QueueCommand,
    0,
  );
  const lot = 1_000;
  for (let number = 0; number * lot < items; number += 1) {
    const prompts: string[] = [];
    /** Each body is a text of its own, as it is when it came over the wire. */
    for (let place = number * lot; place < Math.min(items, (number + 1) * lot); place += 1)
      prompts.push(Buffer.from(bodyOf(body, place)).toString("latin1"));
    chain.machine.apply(
      chain.ledger,
      {
        kind: "admit",
        lot: `scale~${number}`,
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

/** Whether the folder for the run lies on a disk at all. */
export function hasDisk(): boolean {
  /** tmpfs. */
  const memory = 0x01021994;
  return statfsSync(tmpdir()).type !== memory;
}
