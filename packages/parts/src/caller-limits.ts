import { constants } from "./constants.js";

/** Size and time limits for callers on passages (docs/design.md §13.2). */
export interface CallerLimits {
  /** Bytes of all header lines of one request, with their separators. */
  readonly headerBytes: number;
  /** Bytes of the body of one request. */
  readonly bodyBytes: number;
  /** ms from the first byte of a request, or from connecting, to the end of its headers. */
  readonly headerWait: number;
  /** Minimum time in ms for which an idle connection stays open between two requests. */
  readonly idleWait: number;
}

const defaultLimits: CallerLimits = {
  headerBytes: constants.maxPassHeaderBytes,
  bodyBytes: constants.maxPassBodyBytes,
  headerWait: constants.passHeaderTimeoutMs,
  idleWait: constants.passIdleTimeoutMs,
};

/** Configured limits, completed by the defaults. */
function withDefaults(configured: Partial<CallerLimits> | undefined): CallerLimits {
  return configured === undefined ? defaultLimits : { ...defaultLimits, ...configured };
}

export const callerLimits = { defaults: defaultLimits, withDefaults: withDefaults };
