/** Steps on the parser of the event streams of runners. */
import { deepEqual, equal, ok } from "node:assert/strict";
import { Given, Then, When } from "@cucumber/cucumber";
import { EventBudget, EventStreamParser, EventTooLargeError } from "@chutewick/data";
import fc from "fast-check";

interface World {
  budget: EventBudget;
  parsers: EventStreamParser[];
  failed: number;
  /** Processor time of a stream and of the longer one, in microseconds. */
  processorTime: { readonly short: number; readonly long: number };
}

const stepOptions = { timeout: 120_000 };
const largeMb = 100_000;
const megabyte = 1_000_000;
const lengthFactor = 8;
/** Measurements of one stream; the shortest counts, as the machine may be busy. */
const measurements = 5;

/** The events of a stream as their texts, and whether an incomplete one is left. */
function eventsOf(chunks: readonly Buffer[]): { events: string[]; hasRest: boolean } {
  const parser = new EventStreamParser(new EventBudget(largeMb));
  const events: string[] = [];
  for (const chunk of chunks)
    for (const { bytes } of parser.push(chunk)) events.push(Buffer.from(bytes).toString());
  return { events, hasRest: parser.hasIncompleteEvent };
}

/** The events of a text, cut at each first pair of line ends. */
function expectedEvents(text: string): { events: string[]; hasRest: boolean } {
  const events: string[] = [];
  let rest = text;
  for (let end = endOf(rest); end > 0; end = endOf(rest)) {
    events.push(rest.slice(0, end));
    rest = rest.slice(end);
  }
  return { events, hasRest: /[^\r\n]/.test(rest) };
}

function endOf(text: string): number {
  const found = /\n\n|\r\n\r\n/.exec(text);
  return found === null ? 0 : found.index + found[0].length;
}

const streams = fc.record({
  text: fc
    .array(fc.constantFrom("\n", "\n\n", "\r\n", "\r\n\r\n", "\r", "id: 1", "data: a"), {
      maxLength: 30,
    })
    .map((parts) => parts.join("")),
  cuts: fc.array(fc.nat({ max: 80 }), { maxLength: 12 }),
});

function cutAt(bytes: Buffer, cuts: readonly number[]): Buffer[] {
  const chunks: Buffer[] = [];
  let start = 0;
  for (const cut of [...cuts, bytes.length].sort((one, other) => one - other)) {
    chunks.push(bytes.subarray(start, cut));
    start = Math.max(start, cut);
  }
  return chunks;
}

function drawnStreams(): void {
  const property = fc.property(streams, ({ text, cuts }) => {
    const found = eventsOf(cutAt(Buffer.from(text), cuts));
    deepEqual(found, expectedEvents(text));
  });
  fc.assert(property, { seed: 50, numRuns: 5_000 });
}
When("drawn streams are cut at drawn places", drawnStreams);

Then("each gives the events that it gives in one piece", () => undefined);

function inChunks(chunkBytes: number, count: number): Buffer[] {
  return Array.from({ length: count }, () => Buffer.alloc(chunkBytes, "x"));
}

/** Streams by the words of the scenarios, of a length that grows with the factor. */
const streamsOf: Readonly<Record<string, (factor: number) => Buffer[]>> = {
  "bytes without an event in chunks of 64 KiB": (factor) => inChunks(65_536, 32 * factor),
  "bytes without an event in chunks of 1 B": (factor) => inChunks(1, 20_000 * factor),
  "events of 2 bytes in one chunk": (factor) => [Buffer.alloc(20_000 * factor, "\n")],
  "events of 2 bytes before a carriage return": (factor) => [
    Buffer.concat([Buffer.alloc(20_000 * factor, "\n"), Buffer.from("\r")]),
  ],
};

function processorTimeOf(chunks: readonly Buffer[]): number {
  let shortest = Infinity;
  for (let turn = 0; turn < measurements; turn += 1) {
    const parser = new EventStreamParser(new EventBudget(largeMb));
    const before = process.cpuUsage();
    for (const chunk of chunks) parser.push(chunk);
    shortest = Math.min(shortest, process.cpuUsage(before).user);
  }
  return shortest;
}

function areParsed(this: World, what: string): void {
  const short = processorTimeOf(streamsOf[what]!(1));
  this.processorTime = { short, long: processorTimeOf(streamsOf[what]!(lengthFactor)) };
}
When(/^a stream of (.+) is parsed, and one 8 times as long$/, stepOptions, areParsed);

/** The clock of the processor time is coarse beside a short stream. */
const clockMicroseconds = 4_000;

function isLinear(this: World, factor: number): void {
  const { short, long } = this.processorTime;
  ok(long <= factor * (short + clockMicroseconds), `${short} and ${long} microseconds`);
}
Then("the longer one takes at most {int} times the processor time", isLinear);

function aProcess(this: World, megabytes: number): void {
  this.budget = new EventBudget(megabytes);
}
Given("a process of {int} MB", aProcess);

function parsesAtOnce(this: World, count: number, megabytes: number): void {
  this.parsers = Array.from({ length: count }, () => new EventStreamParser(this.budget));
  const failed = new Set<EventStreamParser>();
  const chunk = Buffer.alloc(megabyte / 10, "x");
  for (let sent = 0; sent < megabytes * 10; sent += 1)
    for (const parser of this.parsers) if (!failed.has(parser)) pushOrFail(parser, chunk, failed);
  this.failed = failed.size;
}
When("it parses {int} streams of {int} MB without an event at once", parsesAtOnce);

/** As the connections do: a run whose event is too large ends, and its bytes are discarded. */
function pushOrFail(
  parser: EventStreamParser,
  chunk: Buffer,
  failed: Set<EventStreamParser>,
): void {
  try {
    parser.push(chunk);
  } catch (error) {
    ok(error instanceof EventTooLargeError);
    parser.discard();
    failed.add(parser);
  }
}

function someFail(this: World, megabytes: number): void {
  ok(this.failed > 0 && this.failed < this.parsers.length, `${this.failed} failed`);
  ok(this.budget.bytes <= megabytes * megabyte, `${this.budget.bytes} bytes`);
}
Then("some of them fail, and the rest holds at most {int} MB", someFail);

function allEnd(this: World): void {
  for (const parser of this.parsers) parser.discard();
}
When("all of them end", allEnd);

function nothingHeld(this: World): void {
  equal(this.budget.bytes, 0);
}
Then("nothing is held", nothingHeld);
