import { constants } from "./constants.js";

/** What a caller on passages may send, and how long it may take or rest (docs/design.md §13.2). */
export interface CallerLimits {
  /** bytes. All header lines of one request, with their separators. */
  readonly headerBytes: number;
  /** bytes. Body of one request. */
  readonly bodyBytes: number;
  /** ms. From the first byte of a request, or from connecting, to the end of its headers. */
  readonly headerWait: number;
  /** ms. A connection stays open at least this long between two requests. */
  readonly idleWait: number;
}

const usual: CallerLimits = {
  headerBytes: constants.passHeadersMost,
  bodyBytes: constants.passBodyMost,
  headerWait: constants.passHeaderWait,
  idleWait: constants.passIdle,
};

/** The limits that a configuration tells, and the usual ones for those that it leaves out. */
function withUsual(told: Partial<CallerLimits> | undefined): CallerLimits {
  return told === undefined ? usual : { ...usual, ...told };
}

export const callerLimits = { usual, withUsual };
