/**
 * Counts the passed and failed scenarios of the test reports, leaving out the known failures that KNOWN-RED.txt lists.
 *
 *   node .ci/count.mjs [LIST [REPORT...]]
 *
 * A report that is missing or contains no scenario is a failure, since its part of the tests was not run.
 *
 * Format of a line in KNOWN-RED.txt: `<feature title>: <scenario title> | <cause> | <issue>`. The file has at most three lines.
 * Each needs all three parts and must name a scenario that was run and failed; a listed scenario that passes must be removed
 * from the list.
 */
import { existsSync, readFileSync } from "node:fs";

const MAX_LISTED = 3;
const LIST_FILE = process.argv[2] ?? "KNOWN-RED.txt";
const REPORT_FILES =
  process.argv.length > 3
    ? process.argv.slice(3)
    : ["reports/simulated.json", "reports/sockets.json"];

/** Returns the listed scenarios and the errors of the list itself. */
function readList() {
  const listed = new Map();
  const errors = [];
  const lines = existsSync(LIST_FILE)
    ? readFileSync(LIST_FILE, "utf8").split("\n").filter(Boolean)
    : [];
  if (lines.length > MAX_LISTED) errors.push(`${lines.length} lines; the maximum is ${MAX_LISTED}`);
  for (const line of lines) {
    const [test, cause, issue] = line.split(" | ").map((part) => part.trim());
    if (!test || !cause || !issue)
      errors.push(`a line needs a test, a cause and an issue: ${line}`);
    else if (listed.has(test)) errors.push(`duplicate entry: ${test}`);
    else listed.set(test, { cause, issue });
  }
  return { listed, errors };
}

/** Returns one result per scenario. The rows of a scenario outline share a title, which passes only if all its rows do. */
function readReport(file) {
  const results = [];
  for (const feature of JSON.parse(readFileSync(file, "utf8"))) {
    for (const scenario of feature.elements) {
      const isPassed =
        scenario.steps.length > 0 &&
        scenario.steps.every((step) => step.result.status === "passed");
      results.push({ test: `${feature.name}: ${scenario.name}`, isPassed });
    }
  }
  return results;
}

/** Returns the results of all reports and the errors of the reports themselves. */
function readReports() {
  const results = [];
  const errors = [];
  for (const file of REPORT_FILES) {
    const found = existsSync(file) ? readReport(file) : [];
    if (found.length === 0) errors.push(`${file}: the report is missing or contains no scenario`);
    results.push(...found);
  }
  return { results, errors };
}

const { listed, errors: listErrors } = readList();
const { results, errors: reportErrors } = readReports();
const failing = new Set(results.filter((result) => !result.isPassed).map((result) => result.test));
for (const [test, { cause, issue }] of listed) {
  if (!results.some((result) => result.test === test))
    listErrors.push(`no such scenario was run: ${test}`);
  else if (!failing.has(test))
    listErrors.push(`the scenario passes; remove it from the list: ${test}`);
  else console.log(`known failure: ${test} (${cause}; ${issue})`);
}
for (const error of listErrors) console.log(`${LIST_FILE}: ${error}`);
for (const error of reportErrors) console.log(error);

const unexpected = results.filter((result) => !result.isPassed && !listed.has(result.test));
for (const result of unexpected) console.log(`failed: ${result.test}`);
const passed = results.filter((result) => result.isPassed).length;
const failed = unexpected.length + listErrors.length + reportErrors.length;
console.log(`${passed} passed, ${failed} failed`);
process.exit(failed === 0 && passed > 0 ? 0 : 1);
