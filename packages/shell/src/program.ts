/** Start and stop of a daemon: flags, validated settings, signals (docs/design.md §10). */
import type { DiskCondition, Outcome } from "@chutewick/parts";
import { option, optional, string } from "cmd-ts";
import { StartError } from "./errors.js";
import type { Gateway } from "./gateway.js";
import { invariants } from "./invariants.js";
import { log as logs, type Log } from "./log.js";
import { settings, type Flags, type Settings } from "./settings.js";
import type { Wire } from "./wire.js";
import type { DiskListener } from "./disk.js";

/** Command-line flags of the three daemons. */
export const flags = {
  settings: option({
    type: optional(string),
    long: "settings",
    description: "settings file, JSON",
  }),
  name: option({ type: optional(string), long: "name", description: "name of this machine" }),
  zone: option({ type: optional(string), long: "zone", description: "zone of this machine" }),
  wire: option({
    type: optional(string),
    long: "wire",
    description: "IP:port for other processes of the fleet",
  }),
  wireListen: option({
    type: optional(string),
    long: "wire-listen",
    description: "IP:port to listen on, if it differs",
  }),
  http: option({
    type: optional(string),
    long: "http",
    description: "IP:port for callers, runners or operators",
  }),
  seeds: option({
    type: optional(string),
    long: "seeds",
    description: "three control machines, IP:port, with commas between",
  }),
  data: option({ type: optional(string), long: "data", description: "data folder" }),
  logLevel: option({
    type: optional(string),
    long: "log-level",
    description: "trace, debug, info, warn, error or fatal",
  }),
};

/** A running daemon. */
export interface Daemon {
  close(): Promise<void>;
}

/** Reads the settings and starts a daemon. Exit status: 2 for invalid settings, 1 for a failed start, 0 for a planned stop. */
export async function run(
  program: string,
  needsData: boolean,
  given: Flags,
  open: (settings: Settings, log: Log) => Promise<Outcome<Daemon>>,
): Promise<void> {
  const checked = settings.read(given, needsData);
  if (!checked.ok) {
    process.stderr.write(`chutewick ${program}: ${checked.reason}\n`);
    process.exit(2);
  }
  await start(program, checked.value, open);
}

/** Starts a daemon with validated settings, and stops it in an orderly way on a signal. */
export async function start(
  program: string,
  checked: Settings,
  open: (settings: Settings, log: Log) => Promise<Outcome<Daemon>>,
): Promise<void> {
  const log = logs.open(program, checked.name, checked.logLevel);
  invariants.reportTo(log);
  let daemon: Daemon | undefined = undefined as Daemon | undefined;
  let isStopping = false;
  async function stop(signal: NodeJS.Signals): Promise<void> {
    if (isStopping) return;
    isStopping = true;
    log.info({ signal }, "planned stop");
    await daemon?.close();
    log.info({ violations: invariants.counts() }, "stopped");
    process.exit(0);
  }
  // A reload keeps everything open: the addresses of control machines are learnt from control itself.
  function logReload(): void {
    log.info({}, "settings may have changed");
  }
  // Installed before anything is opened: without a handler, each of these signals ends the process.
  process.on("SIGHUP", logReload);
  process.on("SIGTERM", (signal) => void stop(signal));
  process.on("SIGINT", (signal) => void stop(signal));
  const opened = await open(checked, log);
  if (!opened.ok) {
    log.fatal({ reason: opened.reason }, "cannot start");
    process.stderr.write(`chutewick ${program}: ${opened.reason}\n`);
    process.exit(1);
  }
  daemon = opened.value;
}

/** Opens the sockets on which a daemon listens; returns the reason if that fails. */
export async function listen(wire: Wire, gateway: Gateway): Promise<string | undefined> {
  try {
    await wire.open();
    await gateway.open();
  } catch (error) {
    return new StartError((error as Error).message).message;
  }
  return undefined;
}

/** Logs changes in the condition of a disk and passes them on. */
export function diskListener(log: Log, changed: (condition: DiskCondition) => void): DiskListener {
  function reportChange(condition: DiskCondition, error: Error | undefined): void {
    const facts = { condition, ...(error === undefined ? {} : { error: error.message }) };
    if (condition === "writable") log.info({}, "the data folder can be written again");
    else log.error(facts, "the data folder cannot be written; leaving its chains until it can be");
    changed(condition);
  }
  function waiting(reason: string): void {
    log.error(
      { reason },
      "the data folder cannot be written yet; retrying before the start continues",
    );
  }
  return { changed: reportChange, waiting };
}
