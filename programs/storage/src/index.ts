import { StorageProcess } from "@chutewick/data";
import { command } from "cmd-ts";
import { flags, run } from "@chutewick/shell";

/** Runs a storage machine in this process. */
function start(args: Parameters<typeof run>[2]): Promise<void> {
  return run("storage", true, args, StorageProcess.open);
}

export const storage = command({
  name: "storage",
  description: "run one storage machine",
  args: flags,
  handler: start,
});
