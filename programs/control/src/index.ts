import { ControlProcess } from "@chutewick/control";
import { command } from "cmd-ts";
import { flags, run } from "@chutewick/shell";

/** Runs a control machine in this process. */
function start(args: Parameters<typeof run>[2]): Promise<void> {
  return run("control", true, args, ControlProcess.open);
}

export const control = command({
  name: "control",
  description: "run one control machine",
  args: flags,
  handler: start,
});
