/** What an access node counted since its start; /status and /metrics show it under these names, in this order. */
export interface AccessCounts {
  /** Live requests that arrived. */
  live: number;
  /** Live requests with a whole result. */
  done: number;
  /** Requests refused with the promise that they did not run. */
  notRun: number;
  mayHaveRun: number;
  runnerFailed: number;
  /** Prompts drawn from queues, and how they ended. */
  popped: number;
  solved: number;
  troubled: number;
  givenBack: number;
  broken: number;
}

/** Counts of a node that has just started. */
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
