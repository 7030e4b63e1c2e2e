import { AccessProcess } from "@chutewick/data";
import { command } from "cmd-ts";
import { flags, run } from "@chutewick/shell";

/** Runs an access node in this process. */
function start(args: Parameters<typeof run>[2]): Promise<void> {
  return run("access", false, args, AccessProcess.open);
}

export const access = command({
  name: "access",
  description: "run one access node",
  args: flags,
  handler: start,
});
