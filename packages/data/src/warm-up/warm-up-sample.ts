/** Sample messages of a foreign interface, with which a process exercises its own request path before callers connect (docs/design.md §13.9). */
import type { IncomingHttpHeaders } from "node:http";
import type { AccessAdapter } from "../access-desk.js";

/** An access adapter that exposes its listening address. */
export interface SampleAdapter extends AccessAdapter {
  /** Listening address for callers, as host:port. */
  readonly address: string;
}

/** Sample messages of one interface. */
export interface WarmUpSample {
  /** @param address host:port; port 0 selects a free one */
  accessAdapter(address: string): SampleAdapter;
  /** Headers of a caller's streaming request, without host and length. */
  requestHeaders(number: number): Readonly<Record<string, string>>;
  /** Headers of a runner's response to a request with the given headers. */
  answerHeaders(request: IncomingHttpHeaders): Readonly<Record<string, string>>;
}
