import { equal, ok } from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import {
  Chain,
  type ChainCommand,
  type ChainView,
  type Ledger,
  type Machine,
  type Member,
} from "@chutewick/parts";
import { Packr } from "msgpackr";

interface World {
  chains: Map<string, Chain>;
  /** Where messages do not arrive. */
  away: Set<string>;
  heaviest: number;
  now: number;
  view: ChainView;
  confirmed: number;
  entered: number;
}

class Shelf implements Machine {
  apply(ledger: Ledger, command: unknown): number {
    const { key, value } = command as { key: string; value: Uint8Array };
    ledger.put(key, value);
    return value.byteLength;
  }

  rebuild(): void {
    // Nothing is derived.
  }
}

const packer = new Packr({ useRecords: false });
const first: Member = { identity: "first", address: "a1" };
const second: Member = { identity: "second", address: "a2" };
const blank: Member = { identity: "blank", address: "a3" };

function chainOf(world: World, { identity, address }: Member): Chain {
  const chain = new Chain("q", { identity, address }, new Shelf(), world.now);
  world.chains.set(address, chain);
  return chain;
}

/** Everything written is synced at once; every message is weighed and copied. */
function play(world: World, from: string, commands: readonly ChainCommand[]): void {
  const queue: [string, ChainCommand][] = [];
  for (const command of commands) queue.push([from, command]);
  while (queue.length > 0) {
    const [address, command] = queue.shift()!;
    let after: readonly ChainCommand[] = [];
    let at = address;
    if (command.kind === "write")
      after = world.chains.get(address)!.written(command.ticket, world.now);
    else if (command.kind === "send") {
      const bytes = packer.pack(command.message);
      world.heaviest = Math.max(world.heaviest, bytes.byteLength);
      at = command.to;
      if (!world.away.has(at) && !world.away.has(address))
        after = world.chains
          .get(at)!
          .receive(packer.unpack(bytes) as typeof command.message, address, world.now);
    } else if (command.kind === "result" && command.result.kind === "confirmed")
      world.confirmed += 1;
    for (const each of after) queue.push([at, each]);
  }
}

function beats(world: World, seconds: number): void {
  for (let beat = 0; beat < seconds * 20; beat += 1) {
    world.now += 50;
    for (const [address, chain] of world.chains) play(world, address, chain.beat(world.now));
  }
}

function adopt(world: World, view: ChainView): void {
  world.view = view;
  for (const [address, chain] of world.chains) play(world, address, chain.adopt(view, world.now));
}

function enter(world: World, count: number, weight: number): void {
  for (let number = 0; number < count; number += 1) {
    world.entered += 1;
    world.now += 1;
    play(
      world,
      first.address,
      world.chains
        .get(first.address)!
        .inquire(
          `t${world.entered}`,
          { key: `key-${world.entered}`, value: new Uint8Array(weight) },
          world.now,
        ),
    );
  }
}

function begin(world: World): void {
  Object.assign(world, {
    chains: new Map(),
    away: new Set(),
    heaviest: 0,
    now: 0,
    confirmed: 0,
    entered: 0,
  });
  chainOf(world, first);
  chainOf(world, second);
  adopt(world, { mark: 1, members: [first, second] });
}

function heavyRecords(this: World, count: number, weight: number): void {
  begin(this);
  enter(this, count, weight);
  equal(this.confirmed, count);
}
Given("a chain of two members whose {int} records weigh {int} bytes each", heavyRecords);

function joins(this: World): void {
  chainOf(this, blank);
  adopt(this, { mark: 2, members: [first, second], joiner: blank });
  beats(this, 10);
}
When("a blank machine joins it", joins);

function holdsAll(this: World, most: number): void {
  const chain = this.chains.get(blank.address)!;
  equal(chain.copiedMark, 2);
  equal(chain.place, this.entered);
  equal(chain.ledger.size, this.entered);
  ok(this.heaviest <= most, `a message of ${this.heaviest} bytes`);
}
Then("it holds all of it whole, and no message weighed more than {int} bytes", holdsAll);

function enteredAlone(this: World, count: number, weight: number): void {
  begin(this);
  this.away.add(second.address);
  enter(this, count, weight);
  equal(this.confirmed, 0);
}
Given(
  "a chain of two members whose second is away while {int} entries of {int} bytes each are entered",
  enteredAlone,
);

function isBack(this: World): void {
  this.away.clear();
  beats(this, 10);
}
When("the second is back", isBack);

function allConfirmed(this: World, most: number): void {
  equal(this.confirmed, this.entered);
  ok(this.heaviest <= most, `a message of ${this.heaviest} bytes`);
}
Then("all entries are confirmed, and no message weighed more than {int} bytes", allConfirmed);
