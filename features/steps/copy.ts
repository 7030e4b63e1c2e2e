import { equal, ok } from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import {
  Chain,
  type ChainCommand,
  type ChainView,
  type Ledger,
  type StateMachine,
  type Member,
} from "@chutewick/parts";
import { Packr } from "msgpackr";

interface World {
  chains: Map<string, Chain>;
  /** Addresses that no message reaches. */
  unreachable: Set<string>;
  largestMessageBytes: number;
  now: number;
  view: ChainView;
  confirmed: number;
  appended: number;
}

class KeyValueMachine implements StateMachine {
  apply(ledger: Ledger, command: unknown): number {
    const { key, value } = command as { key: string; value: Uint8Array };
    ledger.put(key, value);
    return value.byteLength;
  }

  rebuild(): void {
    // There is no derived state.
  }
}

const packer = new Packr({ useRecords: false });
const first: Member = { identity: "first", address: "a1" };
const second: Member = { identity: "second", address: "a2" };
const learner: Member = { identity: "blank", address: "a3" };

function addChain(world: World, { identity, address }: Member): Chain {
  const chain = new Chain("q", { identity, address }, new KeyValueMachine(), world.now);
  world.chains.set(address, chain);
  return chain;
}

/** Performs commands until none is left. Writes are durable at once; messages are encoded, which gives their size, and decoded. */
function performAll(world: World, from: string, commands: readonly ChainCommand[]): void {
  const queue: [string, ChainCommand][] = [];
  for (const command of commands) queue.push([from, command]);
  while (queue.length > 0) {
    const [address, command] = queue.shift()!;
    let after: readonly ChainCommand[] = [];
    let at = address;
    if (command.kind === "write")
      after = world.chains.get(address)!.writeCompleted(command.ticket, world.now);
    else if (command.kind === "send") {
      const bytes = packer.pack(command.message);
      world.largestMessageBytes = Math.max(world.largestMessageBytes, bytes.byteLength);
      at = command.to;
      if (!world.unreachable.has(at) && !world.unreachable.has(address))
        after = world.chains
          .get(at)!
          .receive(packer.unpack(bytes) as typeof command.message, address, world.now);
    } else if (command.kind === "result" && command.result.kind === "confirmed")
      world.confirmed += 1;
    for (const each of after) queue.push([at, each]);
  }
}

function runFor(world: World, seconds: number): void {
  for (let tick = 0; tick < seconds * 20; tick += 1) {
    world.now += 50;
    for (const [address, chain] of world.chains) performAll(world, address, chain.tick(world.now));
  }
}

function adopt(world: World, view: ChainView): void {
  world.view = view;
  for (const [address, chain] of world.chains)
    performAll(world, address, chain.adopt(view, world.now));
}

function append(world: World, count: number, weight: number): void {
  for (let number = 0; number < count; number += 1) {
    world.appended += 1;
    world.now += 1;
    performAll(
      world,
      first.address,
      world.chains
        .get(first.address)!
        .execute(
          `t${world.appended}`,
          { key: `key-${world.appended}`, value: new Uint8Array(weight) },
          world.now,
        ),
    );
  }
}

function setUpChain(world: World): void {
  Object.assign(world, {
    chains: new Map(),
    unreachable: new Set(),
    largestMessageBytes: 0,
    now: 0,
    confirmed: 0,
    appended: 0,
  });
  addChain(world, first);
  addChain(world, second);
  adopt(world, { mark: 1, members: [first, second] });
}

function givenLargeRecords(this: World, count: number, weight: number): void {
  setUpChain(this);
  append(this, count, weight);
  equal(this.confirmed, count);
}
Given("a chain of two members with {int} records of {int} bytes each", givenLargeRecords);

function addLearner(this: World): void {
  addChain(this, learner);
  adopt(this, { mark: 2, members: [first, second], joiner: learner });
  runFor(this, 10);
}
When("an empty machine joins as learner", addLearner);

function checkCompleteCopy(this: World, limit: number): void {
  const chain = this.chains.get(learner.address)!;
  equal(chain.copiedMark, 2);
  equal(chain.place, this.appended);
  equal(chain.ledger.size, this.appended);
  ok(this.largestMessageBytes <= limit, `a message of ${this.largestMessageBytes} bytes`);
}
Then("its copy is complete, and no message was larger than {int} bytes", checkCompleteCopy);

function appendWhileUnreachable(this: World, count: number, weight: number): void {
  setUpChain(this);
  this.unreachable.add(second.address);
  append(this, count, weight);
  equal(this.confirmed, 0);
}
Given(
  "a chain of two members whose second is unreachable while {int} entries of {int} bytes each are appended",
  appendWhileUnreachable,
);

function makeReachable(this: World): void {
  this.unreachable.clear();
  runFor(this, 10);
}
When("the second is reachable again", makeReachable);

function checkAllCommitted(this: World, limit: number): void {
  equal(this.confirmed, this.appended);
  ok(this.largestMessageBytes <= limit, `a message of ${this.largestMessageBytes} bytes`);
}
Then("all entries are committed, and no message was larger than {int} bytes", checkAllCommitted);
