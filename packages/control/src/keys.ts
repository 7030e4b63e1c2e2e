/** Keys of the records in control state. They are stored on disk, so they must not change. */
import type { ActName } from "./duties/duty-acts.js";

/** Key of the deregistration of a runner. */
function deregistrationKey(runner: string): string {
  return `goodbye/${runner}`;
}

/** Key of the record of a duty's subject: its holder, fencing number and acts. */
function dutyKey({ duty, subject }: Pick<ActName, "duty" | "subject">): string {
  return `duty/${duty}/${subject}`;
}

/** Key of the content of an open act. */
function actKey({ duty, subject, number }: ActName): string {
  return `act/${duty}/${subject}/${number}`;
}

/** Keys, and prefixes of keys, of the records in control state. */
export const keys = {
  fleet: "fleet",
  configuration: "configuration",
  tenants: "tenants/",
  queue: "queue/",
  /** Prefix of queue quotas. */
  standing: "standing/",
  /** Prefix of deregistrations of runners. */
  goodbye: "goodbye/",
  /** Prefix of drains of storage machines. */
  emptying: "emptying/",
  /** The log of accepted orders. */
  taken: "taken",
  deregistrationKey: deregistrationKey,
  duty: "duty/",
  act: "act/",
  dutyKey,
  actKey,
};
