import { deepEqual, equal } from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import {
  Chain,
  Sessions,
  policy,
  type Bounds,
  type NodeCard,
  type ChainCommand,
  type ChainMessage,
  type ChainResult,
  type Ledger,
  type Machine,
  type Member,
  type Policy,
} from "@chutewick/parts";

interface World {
  sessions: Sessions;
  joiner: Chain;
  source: Chain;
  late: boolean;
  result: ChainResult | undefined;
  synced: number;
}

class Counter implements Machine {
  apply(ledger: Ledger): number {
    const count = (ledger.read<number>("count") ?? 0) + 1;
    ledger.put("count", count);
    return count;
  }

  rebuild(): void {
    // Nothing is derived.
  }
}

function bounds(losses: number): Bounds {
  return {
    reportsEvery: 1_200,
    contactWithin: 4_000,
    acknowledgeWithin: 5_000,
    drainWithin: 2_500,
    applyWithin: 2_500,
    cancelWithin: 3_000,
    stopWithin: 8_000,
    syncWithin: 6_000,
    recoverWithin: 15_000,
    losses: { machines: losses, zones: 0, regions: 0 },
    memory: 250,
    descriptors: 4_100,
    disk: 130,
    goesOnAlone: true,
  };
}

function policyFor(losses: number): Policy {
  const worked = policy.from(bounds(losses));
  if (!worked.ok) throw new Error(worked.reason);
  return worked.value;
}

/** Plays the chain to its end; everything written is synced at once, and how many had synced the entry when it was told is noted. */
function asked(this: World, copies: number, losses: number): void {
  const { copiesLeast } = policyFor(losses);
  const members: Member[] = [];
  for (let index = 0; index < copies; index += 1)
    members.push({ identity: `m${index}`, address: `a${index}` });
  const chains = new Map<string, Chain>();
  const synced = new Set<string>();
  for (const member of members)
    chains.set(member.address, new Chain("q", member, new Counter(), 0, undefined, copiesLeast));
  const queue: [string, ChainCommand][] = [];
  function add(address: string, commands: readonly ChainCommand[]): void {
    for (const command of commands) queue.push([address, command]);
  }
  for (const [address, chain] of chains) add(address, chain.adopt({ mark: 1, members }, 0));
  let now = 0;
  for (let round = 0; round < 200 && this.result === undefined; round += 1) {
    now += 10;
    while (queue.length > 0) {
      const [address, command] = queue.shift()!;
      if (command.kind === "send")
        add(command.to, chains.get(command.to)!.receive(command.message, address, now));
      else if (command.kind === "write") {
        if (command.write.entries.length > 0) synced.add(address);
        add(address, chains.get(address)!.written(command.ticket, now));
      } else if (command.kind === "result") {
        this.result = command.result;
        this.synced = synced.size;
      }
    }
    if (round === 0) add("a0", chains.get("a0")!.inquire("t", {}, now));
    else for (const [address, chain] of chains) add(address, chain.beat(now));
  }
}

When(
  "a chain of {int} copies is asked for a change where {int} machines may be lost at once",
  asked,
);

function surelyNot(this: World): void {
  equal(this.result?.kind, "elsewhere");
}
Then("the change is surely not taken", surelyNot);

function onAll(this: World, count: number): void {
  equal(this.result?.kind, "confirmed");
  deepEqual(this.synced, count);
}
Then("the change is confirmed on all {int}", onAll);

class Shelf implements Machine {
  apply(ledger: Ledger, command: unknown): unknown {
    const { from } = command as { from: number };
    for (let index = from; index < from + 1_000; index += 1) ledger.put(`k${index}`, index);
    return from;
  }

  rebuild(): void {
    // Nothing is derived.
  }
}

const [head, tail, blank]: Member[] = [
  { identity: "m0", address: "a0" },
  { identity: "m1", address: "a1" },
  { identity: "m2", address: "a2" },
];

function twoCopies(this: World, kind: string): void {
  this.late = kind.includes("later");
  const pair = new Map<string, Chain>([
    ["a0", new Chain("q", head!, new Shelf(), 0)],
    ["a1", new Chain("q", tail!, new Shelf(), 0)],
  ]);
  const queue: [string, ChainCommand][] = [];
  for (const [address, chain] of pair)
    for (const command of chain.adopt({ mark: 1, members: [head!, tail!] }, 0))
      queue.push([address, command]);
  function settle(): void {
    while (queue.length > 0) {
      const [address, command] = queue.shift()!;
      if (command.kind === "send")
        for (const next of pair.get(command.to)!.receive(command.message, address, 0))
          queue.push([command.to, next]);
      if (command.kind === "write")
        for (const next of pair.get(address)!.written(command.ticket, 0))
          queue.push([address, next]);
    }
  }
  settle();
  for (let from = 0; from < 20_000; from += 1_000) {
    for (const command of pair.get("a0")!.inquire(`t${from}`, { from }, 0))
      queue.push(["a0", command]);
    settle();
  }
  this.source = pair.get("a1")!;
  this.joiner = new Chain("q", blank!, new Shelf(), 0);
}
Given(/^two copies of a chain with 20,000 records, and a blank machine (.+)$/, twoCopies);

/** The head's part of the view does not matter to the copy: it goes from the tail to the blank. */
function copiedOver(this: World, each: number, holds: number): void {
  const { joiner, source, late } = this;
  const chains = new Map<string, Chain>([
    ["a1", source],
    ["a2", joiner],
  ]);
  const link: ChainMessage[] = [];
  let waiting: ChainMessage[] = [];
  let now = 0;
  function perform(address: string, commands: readonly ChainCommand[]): void {
    for (const command of commands) {
      if (command.kind === "write")
        perform(address, chains.get(address)!.written(command.ticket, now));
      else if (
        command.kind === "send" &&
        command.to === "a2" &&
        command.message.kind === "digest"
      ) {
        if (link.length < each + holds) link.push(command.message);
      } else if (command.kind === "send" && chains.has(command.to))
        perform(command.to, chains.get(command.to)!.receive(command.message, address, now));
    }
  }
  const view = { mark: 2, members: [head!, tail!], joiner: blank! };
  for (const [address, chain] of chains) perform(address, chain.adopt(view, now));
  while (now < 10_000 && joiner.copiedMark !== 2) {
    now += 50;
    const carried = link.splice(0, each);
    const arrived = late ? waiting : carried;
    waiting = late ? carried : [];
    for (const message of arrived) perform("a2", joiner.receive(message, "a1", now));
    for (const [address, chain] of chains) perform(address, chain.beat(now));
  }
}
When(
  "the link to it carries {int} pieces of the copy each beat, holds {int} more and drops the others",
  copiedOver,
);

function isWhole(this: World): void {
  equal(this.joiner.copiedMark, 2);
  equal(this.joiner.ledger.size, 20_000);
}
Then("the copy is whole within 10 s", isWhole);

function said(sessions: Sessions, place: number, askedAt: number): void {
  const card: NodeCard = {
    identity: "storage-1",
    address: "a",
    kind: "storage",
    zone: "z",
    http: "h",
    leaving: false,
    free: true,
    place,
    telling: {},
  };
  sessions.heard(card, 10_000, 11_400, 0, 0, askedAt);
}

function heardLater(this: World): void {
  this.sessions = new Sessions();
  said(this.sessions, 8, 1_000);
}
Given("a control machine heard a node say place 8 at its 1,000 ms", heardLater);

function earlierWord(this: World): void {
  said(this.sessions, 7, 999);
}
When("the node's word of place 7 at its 999 ms comes after it", earlierWord);

/** More than a second before: no message is that late on a standing session. */
function newLife(this: World): void {
  said(this.sessions, 8, 20_000);
  said(this.sessions, 0, 50);
}
When("the node's word of place 0 at its 50 ms comes, in a new life", newLife);

function countedAt(this: World, place: number): void {
  equal(this.sessions.covered(100, 10_001), place);
}
Then("the control machine counts the node at place {int}", countedAt);
