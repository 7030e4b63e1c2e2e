import { deepEqual, equal, ok } from "node:assert/strict";
import { Given, Then } from "@cucumber/cucumber";
import { published, type VersionedConfiguration } from "@chutewick/control";
import { Feed, Follower, type Change } from "@chutewick/parts";
import { Packr } from "msgpackr";
import { routedConfiguration } from "./routed-configuration.js";

interface World {
  feed: Feed;
  follower: Follower;
  /** Other followers, by the feed index at which they stopped to follow. */
  standing: Map<number, Follower>;
}

const packer = new Packr({ useRecords: false });
const changeCount = 300;
/** Feed index at which the second node stops to follow. */
const lateStopIndex = 251;
const removedKey = "goodbye/gone";

function changesAt(number: number, routes: number): Change[] {
  const value = routedConfiguration(routes, number);
  const record = { mark: number, value, origin: JSON.stringify(value) };
  const changes: Change[] = [["configuration", record]];
  if (number === 10) changes.push([removedKey, { at: 1 }]);
  if (number === 260) changes.push([removedKey, undefined]);
  return changes;
}

function encodeAndDecode<Message>(message: Message): { copy: Message; bytes: number } {
  const bytes = packer.pack(message);
  return { copy: packer.unpack(bytes) as Message, bytes: bytes.byteLength };
}

function givenMissedChanges(this: World, count: number, routes: number): void {
  equal(count, changeCount);
  this.feed = new Feed(published);
  this.follower = new Follower();
  this.standing = new Map();
  for (let number = 1; number <= count + 1; number += 1) {
    this.feed.append(number, changesAt(number, routes));
    if (number === 1) this.follower.receive(encodeAndDecode(this.feed.messageAfter(0)!).copy);
    if (number !== lateStopIndex && number !== 20) continue;
    const follower = new Follower();
    follower.receive(encodeAndDecode(this.feed.messageAfter(0)!).copy);
    this.standing.set(number, follower);
  }
}
Given(
  "a feed that a node follows, and {int} changes of a configuration with {int} routes that the node misses",
  givenMissedChanges,
);

function catchUp(feed: Feed, follower: Follower): number {
  const { copy, bytes } = encodeAndDecode(feed.messageAfter(follower.place)!);
  ok(follower.receive(copy));
  equal(follower.place, feed.place);
  const record = follower.read<VersionedConfiguration>("configuration")!;
  equal(record.mark, changeCount + 1);
  deepEqual(record.value, feed.read<VersionedConfiguration>("configuration")!.value);
  equal(record.origin, undefined);
  equal(follower.read(removedKey), undefined);
  return bytes;
}

function checkOneMessage(this: World, limit: number): void {
  const bytes = catchUp(this.feed, this.follower);
  ok(bytes <= limit, `${bytes} bytes`);
}
Then(
  "all that it misses comes in one message of {int} bytes at most, and it has the newest configuration",
  checkOneMessage,
);

function checkOtherFollowers(this: World): void {
  ok(this.standing.get(20)!.read(removedKey) !== undefined);
  for (const follower of this.standing.values()) catchUp(this.feed, follower);
}
Then(
  "the same holds for a node that missed all but the first 250 changes, and one that missed a record that is gone since",
  checkOtherFollowers,
);
