import { ControlProcess } from "@chutewick/control";
import { command } from "cmd-ts";
import { flags, run } from "@chutewick/shell";

/** Thin program: a control machine. */
function start(given: Parameters<typeof run>[2]): Promise<void> {
  return run("control", true, given, ControlProcess.open);
}

export const control = command({
  name: "control",
  description: "run one control machine",
  args: flags,
  handler: start,
});
