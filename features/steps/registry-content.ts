/** Steps on what the registry tells nodes of each kind (docs/design.md §13.8.7). */
import { deepEqual } from "node:assert/strict";
import { Given, Then } from "@cucumber/cucumber";
import { Sessions, type NodeCard } from "@chutewick/parts";

interface World {
  sessions: Sessions;
}

/** ms. Moment of all words. */
const NOW = 1_000;

function cardOf(kind: NodeCard["kind"]): NodeCard {
  const runner = {
    id: "reader-1",
    incarnation: 1,
    url: "reader-1:1",
    kind: "plain",
    models: [],
    labels: {},
    seats: 4,
    zone: "a",
    burden: 0,
    age: 0,
  } as const;
  return {
    identity: `the ${kind} node`,
    address: `${kind}:1`,
    kind,
    zone: "a",
    http: `${kind}:2`,
    leaving: false,
    free: true,
    place: 0,
    telling: kind === "access" ? { runners: [runner] } : {},
  };
}

function heardOfBoth(this: World): void {
  this.sessions = new Sessions();
  for (const kind of ["access", "storage"] as const)
    this.sessions.heard(cardOf(kind), NOW, NOW, 0, 0, NOW);
}
Given(
  "a control machine that heard of an access node with a runner and of a storage node",
  heardOfBoth,
);

function names(this: World, kind: string, nodes: number, runners: number): void {
  const registry = this.sessions.registryForNodes(NOW, `the ${kind} node`);
  deepEqual([registry.nodes.length, registry.runners.length], [nodes, runners]);
}
Then("the registry for the {word} node names {int} nodes and {int} runner(s)", names);
