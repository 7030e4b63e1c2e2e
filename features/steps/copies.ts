import { deepEqual, equal } from "node:assert/strict";
import { Then, When } from "@cucumber/cucumber";
import { Chain, policy, type Bounds, type ChainCommand, type ChainResult, type Ledger, type Machine, type Member, type Policy } from "@chutewick/parts";

interface World {
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
    reportsEvery: 1_200, contactWithin: 4_000, acknowledgeWithin: 5_000, drainWithin: 2_500, applyWithin: 2_500, cancelWithin: 3_000, stopWithin: 8_000, syncWithin: 6_000, recoverWithin: 15_000,
    losses: { machines: losses, zones: 0, regions: 0 }, memory: 250, descriptors: 4_100, disk: 130, goesOnAlone: true,
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
  for (let index = 0; index < copies; index += 1) members.push({ identity: `m${index}`, address: `a${index}` });
  const chains = new Map<string, Chain>();
  const synced = new Set<string>();
  for (const member of members) chains.set(member.address, new Chain("q", member, new Counter(), 0, undefined, copiesLeast));
  const queue: [string, ChainCommand][] = [];
  function add(address: string, commands: readonly ChainCommand[]): void { for (const command of commands) queue.push([address, command]); }
  for (const [address, chain] of chains) add(address, chain.adopt({ mark: 1, members }, 0));
  let now = 0;
  for (let round = 0; round < 200 && this.result === undefined; round += 1) {
    now += 10;
    while (queue.length > 0) {
      const [address, command] = queue.shift()!;
      if (command.kind === "send") add(command.to, chains.get(command.to)!.receive(command.message, address, now));
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

When("a chain of {int} copies is asked for a change where {int} machines may be lost at once", asked);

function surelyNot(this: World): void {
  equal(this.result?.kind, "elsewhere");
}
Then("the change is surely not taken", surelyNot);

function onAll(this: World, count: number): void {
  equal(this.result?.kind, "confirmed");
  deepEqual(this.synced, count);
}
Then("the change is confirmed on all {int}", onAll);
