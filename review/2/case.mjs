/** A lot is accepted, its route moves to another service, and the same lot is sent again: see claim.txt. */
import { replaceConfiguration } from "../lib/calls.mjs";
import { bounds } from "../lib/fleet.mjs";
import {
  bulkRoute,
  limits,
  modelService,
  newLot,
  openRecord,
  readLot,
  sleep,
  startDeployment,
  startRunners,
  submitLot,
} from "../lib/load.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
const accessCount = 4;
const itemCount = 20;
const record = openRecord("review/2/record.txt");

/** The service of the first configuration, and one without an engine table, as in the example of PROTOCOL.md. */
const first = modelService("lector-docs");
const second = {
  name: "wuno96b",
  healthPath: "/health",
  maxConnections: 110,
  protocol: "h1",
  tlsMode: false,
};

function document(revision, service) {
  return {
    revision,
    routes: [{ ...bulkRoute, service }],
    services: [first, second],
    limits,
  };
}

async function end(fleet, runners, status) {
  record(`exit ${status}`);
  for (const { child } of runners) child.kill("SIGKILL");
  await fleet?.close();
  process.exit(status);
}

/** Hands in the lot until it is accepted; returns the last status. */
async function handIn(fleet, lot) {
  let status = 0;
  for (let access = 1; access <= accessCount && status !== 202; access += 1) {
    if (access > 1) await sleep(300);
    ({ status } = await submitLot(fleet, access, lot));
    record(`lot ${lot.id} sent to access ${access}: ${status}`);
  }
  return status;
}

/** Reads the whole lot at every access node; returns the lists of results. */
async function readEverywhere(fleet, lot) {
  const lists = [];
  for (let access = 1; access <= accessCount; access += 1) {
    const answer = await readLot(fleet, access, lot.id, 0, 1000);
    const results = answer.results ?? [];
    const order = results.map(({ instanceId }) => instanceId.slice(0, 4)).join(" ");
    record(`read at access ${access}: ${answer.status}, ${results.length} results: ${order}`);
    lists.push({ access, status: answer.status, results });
  }
  return lists;
}

/** Positions at which a list holds another result than the list that was read first. */
function changedPositions(reference, { results }) {
  const changed = [];
  for (const [position, result] of reference.results.entries()) {
    const other = results[position];
    if (other !== undefined && JSON.stringify(other) !== JSON.stringify(result))
      changed.push(position);
  }
  return changed;
}

const { fleet, isUp } = await startDeployment(record, {
  access: accessCount,
  document: document(1, first.name),
});
const options = { events: 12, firstMs: 30, jitterMs: 150 };
const runners = [
  startRunners(fleet, { first: 1, count: 3, service: first.name, options }),
  startRunners(fleet, { first: 11, count: 3, service: second.name, options }),
];
if (!isUp) await end(fleet, runners, 2);
await sleep(3000);

const lot = newLot(itemCount);
if ((await handIn(fleet, lot)) !== 202) await end(fleet, runners, 2);
await sleep(1000);
const [reference] = await readEverywhere(fleet, lot);
if (reference.results.length !== itemCount) await end(fleet, runners, 2);

if (hasTrouble) {
  const moved = await replaceConfiguration(fleet, 1, document(3, second.name));
  record(`the route moves to ${second.name}: ${moved.status}`);
  if (moved.status !== 200) await end(fleet, runners, 2);
  await sleep(bounds.applyMs + 200);
}
// Another client sends the lot once more, at another node first.
const shuffled = await submitLot(fleet, 2, lot);
record(`lot ${lot.id} sent once more to access 2: ${shuffled.status}`);
await sleep(bounds.settleMs + 1000);
let broken = 0;
for (const list of await readEverywhere(fleet, lot)) {
  const changed = changedPositions(reference, list);
  if (changed.length > 0)
    record(`TWICE at access ${list.access}: other results at positions ${changed.join(" ")}`);
  broken += changed.length;
}
for (const [index, { runs }] of runners.entries())
  for (const { kind, id, runner } of runs)
    if (kind === "begin") record(`service ${index + 1}: ${runner} began item ${id}`);
await end(fleet, runners, broken > 0 ? 1 : 0);
