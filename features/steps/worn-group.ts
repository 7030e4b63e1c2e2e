import { equal, ok } from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import type { ControlOutcome } from "@chutewick/control";
import { Deployment, type ControlMachine, type Machine } from "@chutewick/simulator";
import { routedConfiguration } from "./routed-configuration.js";

interface World {
  group: WornGroup;
}

/** ms. */
const lookEvery = 50;
const orderPatience = 12_000;
const retryAfter = 100;

/** A control group after hundreds of changes, whose members are restarted, wiped and replaced one after another. */
class WornGroup {
  readonly deployment = new Deployment(7, { controls: 3, storages: 2, accesses: 1, losses: 1 });
  readonly routes: number;
  readonly broken: string[] = [];
  /** ms. The longest that a machine took until it was up to date and counted on. */
  slowest = 0;
  #acknowledged = 0;

  constructor(routes: number) {
    this.routes = routes;
    for (const machine of this.deployment.machines) machine.start();
    this.deployment.after(8);
    this.deployment.founded();
  }

  change(): void {
    const mark = this.#acknowledged + 1;
    const value = routedConfiguration(this.routes, mark);
    const command = {
      kind: "put",
      expected: this.#acknowledged,
      mark,
      value,
      origin: JSON.stringify(value),
    } as const;
    /** A machine that has just started says at once that it reaches no majority; the operator goes on to another one. */
    const since = this.deployment.world.now;
    let { told } = this.deployment.order(command, this.deployment.one(), orderPatience);
    while (told?.kind === "not-run" && this.deployment.world.now < since + orderPatience) {
      this.deployment.world.run(this.deployment.world.now + retryAfter);
      ({ told } = this.deployment.order(command, this.deployment.one(), orderPatience));
    }
    if (isInForce(told)) this.#acknowledged = mark;
    else this.broken.push(`change ${mark}: ${JSON.stringify(told)}`);
    this.#look();
  }

  changes(count: number): void {
    for (let number = 0; number < count; number += 1) this.change();
  }

  restart(machine: ControlMachine): void {
    machine.kill(true);
    this.deployment.after(0.5);
    machine.start();
  }

  wipe(machine: ControlMachine): void {
    machine.kill(true);
    machine.wipe();
    this.deployment.after(0.5);
    machine.start();
  }

  replace(machine: ControlMachine): ControlMachine {
    machine.kill(true);
    machine.wipe();
    machine.retired = true;
    /** A new machine is told of those that stand when its settings are written. */
    const other = this.deployment.addControl(`${machine.name}-new`, this.deployment.members);
    this.deployment.founded();
    this.deployment.after(0.5);
    other.start();
    return other;
  }

  /** Changes go on until it is a member and holds the newest one. */
  awaitUpToDate(machine: ControlMachine): void {
    const since = this.deployment.world.now;
    while (!this.#isUpToDate(machine)) {
      if (this.deployment.world.now > since + 20_000) {
        this.broken.push(`${machine.name} is not up to date after 20 s`);
        return;
      }
      this.deployment.world.run(this.deployment.world.now + lookEvery);
      this.#look();
    }
    this.slowest = Math.max(this.slowest, this.deployment.world.now - since);
  }

  awaitNode(machine: Machine, mark: () => number): void {
    const since = this.deployment.world.now;
    while (mark() < this.#acknowledged && this.deployment.world.now < since + 20_000)
      this.deployment.world.run(this.deployment.world.now + lookEvery);
    if (mark() < this.#acknowledged) this.broken.push(`${machine.name} stands at ${mark()}`);
    this.slowest = Math.max(this.slowest, this.deployment.world.now - since);
  }

  get serving(): ControlMachine[] {
    const found: ControlMachine[] = [];
    for (const address of this.deployment.members)
      for (const machine of this.deployment.live)
        if (machine.address === address) found.push(machine);
    return found;
  }

  #isUpToDate({ core }: ControlMachine): boolean {
    const head = this.deployment.head?.core;
    return (
      head !== undefined &&
      head.view!.mark === core.view?.mark &&
      this.deployment.members.length === 3 &&
      core.place >= head.place &&
      this.#markAt(core) === this.#acknowledged
    );
  }

  #markAt(core: ControlMachine["core"]): unknown {
    return core.status(this.deployment.world.now)["configuration"];
  }

  #look(): void {
    const { head } = this.deployment;
    if (head === undefined || head.core.place === 0) return;
    const mark = this.#markAt(head.core) as number;
    if (mark < this.#acknowledged)
      this.broken.push(`head ${head.name} has ${mark}, ${this.#acknowledged} was acknowledged`);
  }
}

function isInForce(outcome: ControlOutcome | undefined): boolean {
  return outcome?.kind === "confirmed" && outcome.value.kind === "IN_FORCE";
}

function wornGroup(this: World, changes: number, routes: number): void {
  this.group = new WornGroup(routes);
  this.group.changes(changes);
}
Given(
  "a control group of 3 with 2 storage machines and an access machine, and {int} changes of {int} routes, one after another",
  wornGroup,
);

function eachInTurn(this: World): void {
  const { group } = this;
  for (let number = 0; number < 3; number += 1) {
    const machine = group.serving[number]!;
    group.restart(machine);
    group.changes(2);
    group.awaitUpToDate(machine);
    group.wipe(machine);
    group.changes(2);
    group.awaitUpToDate(machine);
    const other = group.replace(machine);
    group.changes(2);
    group.awaitUpToDate(other);
  }
}
When(
  "each member in turn is restarted, loses its disk, and is replaced elsewhere, while changes go on",
  eachInTurn,
);

function twoInARow(this: World): void {
  const { group } = this;
  const [first, second] = group.serving;
  group.restart(first!);
  group.restart(second!);
  group.changes(2);
  group.awaitUpToDate(first!);
  group.awaitUpToDate(second!);
}
When("two of them are restarted in a row", twoInARow);

function nodesAway(this: World, count: number): void {
  const { group } = this;
  const { deployment } = group;
  const access = deployment.accesses[0]!;
  const storage = deployment.storages[0]!;
  deployment.world.isolate(access.address);
  deployment.world.isolate(storage.address);
  deployment.after(3);
  group.changes(count);
  deployment.world.mend();
  function accessMark(): number {
    return deployment.mark(access);
  }
  function storageMark(): number {
    return storage.core.membership.configuration.mark;
  }
  group.awaitNode(access, accessMark);
  group.awaitNode(storage, storageMark);
}
When("a storage and the access machine were cut off for {int} changes", nodesAway);

function upToDate(this: World, seconds: number): void {
  const { broken, slowest } = this.group;
  equal(broken.length, 0, broken.slice(0, 4).join("; "));
  ok(slowest <= seconds * 1_000, `${slowest} ms`);
}
Then(
  "each is up to date and counted on within {int} s, and no head was seen with an older configuration than acknowledged",
  upToDate,
);
