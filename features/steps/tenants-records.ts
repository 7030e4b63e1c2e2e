/** Steps of features/tenants.feature on control's records and the feed (docs/design.md §13.10). */
import { deepEqual, equal, ok } from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import {
  ControlStateMachine,
  configurationIn,
  keys,
  published,
  type Configuration,
  type ControlCommand,
} from "@chutewick/control";
import { Feed, Follower, Ledger } from "@chutewick/parts";
import { Packr } from "msgpackr";
import { routedConfiguration } from "./routed-configuration.js";

type Tenants = NonNullable<Configuration["tenants"]>;

interface World {
  ledger: Ledger;
  machine: ControlStateMachine;
  feed: Feed;
  node: Follower;
  passages: number;
  change: number;
  tenants: Tenants;
  isDeaf: boolean;
  /** Size of the last message to the node. */
  sentBytes: number;
}

const packer = new Packr({ useRecords: false });

/** Confirms what the ledger changed, and tells the node, as a wire does. */
function confirm(world: World): void {
  world.feed.append(world.feed.place + 1, world.ledger.drainChanges());
  tell(world);
}

function tell(world: World): void {
  const message = world.feed.messageAfter(world.node.place);
  if (world.isDeaf || message === undefined) return;
  const packed = packer.pack(message);
  world.sentBytes = packed.length;
  world.node.receive(packer.unpack(packed) as typeof message);
}

function enter(world: World, command: ControlCommand): void {
  const told = world.machine.apply(world.ledger, command, 1);
  equal(told.kind, "IN_FORCE", JSON.stringify(told));
  confirm(world);
}

function put(world: World, tenants: Tenants | undefined): void {
  const value = {
    ...routedConfiguration(world.passages, world.change),
    ...(tenants === undefined ? {} : { tenants }),
  };
  enter(world, { kind: "put", expected: undefined, value });
}

function recordsAndNode(this: World, passages: number, tenants: number): void {
  this.ledger = new Ledger();
  this.machine = new ControlStateMachine();
  this.feed = new Feed(published);
  this.node = new Follower();
  this.passages = passages;
  this.change = 0;
  this.isDeaf = false;
  this.tenants = {};
  for (let number = 0; number < tenants; number += 1)
    this.tenants[`tenant-${number}`] = {
      credentials: [`credential-of-tenant-${number}-a`, `credential-of-tenant-${number}-b`],
    };
  put(this, this.tenants);
}
Given(
  "control's records with {int} passages and {int} tenants, and a node that follows them",
  recordsAndNode,
);

function hearsNothing(this: World): void {
  this.isDeaf = true;
}
Given("the node hears nothing", hearsNothing);

function hearsAgain(this: World): void {
  this.isDeaf = false;
  tell(this);
}
When("the node hears control again", hearsAgain);

function passageChanged(this: World): void {
  this.change += 1;
  put(this, this.tenants);
}
When("a passage is changed", passageChanged);

function credentialAdded(this: World): void {
  const { "tenant-0": first, ...others } = this.tenants;
  const credentials = [...first!.credentials, `added-${this.change}`];
  this.tenants = { "tenant-0": { ...first, credentials }, ...others };
  passageChanged.call(this);
}
When("a credential is added and a passage changed", credentialAdded);

function patched(this: World): void {
  const name = Object.keys(configurationIn(this.ledger).value.passages)[0]!;
  const change = { passages: { [name]: { guard: 4_321 } } };
  enter(this, { kind: "patch", expected: undefined, change });
}
When("a patch changes a passage", patched);

function withoutTenants(this: World): void {
  put(this, undefined);
}
When("the configuration is entered without tenants", withoutTenants);

function nobodyNamed(this: World): void {
  this.tenants = {};
  put(this, this.tenants);
}
When("the configuration is entered with a list of no tenants", nobodyNamed);

/** As the code wrote it before tenants had a record of their own. */
function recordHoldsThem(this: World): void {
  this.ledger.put(keys.configuration, configurationIn(this.ledger));
  for (const [key] of [...this.ledger.under(keys.tenants)]) this.ledger.remove(key);
  confirm(this);
}
Given("the configuration's record holds the tenants itself", recordHoldsThem);

function knowsThem(this: World, count: string): void {
  const atControl = configurationIn(this.ledger);
  const atNode = configurationIn(this.node);
  equal(atNode.mark, atControl.mark);
  deepEqual(atNode.value.tenants, atControl.value.tenants);
  const { tenants } = atNode.value;
  if (count === "no list") return equal(tenants, undefined);
  deepEqual(tenants, this.tenants);
  equal(Object.keys(this.tenants).length, Number(count));
  equal(configurationIn(this.node), atNode, "the same object while nothing changes");
}
Then(/^the node knows the tenants of control's configuration, (\d+|no list) of them$/, knowsThem);

function sentLess(this: World, bytes: number): void {
  ok(this.sentBytes < bytes, String(this.sentBytes));
}
Then("the node was sent less than {int} bytes", sentLess);
