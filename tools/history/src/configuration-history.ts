import { configurationRegister, type RegisterOperation } from "./configuration-register.js";
import { replicaProgress } from "./replica-progress.js";
import { judge, type Fault } from "./report.js";

/** Judges everything that operators and replicas saw of the configuration; none where all of it is allowed. */
export function judgeConfiguration(history: readonly RegisterOperation[]): Fault[] {
  const faults = judge(configurationRegister(), history);
  for (const observations of observationsByReplica(history).values())
    faults.push(...judge(replicaProgress, observations));
  return faults;
}

function observationsByReplica(
  history: readonly RegisterOperation[],
): ReadonlyMap<string, RegisterOperation[]> {
  const observations = new Map<string, RegisterOperation[]>();
  for (const operation of history) {
    const { input } = operation;
    if (input.kind !== "observe") continue;
    const ofReplica = observations.get(input.replica);
    if (ofReplica === undefined) observations.set(input.replica, [operation]);
    else ofReplica.push(operation);
  }
  return observations;
}
