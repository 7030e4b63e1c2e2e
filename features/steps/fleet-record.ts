/** Steps on changes while the nodes of the fleet are replaced (docs/design.md §7.4). */
import { deepEqual } from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import type { ControlCommand } from "@chutewick/control";
import { Deployment, configurationOf, type AccessMachine } from "@chutewick/simulator";

/** A deployment whose nodes need leases, so that a majority of them must accept each change. */
interface World {
  deployment: Deployment;
  /** Version of the configuration in force. */
  version: number;
  /** Changes that were not acknowledged in time. */
  broken: string[];
}

/** Time within which an order must be acknowledged (`acknowledgeWithin`). */
const ACKNOWLEDGED_WITHIN_MS = 4_000;
/** Time from the end of a node to the start of its replacement. */
const REPLACEMENT_DELAY_S = 0.3;
const FORMATION_S = 6;
/** Time allowed for a planned stop before the process is killed; access nodes may finish open requests for up to 10 s. */
const STOP_S = 1.5;

function startDeployment(this: World, controls: number, storages: number, accesses: number): void {
  const size = { controls, storages, accesses, losses: 1, goesOnAlone: false };
  const deployment = new Deployment(91, size);
  for (const machine of deployment.machines) machine.start();
  deployment.after(FORMATION_S);
  deployment.founded();
  Object.assign(this, { deployment, version: 0, broken: [] });
  submitChange(this, "formed");
}
Given(
  "a deployment of {int} control machines, {int} storage machines and {int} access nodes that need leases",
  { timeout: 120_000 },
  startDeployment,
);

function submitChange(world: World, moment: string): void {
  const { deployment, version } = world;
  const command: ControlCommand = {
    kind: "put",
    expected: version,
    mark: version + 1,
    value: configurationOf(1),
    word: `change ${version + 1}`,
  };
  const { told: outcome } = deployment.order(command, deployment.one(), ACKNOWLEDGED_WITHIN_MS);
  if (outcome?.kind === "confirmed" && outcome.value.kind === "IN_FORCE")
    world.version = version + 1;
  else world.broken.push(`${moment}: ${JSON.stringify(outcome)}`);
}

/** Ends all nodes at once; in a planned stop they announce it first. */
function end({ deployment }: World, nodes: readonly AccessMachine[], isPlanned: boolean): void {
  if (isPlanned) {
    for (const node of nodes) node.leave();
    deployment.after(STOP_S);
  }
  for (const node of nodes) {
    node.kill(true);
    node.retired = true;
  }
}

function replace({ deployment }: World, node: AccessMachine): void {
  deployment.addAccess(`${node.name}-new`, ["control-1", "control-2", "control-3"]).start();
}

function replaceInTurn(this: World, rounds: number, seconds: number, how: string): void {
  const { deployment } = this;
  for (let round = 1; round <= rounds; round += 1)
    for (const node of deployment.accesses.filter(isAlive)) {
      const since = deployment.world.now;
      end(this, [node], how === "stop as planned");
      deployment.after(REPLACEMENT_DELAY_S);
      replace(this, node);
      deployment.world.run(Math.max(deployment.world.now, since + seconds * 1_000));
      submitChange(this, `after ${node.name}`);
    }
}
When(
  /^each access node in turn is replaced elsewhere, (\d+) times, one every (\d+) s, after they (stop as planned|are lost)$/,
  { timeout: 300_000 },
  replaceInTurn,
);

function isAlive({ alive }: AccessMachine): boolean {
  return alive;
}

function stopWithoutReplacement(this: World, count: number): void {
  end(this, this.deployment.accesses.slice(0, count), true);
  this.deployment.after(REPLACEMENT_DELAY_S);
}
When(
  "{int} access nodes stop as planned without replacement",
  { timeout: 120_000 },
  stopWithoutReplacement,
);

function loseAndReplace(this: World, count: number, seconds: number, laterCount: number): void {
  const { deployment } = this;
  const lost = deployment.accesses.slice(0, count);
  end(this, lost, false);
  deployment.after(REPLACEMENT_DELAY_S);
  for (const node of lost) replace(this, node);
  deployment.after(seconds);
  submitChange(this, "after the replacement");
  end(this, deployment.accesses.slice(-laterCount), false);
  deployment.after(seconds);
}
When(
  "{int} access nodes are lost and replaced elsewhere, and {int} s later {int} of the remaining ones are lost",
  { timeout: 300_000 },
  loseAndReplace,
);

function allAcknowledged(this: World): void {
  submitChange(this, "last");
  deepEqual(this.broken, []);
}
Then(
  "each change submitted meanwhile and a final one were acknowledged within 4 s",
  { timeout: 120_000 },
  allAcknowledged,
);
