/**
 * Counts the scenarios of the reports and passes over those that KNOWN-RED.txt names.
 *
 *   node .ci/count.mjs [LIST [REPORT...]]
 *
 * A report that is not there, or holds no scenario, is a failure: its part of the tests was not played.
 *
 * A line of KNOWN-RED.txt: `<feature title>: <scenario title> | <cause> | <issue>`. At most three
 * lines; each must have all three parts, name a scenario that was played, and name one that fails:
 * a listed scenario that passes must leave the list.
 */
import { existsSync, readFileSync } from "node:fs";

const MOST_LISTED = 3;
const LIST = process.argv[2] ?? "KNOWN-RED.txt";
const REPORTS =
  process.argv.length > 3
    ? process.argv.slice(3)
    : ["reports/simulated.json", "reports/sockets.json"];

/** @returns the listed scenarios, and what is wrong with the list itself */
function readList() {
  const listed = new Map();
  const faults = [];
  const lines = existsSync(LIST) ? readFileSync(LIST, "utf8").split("\n").filter(Boolean) : [];
  if (lines.length > MOST_LISTED) faults.push(`${lines.length} lines, ${MOST_LISTED} at most`);
  for (const line of lines) {
    const [test, cause, issue] = line.split(" | ").map((part) => part.trim());
    if (!test || !cause || !issue) faults.push(`a line without test, cause and issue: ${line}`);
    else if (listed.has(test)) faults.push(`listed twice: ${test}`);
    else listed.set(test, { cause, issue });
  }
  return { listed, faults };
}

/** Rows of a scenario outline share a title; a title is good when all its rows are. */
function readReport(file) {
  const results = [];
  for (const feature of JSON.parse(readFileSync(file, "utf8"))) {
    for (const scenario of feature.elements) {
      const good =
        scenario.steps.length > 0 &&
        scenario.steps.every((step) => step.result.status === "passed");
      results.push({ test: `${feature.name}: ${scenario.name}`, good });
    }
  }
  return results;
}

/** @returns the results of all reports, and what is wrong with the reports themselves */
function readReports() {
  const results = [];
  const faults = [];
  for (const file of REPORTS) {
    const found = existsSync(file) ? readReport(file) : [];
    if (found.length === 0) faults.push(`${file}: no scenario was played`);
    results.push(...found);
  }
  return { results, faults };
}

const { listed, faults } = readList();
const { results, faults: reportFaults } = readReports();
const failing = new Set(results.filter((result) => !result.good).map((result) => result.test));
for (const [test, { cause, issue }] of listed) {
  if (!results.some((result) => result.test === test)) faults.push(`no such scenario: ${test}`);
  else if (!failing.has(test)) faults.push(`passes, so it must leave the list: ${test}`);
  else console.log(`known red: ${test} (${cause}; ${issue})`);
}
for (const fault of faults) console.log(`${LIST}: ${fault}`);
for (const fault of reportFaults) console.log(fault);

const red = results.filter((result) => !result.good && !listed.has(result.test));
for (const result of red) console.log(`failed: ${result.test}`);
const passed = results.filter((result) => result.good).length;
const failed = red.length + faults.length + reportFaults.length;
console.log(`${passed} passed, ${failed} failed`);
process.exit(failed === 0 && passed > 0 ? 0 : 1);
