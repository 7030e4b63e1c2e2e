/** Of the record that closes a life of a runner. */
function deregistrationKey(runner: string): string {
  return `goodbye/${runner}`;
}

/** Keys and prefixes of keys of the control records. */
export const keys = {
  fleet: "fleet",
  configuration: "configuration",
  tenants: "tenants/",
  queue: "queue/",
  standing: "standing/",
  goodbye: "goodbye/",
  emptying: "emptying/",
  taken: "taken",
  goodbyeKey: deregistrationKey,
};
