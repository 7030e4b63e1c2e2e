import { deepEqual, equal, ok } from "node:assert/strict";
import { Given, Then, When, type DataTable } from "@cucumber/cucumber";
import {
  configurationRegister,
  contradicting,
  judge,
  judgeConfiguration,
  lotLog,
  search,
  type Fault,
  type LotOperation,
  type RegisterOperation,
} from "@chutewick/history";
import fc from "fast-check";
import {
  lotHistories,
  plantedHistories,
  registerHistories,
  smallHistories,
} from "./history-drawn.js";
import { isAllowedByTrial } from "./history-reference.js";
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
  return register === undefined ? judge(lotLog, lot!) : judgeConfiguration(register);
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
      deepEqual(judgeConfiguration(history), []);
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

/** Both kinds of histories must be there in number, or the comparison would show nothing. */
function judgeAndTrialAgree(histories: fc.Arbitrary<RegisterOperation[]>, count: number): void {
  let allowed = 0;
  fc.assert(
    fc.property(histories, (history) => {
      const isAllowed = isAllowedByTrial(history);
      if (isAllowed) allowed += 1;
      const faults = judgeConfiguration(history);
      equal(faults.length === 0, isAllowed, JSON.stringify(faults));
    }),
    { numRuns: count },
  );
  ok(allowed > count / 20 && allowed < count * 0.95, `${allowed} of ${count} are allowed`);
}

function agreeOnSmallHistories(count: number): void {
  judgeAndTrialAgree(smallHistories, count);
}
Then("they agree on {int} small histories of the configuration", agreeOnSmallHistories);

function agreeOnPlantedFaults(count: number): void {
  judgeAndTrialAgree(plantedHistories, count);
}
Then("they agree on {int} drawn histories with a planted fault each", agreeOnPlantedFaults);

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
