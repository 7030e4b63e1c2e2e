import { deepEqual } from "node:assert/strict";
import { Then } from "@cucumber/cucumber";
import { DutyRecords, dutyStatus, type DueAct } from "@chutewick/control";
import type { Ledger } from "@chutewick/parts";

/** Status of duties by the records that other steps made. */
interface World {
  dutyLedger: Ledger;
}

function statusIs(this: World, due: string, now: number, text: string): void {
  const records = new DutyRecords();
  records.restore(this.dutyLedger.snapshot());
  const acts: DueAct[] = due.split(", ").map((number) => ({
    duty: "usage",
    subject: "all",
    number: Number(number),
    body: { window: Number(number), counts: {} },
    takeoverAt: Number(number) * 1_000,
  }));
  deepEqual(dutyStatus(records, acts, now), { "usage/all": JSON.parse(text) as unknown });
}
Then(
  /^with reports (.+) due, operators are told at (\d+) ms: (.+)$/,
  function (this: World, due: string, now: string, text: string): void {
    statusIs.call(this, due, Number(now), text);
  },
);
