/** Steps on which control machine sends the registry to a node (docs/design.md §13.8.7). */
import { deepEqual } from "node:assert/strict";
import { ControlZones, NodeHeartbeats, type SessionMessage } from "@chutewick/control";
import { constants, Feed, Sessions, type ChainView, type Member } from "@chutewick/parts";
import { Given, Then } from "@cucumber/cucumber";

interface World {
  view: ChainView;
  zones: ReadonlyMap<string, string>;
}

/** Monotonic time of the heartbeats. */
const NOW_MS = 10_000;

function controlMachines(this: World, list: string): void {
  const zones = new Map<string, string>();
  const members: Member[] = [];
  for (const [, identity, zone] of list.matchAll(/(c\d) in (\w+)/g)) {
    members.push({ identity: identity!, address: `${identity!}:1` });
    zones.set(`${identity!}:1`, zone!);
  }
  this.view = { mark: 1, members };
  this.zones = zones;
}
Given("control machines {string} that know each other's zones", controlMachines);

function heartbeat(zone: string, registryAgeMs: number): SessionMessage {
  const card = {
    identity: `node-in-${zone}`,
    address: "node:1",
    kind: "access",
    zone,
    http: "node:2",
    leaving: false,
    free: true,
    place: 0,
    telling: {},
  } as const;
  return { kind: "session", card, askedAt: NOW_MS, rolled: registryAgeMs };
}

/** Members that answer the heartbeat with a registry that isn't empty. */
function sendersTo(world: World, message: SessionMessage): string[] {
  const senders: string[] = [];
  for (const member of world.view.members) {
    const zones = new ControlZones(member, world.zones.get(member.address));
    for (const [address, zone] of world.zones)
      if (address !== member.address) zones.setZone(address, zone);
    const { messages } = new NodeHeartbeats().answer(message, {
      self: member.identity,
      life: "life",
      view: world.view,
      isMember: true,
      mayGrant: true,
      controls: [],
      zones,
      feed: new Feed(),
      sessions: new Sessions(),
      wall: NOW_MS,
      now: NOW_MS,
    });
    const lease = messages.find((answer) => answer.kind === "lease");
    if (lease !== undefined && lease.roll.nodes.length > 0) senders.push(member.identity);
  }
  return senders;
}

function sendsTo(this: World, sender: string, zone: string): void {
  deepEqual(sendersTo(this, heartbeat(zone, constants.heartbeatIntervalMs)), [sender]);
}
Then("{word} alone sends the registry to a node in {word}", sendsTo);

function oneSendsTo(this: World, zone: string): void {
  deepEqual(sendersTo(this, heartbeat(zone, constants.heartbeatIntervalMs)).length, 1);
}
Then("one of them sends the registry to a node in {word}", oneSendsTo);

function allSendTo(this: World, zone: string): void {
  const members = this.view.members.map(({ identity }) => identity);
  deepEqual(sendersTo(this, heartbeat(zone, constants.heartbeatIntervalMs * 2)), members);
}
Then(
  "all of them send it to a node in {word} that has received none for two heartbeats",
  allSendTo,
);
