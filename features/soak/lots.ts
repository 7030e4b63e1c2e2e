import { eventCount } from "../system/stand-in-runner.js";
import { nextId, send } from "./exchange.js";
import type { Random } from "./random.js";
import type { SoakSystem } from "./system.js";
import { holdsWithin, now, pause } from "./time.js";
import type { Violations } from "./violations.js";

const itemsEach = 6;
const patience = 2_000;
const resendAfter = 300;
/** ms. A lot that was not taken by then is left. */
const handInWithin = 15_000;
/** ms. All items must be listed this long after the last trouble. */
const listedWithin = 45_000;
const handInEveryLeast = 3_000;
const handInEveryMost = 6_000;

/** What an access machine tells of a lot. */
interface LotRead {
  readonly total: number;
  readonly results: readonly { instanceId: string; state: string; text: string }[];
}

/** Hands in lots during the run and reads them to their ends. */
export class Lots {
  readonly accepted: string[] = [];
  #system: SoakSystem;
  #violations: Violations;
  #random: Random;
  #isOver = false;

  constructor(system: SoakSystem, violations: Violations, random: Random) {
    this.#system = system;
    this.#violations = violations;
    this.#random = random;
  }

  /** Hands lots in until told to stop. */
  async run(): Promise<void> {
    while (!this.#isOver) {
      await this.#handIn();
      await pause(this.#random.between(handInEveryLeast, handInEveryMost));
    }
  }

  stop(): void {
    this.#isOver = true;
  }

  /** Reads every accepted lot to its end. */
  async check(): Promise<void> {
    for (const lot of this.accepted) await this.#check(lot);
  }

  async #handIn(): Promise<void> {
    const lot = `10000000${this.#random.whole(0x10000000, 0xffffffff).toString(16)}`;
    const entries: unknown[] = [];
    for (let index = 0; index < itemsEach; index += 1)
      entries.push({
        instanceId: `${lot}-${index}`,
        path: pathOf(lot, index),
        headers: { "Chutewick-Model": "m", "Chutewick-Token-Count": "40,5" },
        body: Buffer.from(`slip ${index}`).toString("base64"),
        tokens: 45,
      });
    const body = JSON.stringify({ entries });
    const last = now() + handInWithin;
    while (now() < last) {
      const machine = this.#random.pick(this.#system.machines("access"));
      const path = `/slips/${lot}`;
      const { status } = await send({ machine, method: "POST", path, id: lot, body, patience });
      if (status === 202) return void this.accepted.push(lot);
      await pause(resendAfter);
    }
  }

  async #check(lot: string): Promise<void> {
    let read: LotRead | undefined;
    const isListed = await holdsWithin(listedWithin, async () => {
      read = (await this.#read(lot)) ?? read;
      return (read?.results.length ?? 0) >= itemsEach;
    });
    const seen = new Set<string>();
    for (const { instanceId, state, text } of read?.results ?? []) {
      seen.add(instanceId);
      const index = Number(instanceId.slice(instanceId.lastIndexOf("-") + 1));
      if (state === "completed" && text !== textOf(lot, index))
        this.#violations.add("LOTS", `${instanceId} has another text: ${JSON.stringify(text)}`);
    }
    const count = read?.results.length ?? 0;
    if (!isListed || count !== itemsEach || seen.size !== itemsEach || read?.total !== itemsEach)
      this.#violations.add(
        "LOTS",
        `${lot}: ${count} listed, ${seen.size} of them different, total ${read?.total}`,
      );
  }

  async #read(lot: string): Promise<LotRead | undefined> {
    const machine = this.#random.pick(this.#system.machines("access"));
    const path = `/chutewick/lots/${lot}?startToken=0`;
    const exchange = await send({ machine, method: "GET", path, id: nextId(), patience });
    if (exchange.status !== 200 || !exchange.isComplete) return undefined;
    return JSON.parse(exchange.text) as LotRead;
  }
}

function pathOf(lot: string, index: number): string {
  return `/slips/${lot}/${index}`;
}

function textOf(lot: string, index: number): string {
  const pieces: string[] = [];
  for (let event = 0; event < eventCount; event += 1)
    pieces.push(`piece ${event} of ${pathOf(lot, index)}`);
  return pieces.join("\n");
}
