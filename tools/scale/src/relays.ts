import { spawn } from "node:child_process";
import { fileURLToPath } from "node:url";
import { Wire } from "@chutewick/shell";
import type { Rows } from "./rows.js";
import type { Point } from "./slope.js";
import { pause, quiet, useOf } from "./uses.js";

/** One proposed relay as a process with as many hollow nodes as it is to have, over real sockets: messages alone. */
export async function measureRelay(
  rows: Rows,
  nodes: readonly number[],
  runners: number,
  sums: number,
  changed: number,
  seconds: number,
): Promise<void> {
  const relay = "127.78.1.1:7100";
  const child = spawn(
    process.execPath,
    [
      fileURLToPath(new URL("./relay-node.js", import.meta.url)),
      relay,
      String(runners),
      String(sums),
    ],
    { stdio: ["ignore", "ignore", "inherit"] },
  );
  const held: HollowPeer[] = [];
  let warmed = 0;
  const [busy, memory, node]: [Point[], Point[], Point[]] = [[], [], []];
  try {
    await pause(1_000);
    /** Warm at the first size before it counts. */
    for (const count of [nodes[0]!, ...nodes]) {
      while (held.length < count) {
        const peer = new HollowPeer(held.length, relay, changed);
        await peer.open();
        held.push(peer);
      }
      await pause(3_000);
      for (const peer of held) peer.heard = 0;
      const from = { ...useOf(child.pid!), own: process.cpuUsage(), at: performance.now() };
      await pause(seconds * 1_000);
      const took = (performance.now() - from.at) / 1_000;
      const use = useOf(child.pid!);
      const own = process.cpuUsage(from.own);
      let heard = 0;
      for (const peer of held) heard += peer.heard;
      if (heard < (count * took) / 2)
        throw new Error(`the relay told ${heard} messages to ${count} nodes in ${took} s`);
      warmed += 1;
      if (warmed === 1) continue;
      busy.push({ at: [count], value: (use.processor - from.processor) / took });
      memory.push({ at: [count], value: use.memory });
      node.push({ at: [count], value: (own.user + own.system) / 1_000 / took });
    }
    rows.add(
      "control member",
      "sketch over sockets: a relay, processor a second",
      "ms/s",
      ["nodes of the relay"],
      busy,
    );
    rows.add(
      "control member",
      "sketch over sockets: a relay, memory",
      "bytes",
      ["nodes of the relay"],
      memory,
    );
    rows.add(
      "access node",
      "sketch over sockets: nodes of one relay in one process, processor a second",
      "ms/s",
      ["nodes of the relay"],
      node,
    );
  } finally {
    for (const peer of held) peer.close();
    child.kill("SIGKILL");
  }
}

class HollowPeer {
  heard = 0;
  #wire: Wire;
  #relay: string;
  #counts: number[] = [];
  #known = new Map<number, { burden: number; age: number }>();
  #telling: NodeJS.Timeout | undefined;

  constructor(number: number, relay: string, changed: number) {
    this.#relay = relay;
    for (let slot = 0; slot < changed; slot += 1) this.#counts.push(slot * 5, slot % 8);
    const self = this;
    function receive(message: unknown): void {
      self.#receive(message as { kind: string; rows: readonly number[] });
    }
    const address = `127.78.${2 + (number >> 7)}.${1 + (number & 127)}:7100`;
    this.#wire = new Wire({ address, listen: address, log: quiet, receive });
  }

  async open(): Promise<void> {
    await this.#wire.open();
    const self = this;
    function tell(): void {
      const now = performance.now();
      self.#wire.send(self.#relay, {
        kind: "session",
        identity: "access-zone-3-217-4f1c9a70-0b67-4f0e-9d3c-6c1a1f6e2b15",
        life: 3,
        place: 123_456,
        roll: 654_321,
        askedAt: now,
        free: true,
        leaving: false,
        back: { at: now, held: 12.3 },
        counts: self.#counts,
      });
    }
    tell();
    this.#telling = setInterval(tell, 1_000);
  }

  #receive({ kind, rows }: { kind: string; rows: readonly number[] }): void {
    this.heard += 1;
    if (kind !== "burdens") return;
    for (let at = 0; at < rows.length; at += 3) {
      const known = this.#known.get(rows[at]!);
      if (known === undefined)
        this.#known.set(rows[at]!, { burden: rows[at + 1]!, age: rows[at + 2]! });
      else {
        known.burden = rows[at + 1]!;
        known.age = rows[at + 2]!;
      }
    }
  }

  close(): void {
    clearInterval(this.#telling);
    this.#wire.close();
  }
}
