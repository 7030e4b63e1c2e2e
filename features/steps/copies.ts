import { deepEqual, equal } from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import {
  Chain,
  Sessions,
  policy,
  type Bounds,
  type NodeDescriptor,
  type ChainCommand,
  type ChainMessage,
  type ChainResult,
  type Ledger,
  type StateMachine,
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

class Counter implements StateMachine {
  apply(ledger: Ledger): number {
    const count = (ledger.read<number>("count") ?? 0) + 1;
    ledger.put("count", count);
    return count;
  }

  rebuild(): void {
    // There is no derived state.
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

function policyForLosses(losses: number): Policy {
  const derived = policy.from(bounds(losses));
  if (!derived.ok) throw new Error(derived.reason);
  return derived.value;
}

/**
 * Submits one change and runs the chain until it has a result. Writes are durable at once; counts the replicas on which the entry was
 * durable when the result was returned.
 */
function submitChange(this: World, copies: number, losses: number): void {
  const { copiesLeast } = policyForLosses(losses);
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
        add(address, chains.get(address)!.writeCompleted(command.ticket, now));
      } else if (command.kind === "result") {
        this.result = command.result;
        this.synced = synced.size;
      }
    }
    if (round === 0) add("a0", chains.get("a0")!.execute("t", {}, now));
    else for (const [address, chain] of chains) add(address, chain.tick(now));
  }
}

When(
  "a change is submitted to a chain of {int} replicas where {int} machines may be lost at once",
  submitChange,
);

function checkNotAccepted(this: World): void {
  equal(this.result?.kind, "elsewhere");
}
Then("the change is not accepted", checkNotAccepted);

function checkCommittedOnAll(this: World, count: number): void {
  equal(this.result?.kind, "confirmed");
  deepEqual(this.synced, count);
}
Then("the change is committed on all {int}", checkCommittedOnAll);

class ThousandKeysMachine implements StateMachine {
  apply(ledger: Ledger, command: unknown): unknown {
    const { from } = command as { from: number };
    for (let index = from; index < from + 1_000; index += 1) ledger.put(`k${index}`, index);
    return from;
  }

  rebuild(): void {
    // There is no derived state.
  }
}

const [head, tail, learner]: Member[] = [
  { identity: "m0", address: "a0" },
  { identity: "m1", address: "a1" },
  { identity: "m2", address: "a2" },
];

function givenTwoReplicas(this: World, kind: string): void {
  this.late = kind.includes("later");
  const pair = new Map<string, Chain>([
    ["a0", new Chain("q", head!, new ThousandKeysMachine(), 0)],
    ["a1", new Chain("q", tail!, new ThousandKeysMachine(), 0)],
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
        for (const next of pair.get(address)!.writeCompleted(command.ticket, 0))
          queue.push([address, next]);
    }
  }
  settle();
  for (let from = 0; from < 20_000; from += 1_000) {
    for (const command of pair.get("a0")!.execute(`t${from}`, { from }, 0))
      queue.push(["a0", command]);
    settle();
  }
  this.source = pair.get("a1")!;
  this.joiner = new Chain("q", learner!, new ThousandKeysMachine(), 0);
}
Given(/^two copies of a chain with 20,000 records, and a blank machine (.+)$/, givenTwoReplicas);

/** Runs only the tail and the learner: the head takes no part in sending a snapshot. */
function sendSnapshotOverLink(this: World, each: number, buffered: number): void {
  const { joiner, source, late } = this;
  const chains = new Map<string, Chain>([
    ["a1", source],
    ["a2", joiner],
  ]);
  const link: ChainMessage[] = [];
  let delayed: ChainMessage[] = [];
  let now = 0;
  function perform(address: string, commands: readonly ChainCommand[]): void {
    for (const command of commands) {
      if (command.kind === "write")
        perform(address, chains.get(address)!.writeCompleted(command.ticket, now));
      else if (
        command.kind === "send" &&
        command.to === "a2" &&
        command.message.kind === "digest"
      ) {
        if (link.length < each + buffered) link.push(command.message);
      } else if (command.kind === "send" && chains.has(command.to))
        perform(command.to, chains.get(command.to)!.receive(command.message, address, now));
    }
  }
  const view = { mark: 2, members: [head!, tail!], joiner: learner! };
  for (const [address, chain] of chains) perform(address, chain.adopt(view, now));
  while (now < 10_000 && joiner.copiedMark !== 2) {
    now += 50;
    const carried = link.splice(0, each);
    const arrived = late ? delayed : carried;
    delayed = late ? carried : [];
    for (const message of arrived) perform("a2", joiner.receive(message, "a1", now));
    for (const [address, chain] of chains) perform(address, chain.tick(now));
  }
}
When(
  "the link to it carries {int} pieces of the snapshot each tick, buffers {int} more and drops the others",
  sendSnapshotOverLink,
);

function checkCompleteCopy(this: World): void {
  equal(this.joiner.copiedMark, 2);
  equal(this.joiner.ledger.size, 20_000);
}
Then("the copy is complete within 10 s", checkCompleteCopy);

function receiveHeartbeat(sessions: Sessions, place: number, askedAt: number): void {
  const card: NodeDescriptor = {
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
  sessions.recordHeartbeat(card, 10_000, 11_400, 0, 0, askedAt);
}

function receiveNewerHeartbeat(this: World): void {
  this.sessions = new Sessions();
  receiveHeartbeat(this.sessions, 8, 1_000);
}
Given(
  "a control machine received feed index 8 from a node, sent at 1,000 ms of its clock",
  receiveNewerHeartbeat,
);

function receiveOlderHeartbeat(this: World): void {
  receiveHeartbeat(this.sessions, 7, 999);
}
When(
  "the node's heartbeat with feed index 7, sent at 999 ms, arrives after it",
  receiveOlderHeartbeat,
);

/** The send time goes back by more than a second, which no delayed message of the same session does. */
function receiveFromNewIncarnation(this: World): void {
  receiveHeartbeat(this.sessions, 8, 20_000);
  receiveHeartbeat(this.sessions, 0, 50);
}
When(
  "a heartbeat with feed index 0, sent at 50 ms of a new incarnation, arrives",
  receiveFromNewIncarnation,
);

function checkCountedIndex(this: World, place: number): void {
  equal(this.sessions.coveredIndex(100, 10_001), place);
}
Then("the control machine counts the node at feed index {int}", checkCountedIndex);
