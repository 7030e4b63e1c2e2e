import { deepEqual, equal, ok } from "node:assert/strict";
import { Given, Then } from "@cucumber/cucumber";
import { published, type MarkedConfiguration } from "@chutewick/control";
import { Feed, Follower, type Change } from "@chutewick/parts";
import { Packr } from "msgpackr";
import { routedConfiguration } from "./routed-configuration.js";

interface World {
  feed: Feed;
  follower: Follower;
  /** What nodes that stand at some place of the feed hold. */
  standing: Map<number, Follower>;
}

const packer = new Packr({ useRecords: false });
const changeCount = 300;
/** The place at which the second node stops to follow. */
const lateStop = 251;
const goneKey = "goodbye/gone";

function changesAt(number: number, routes: number): Change[] {
  const value = routedConfiguration(routes, number);
  const record = { mark: number, value, origin: JSON.stringify(value) };
  const changes: Change[] = [["configuration", record]];
  if (number === 10) changes.push([goneKey, { at: 1 }]);
  if (number === 260) changes.push([goneKey, undefined]);
  return changes;
}

function overTheWire<Message>(message: Message): { copy: Message; bytes: number } {
  const bytes = packer.pack(message);
  return { copy: packer.unpack(bytes) as Message, bytes: bytes.byteLength };
}

function missed(this: World, count: number, routes: number): void {
  equal(count, changeCount);
  this.feed = new Feed(published);
  this.follower = new Follower();
  this.standing = new Map();
  for (let number = 1; number <= count + 1; number += 1) {
    this.feed.take(number, changesAt(number, routes));
    if (number === 1) this.follower.receive(overTheWire(this.feed.since(0)!).copy);
    if (number !== lateStop && number !== 20) continue;
    const follower = new Follower();
    follower.receive(overTheWire(this.feed.since(0)!).copy);
    this.standing.set(number, follower);
  }
}
Given(
  "a feed that a node follows, and {int} changes of a configuration with {int} routes that the node misses",
  missed,
);

function takesAll(feed: Feed, follower: Follower): number {
  const { copy, bytes } = overTheWire(feed.since(follower.place)!);
  ok(follower.receive(copy));
  equal(follower.place, feed.place);
  const held = follower.read<MarkedConfiguration>("configuration")!;
  equal(held.mark, changeCount + 1);
  deepEqual(held.value, feed.read<MarkedConfiguration>("configuration")!.value);
  equal(held.origin, undefined);
  equal(follower.read(goneKey), undefined);
  return bytes;
}

function inOneMessage(this: World, most: number): void {
  const bytes = takesAll(this.feed, this.follower);
  ok(bytes <= most, `${bytes} bytes`);
}
Then(
  "all that it misses comes in one message of {int} bytes at most, and it has the newest configuration",
  inOneMessage,
);

function othersToo(this: World): void {
  ok(this.standing.get(20)!.read(goneKey) !== undefined);
  for (const follower of this.standing.values()) takesAll(this.feed, follower);
}
Then(
  "the same holds for a node that missed all but the first 250 changes, and one that missed a record that is gone since",
  othersToo,
);
