import { StorageProcess } from "@chutewick/data";
import { command } from "cmd-ts";
import { flags, run } from "@chutewick/shell";

/** Thin program: a storage machine. */
function start(given: Parameters<typeof run>[2]): Promise<void> {
  return run("storage", true, given, StorageProcess.open);
}

export const storage = command({
  name: "storage",
  description: "run one storage machine",
  args: flags,
  handler: start,
});
