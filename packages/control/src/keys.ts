import type { ActName } from "./duties/duty-acts.js";

/** Of the record that closes a life of a runner. */
function deregistrationKey(runner: string): string {
  return `goodbye/${runner}`;
}

/** Of the record of a duty's subject: its holder, fence and acts. */
function dutyKey({ duty, subject }: Pick<ActName, "duty" | "subject">): string {
  return `duty/${duty}/${subject}`;
}

/** Of what an open act says. */
function actKey({ duty, subject, number }: ActName): string {
  return `act/${duty}/${subject}/${number}`;
}

/** Keys and prefixes of keys of the control records. */
export const keys = {
  fleet: "fleet",
  configuration: "configuration",
  tenants: "tenants",
  queue: "queue/",
  standing: "standing/",
  goodbye: "goodbye/",
  emptying: "emptying/",
  taken: "taken",
  goodbyeKey: deregistrationKey,
  duty: "duty/",
  act: "act/",
  dutyKey,
  actKey,
};
