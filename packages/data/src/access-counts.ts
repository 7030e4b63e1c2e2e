/** Counters of an access node since its start; /status and /metrics show them under these names, in this order. */
export interface AccessCounts {
  /** Live requests that arrived. */
  live: number;
  /** Live requests with a complete result. */
  done: number;
  /** Requests refused with the promise that they did not run. */
  notRun: number;
  /** Live requests that failed and may have run. */
  mayHaveRun: number;
  /** Live requests whose runner reported a failure. */
  runnerFailed: number;
  /** Prompts dequeued, followed by their outcomes. */
  popped: number;
  solved: number;
  troubled: number;
  givenBack: number;
  broken: number;
}

/** Counters of a node that has just started. */
export function newAccessCounts(): AccessCounts {
  return {
    live: 0,
    done: 0,
    notRun: 0,
    mayHaveRun: 0,
    runnerFailed: 0,
    popped: 0,
    solved: 0,
    troubled: 0,
    givenBack: 0,
    broken: 0,
  };
}
