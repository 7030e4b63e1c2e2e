import { deepEqual } from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import type { ControlCommand } from "@chutewick/control";
import { Deployment, configurationOf, type AccessMachine } from "@chutewick/simulator";

/** Replacements of nodes that need leases, and the changes that a majority of them must take. */
interface World {
  deployment: Deployment;
  version: number;
  broken: string[];
}

/** ms. Within what an order is told on the deployments (acknowledgeWithin). */
const TOLD_WITHIN = 4_000;
/** s. From the end of a node to the start of the one in its place. */
const REPLACED_AFTER = 0.3;
const FORMED_AFTER = 6;
/** s. Access nodes that stop finish what is under way for up to 10 s. */
const STOPPING_LASTS = 1.5;

function deploymentOf(this: World, controls: number, storages: number, accesses: number): void {
  const size = { controls, storages, accesses, losses: 1, goesOnAlone: false };
  const deployment = new Deployment(91, size);
  for (const machine of deployment.machines) machine.start();
  deployment.after(FORMED_AFTER);
  deployment.founded();
  Object.assign(this, { deployment, version: 0, broken: [] });
  change(this, "formed");
}
Given(
  "a deployment of {int} control machines, {int} storage machines and {int} access nodes that need leases",
  { timeout: 120_000 },
  deploymentOf,
);

function change(world: World, moment: string): void {
  const { deployment, version } = world;
  const command: ControlCommand = {
    kind: "put",
    expected: version,
    mark: version + 1,
    value: configurationOf(1),
    word: `change ${version + 1}`,
  };
  const { told } = deployment.order(command, deployment.one(), TOLD_WITHIN);
  if (told?.kind === "confirmed" && told.value.kind === "IN_FORCE") world.version = version + 1;
  else world.broken.push(`${moment}: ${JSON.stringify(told)}`);
}

/** All of them at once; those that stop as planned say so first. */
function end({ deployment }: World, nodes: readonly AccessMachine[], isPlanned: boolean): void {
  if (isPlanned) {
    for (const node of nodes) node.leave();
    deployment.after(STOPPING_LASTS);
  }
  for (const node of nodes) {
    node.kill(true);
    node.retired = true;
  }
}

function replace({ deployment }: World, node: AccessMachine): void {
  deployment.addAccess(`${node.name}-new`, ["control-1", "control-2", "control-3"]).start();
}

function replacedInTurn(this: World, rounds: number, seconds: number, how: string): void {
  const { deployment } = this;
  for (let round = 1; round <= rounds; round += 1)
    for (const node of deployment.accesses.filter(isAlive)) {
      const since = deployment.world.now;
      end(this, [node], how === "stop as planned");
      deployment.after(REPLACED_AFTER);
      replace(this, node);
      deployment.world.run(Math.max(deployment.world.now, since + seconds * 1_000));
      change(this, `after ${node.name}`);
    }
}
When(
  /^each access node in turn is replaced elsewhere, (\d+) times, one every (\d+) s, after they (stop as planned|are lost)$/,
  { timeout: 300_000 },
  replacedInTurn,
);

function isAlive({ alive }: AccessMachine): boolean {
  return alive;
}

function stopForGood(this: World, many: number): void {
  end(this, this.deployment.accesses.slice(0, many), true);
  this.deployment.after(REPLACED_AFTER);
}
When("{int} access nodes stop as planned for good", { timeout: 120_000 }, stopForGood);

function lostAtOnce(this: World, many: number, seconds: number, less: number): void {
  const { deployment } = this;
  const lost = deployment.accesses.slice(0, many);
  end(this, lost, false);
  deployment.after(REPLACED_AFTER);
  for (const node of lost) replace(this, node);
  deployment.after(seconds);
  change(this, "after the replacement");
  end(this, deployment.accesses.slice(-less), false);
  deployment.after(seconds);
}
When(
  "{int} access nodes are lost and replaced elsewhere, and {int} s later {int} of those that are there are lost",
  { timeout: 300_000 },
  lostAtOnce,
);

function changesTold(this: World): void {
  change(this, "last");
  deepEqual(this.broken, []);
}
Then(
  "each change that was entered meanwhile and a last one were told within 4 s",
  { timeout: 120_000 },
  changesTold,
);
