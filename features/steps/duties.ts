import { deepEqual, equal, ok } from "node:assert/strict";
import { Before, Then, When, type DataTable } from "@cucumber/cucumber";
import {
  ControlStateMachine,
  keys,
  numberRanges,
  published,
  type ActBody,
  type ClaimAct,
  type ControlResult,
  type DutyKind,
  type DutyRecord,
} from "@chutewick/control";
import { Ledger } from "@chutewick/parts";

/** The rules of duties on the replicated records alone. */
interface World {
  dutyLedger: Ledger;
}

/** ms. */
const lease = 3_000;
const subject = "all";
const records = new ControlStateMachine();

function freshLedger(this: World): void {
  this.dutyLedger = new Ledger();
}
Before(freshLedger);

function claim(
  { dutyLedger }: World,
  {
    time,
    ...act
  }: Pick<ClaimAct, "duty" | "number" | "body" | "holder"> & {
    time: number;
    fenceAtLeast?: number;
  },
): ControlResult {
  const command: ClaimAct = { kind: "claim-act", subject, lease, ...act };
  return records.apply(dutyLedger, command, time);
}

function usageOf(number: number, text: string): ActBody {
  const [tenant, count] = text.split(": ");
  return { window: number, counts: { [tenant!]: Number(count) } };
}

function scalingOf(_number: number, text: string): ActBody {
  return { pool: "readers", zone: "north", desired: Number(text) };
}

function told(result: ControlResult): string {
  switch (result.kind) {
    case "ACT_WON": {
      const { body } = result;
      if ("desired" in body) return `won ${result.fence}, ${body.desired}`;
      const counts = Object.entries(body.counts).map(([tenant, count]) => `${tenant}: ${count}`);
      return `won ${result.fence}, ${counts.join(", ")}`;
    }
    case "ACT_HELD":
      return `held by ${result.holder} for ${result.wait}`;
    case "ACT_FINISHED":
      return "finished";
    default:
      return result.kind;
  }
}

function claimAll(world: World, duty: DutyKind, table: DataTable): void {
  const bodyOf = duty === "usage" ? usageOf : scalingOf;
  for (const row of table.hashes()) {
    const number = Number(row["number"]);
    const least = row["fence at least"] ?? "";
    const result = claim(world, {
      duty,
      number,
      body: bodyOf(number, row["says"]!),
      holder: row["holder"]!,
      time: Number(row["ms"]),
      ...(least === "" ? {} : { fenceAtLeast: Number(least) }),
    });
    equal(told(result), row["told"], JSON.stringify(row));
  }
}

function usageClaims(this: World, table: DataTable): void {
  claimAll(this, "usage", table);
}
When("these claims of usage reports are made:", usageClaims);

function scalingClaims(this: World, table: DataTable): void {
  claimAll(this, "scaling", table);
}
When("these claims of scaling orders are made:", scalingClaims);

function finish({ dutyLedger }: World, number: number): void {
  const finished = { kind: "finish-act", duty: "usage", subject, number, holder: "one" } as const;
  records.apply(dutyLedger, finished, 0);
}

function areTaken(this: World, number: number): void {
  finish(this, number);
}
When("the platform took the reports {int}", areTaken);

function recordOf({ dutyLedger }: World): DutyRecord {
  return dutyLedger.read<DutyRecord>(keys.dutyKey({ duty: "usage", subject }))!;
}

function finishedAre(this: World, text: string): void {
  const { finished, open } = recordOf(this);
  equal(finished.map((range) => range.join("-")).join(" "), text);
  deepEqual(open, []);
  deepEqual([...this.dutyLedger.under(keys.act)], []);
}
Then("the finished numbers are {string} and none is open", finishedAre);

function claimUsage(world: World, number: number, count: number): ControlResult {
  const body = { window: number, counts: { one: count } };
  return claim(world, { duty: "usage", number, body, holder: "one", time: number });
}

function pileUp(this: World, count: number): void {
  for (let number = 1; number <= count; number += 1)
    equal(claimUsage(this, number, 1).kind, "ACT_WON");
}
When("{int} usage reports are claimed and the platform takes none", pileUp);

function areOpen(this: World, count: number, given: number): void {
  equal(recordOf(this).open.length, count);
  equal([...this.dutyLedger.under(keys.act)].length, count);
  for (let number = 1; number <= given; number += 1)
    equal(claimUsage(this, number, 2).kind, "ACT_FINISHED");
  equal(told(claimUsage(this, given + 1, 2)), "won 1, one: 1");
}
Then("{int} of them are open, and the {int} oldest are never decided again", areOpen);

function everySecond(this: World, taken: number, all: number): void {
  for (let number = 2; number <= all; number += all / taken) {
    claimUsage(this, number, 1);
    finish(this, number);
  }
}
When("{int} of {int} usage reports are taken, every second one", everySecond);

function fewRanges(this: World, most: number): void {
  const { finished, newest } = recordOf(this);
  ok(finished.length <= most, `${finished.length} ranges`);
  for (let number = 2; number <= newest.number; number += 2) {
    ok(numberRanges.has(finished, number));
    equal(claimUsage(this, number, 2).kind, "ACT_FINISHED");
  }
}
Then("the record has at most {int} ranges, and none of what was taken is decided again", fewRanges);

function nothingPublished(this: World): void {
  const snapshot = this.dutyLedger.snapshot();
  equal(snapshot.length, 2);
  for (const [key, value] of snapshot) equal(published(key, value), undefined, key);
}
Then("nothing of the records is published", nothingPublished);
