/** Sample messages of an interface beside our own, by which a process plays its own path before callers come (docs/design.md §13.9). */
import type { IncomingHttpHeaders } from "node:http";
import type { AccessFront } from "../access-desk.js";

/** A front that can tell where it listens. */
export interface SampleFront extends AccessFront {
  /** host:port where callers are served. */
  readonly address: string;
}

/** Sample messages of one interface. */
export interface WarmUpSample {
  /** @param address host:port; port 0 takes a free one */
  front(address: string): SampleFront;
  /** Headers of a caller's request of a stream, without host and length. */
  requestHeaders(number: number): Readonly<Record<string, string>>;
  /** Headers of a runner's answer to a request that came with the headers given. */
  answerHeaders(request: IncomingHttpHeaders): Readonly<Record<string, string>>;
}
