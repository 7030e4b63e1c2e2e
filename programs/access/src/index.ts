import { AccessProcess } from "@chutewick/data";
import { command } from "cmd-ts";
import { flags, run } from "@chutewick/shell";

/** Thin program: an access node. */
function start(given: Parameters<typeof run>[2]): Promise<void> {
  return run("access", false, given, AccessProcess.open);
}

export const access = command({
  name: "access",
  description: "run one access node",
  args: flags,
  handler: start,
});
