import { deepEqual, equal, ok } from "node:assert/strict";
import { Given, Then, When, type DataTable } from "@cucumber/cucumber";
import {
  configurationRegister,
  contradicting,
  judge,
  lotLog,
  search,
  type Fault,
  type LotOperation,
  type RegisterOperation,
} from "@chutewick/history";
import fc from "fast-check";
import {
  isAllowedByTrial,
  lotHistories,
  registerHistories,
  smallHistories,
} from "./history-drawn.js";
import { lotOperation, registerOperation, type HistoryRow } from "./history-tables.js";
import { racedHistory } from "./history-raced.js";

interface World {
  register?: RegisterOperation[];
  lot?: LotOperation[];
  raced: RegisterOperation[];
}

function rowsOf(table: DataTable): HistoryRow[] {
  return table.hashes() as unknown as HistoryRow[];
}

function aHistoryOfTheConfiguration(this: World, table: DataTable): void {
  this.register = rowsOf(table).map(registerOperation);
}
Given("a history of the configuration", aHistoryOfTheConfiguration);

function aHistoryOfALot(this: World, table: DataTable): void {
  this.lot = rowsOf(table).map(lotOperation);
}
Given("a history of a lot", aHistoryOfALot);

function operationsAreAdded(this: World, table: DataTable): void {
  this.register?.push(...rowsOf(table).map(registerOperation));
  this.lot?.push(...rowsOf(table).map(lotOperation));
}
When("these operations are added", operationsAreAdded);

function faultsOf({ register, lot }: World): Fault[] {
  return register === undefined ? judge(lotLog, lot!) : judge(configurationRegister(), register);
}

function theHistoryIsAllowed(this: World): void {
  deepEqual(faultsOf(this), []);
}
Then("the history is allowed", theHistoryIsAllowed);

function theHistoryBreaks(this: World, rule: string): void {
  equal(faultsOf(this)[0]?.rule, rule);
}
Then("the history breaks {string}", theHistoryBreaks);

function onlyTheseAreTold(this: World, table: DataTable): void {
  const told = faultsOf(this)[0]!.facts.split("; ");
  deepEqual(
    told.slice(0, -1),
    table.raw().map(([line]) => line),
  );
}
Then("only these operations are told", onlyTheseAreTold);

function drawnConfigurationsAreAllowed(count: number): void {
  fc.assert(
    fc.property(registerHistories, (history) => {
      deepEqual(judge(configurationRegister(), history), []);
    }),
    { numRuns: count },
  );
}
Then("{int} drawn histories of the configuration are allowed", drawnConfigurationsAreAllowed);

function drawnLotsAreAllowed(count: number): void {
  fc.assert(
    fc.property(lotHistories, (history) => {
      deepEqual(judge(lotLog, history), []);
    }),
    { numRuns: count },
  );
}
Then("{int} drawn histories of a lot are allowed", drawnLotsAreAllowed);

function searchAndTrialAgree(count: number): void {
  let allowed = 0;
  fc.assert(
    fc.property(smallHistories, (history) => {
      const isAllowed = isAllowedByTrial(configurationRegister(), history);
      if (isAllowed) allowed += 1;
      equal(search(configurationRegister(), history).faults.length === 0, isAllowed);
    }),
    { numRuns: count },
  );
  ok(allowed > count / 20 && allowed < count * 0.95, `${allowed} of ${count} are allowed`);
}
Then("they agree on {int} small histories of the configuration", searchAndTrialAgree);

function racedHistoryIsJudged(this: World, orders: number, lost: number, most: number): void {
  this.raced = racedHistory(orders, lost / 10);
  const start = performance.now();
  deepEqual(judge(configurationRegister(), this.raced), []);
  const took = performance.now() - start;
  ok(took < most, `${Math.round(took)} ms`);
}
Then(
  "a history of {int} orders, eight at once with {int} of 10 answers lost, is judged within {int} ms",
  racedHistoryIsJudged,
);

function staleReadIsFound(this: World, most: number): void {
  const end = Math.max(...this.raced.map(({ returnedAt }) => returnedAt));
  const stale: RegisterOperation = {
    client: "late",
    calledAt: end + 1,
    returnedAt: end + 2,
    input: { kind: "read" },
    output: { kind: "value", version: 1, value: undefined },
  };
  const start = performance.now();
  const { faults } = search(configurationRegister(), [...this.raced, stale]);
  equal(faults.length, 1);
  equal(contradicting(configurationRegister(), faults[0]!).at(-1), stale);
  const took = performance.now() - start;
  ok(took < most, `${Math.round(took)} ms`);
}
Then("with a stale read at its end it is found wrong within {int} ms", staleReadIsFound);
