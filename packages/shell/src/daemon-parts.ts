/** Parts shared by the three daemons: wire, data folder, operator routes and counts (docs/design.md §10). */
import type { DiskCondition, Outcome } from "@chutewick/parts";
import { Disk } from "./disk.js";
import type { GatewayRoute } from "./gateway.js";
import type { Log } from "./log.js";
import { diskListener } from "./program.js";
import type { Settings } from "./settings.js";
import type { ConnectionCounts } from "./outgoing-connection.js";
import { Wire } from "./wire.js";

/** HTTP routes that every daemon serves to operators. */
export const operatorRoutes: readonly GatewayRoute[] = [
  { method: "GET", path: "/status", event: "operator.status" },
  { method: "GET", path: "/metrics", event: "operator.metrics" },
];

/** Creates a wire at the configured address; `receive` is called with each message and its sender's address. */
export function createWire(
  settings: Settings,
  log: Log,
  receive: (message: unknown, from: string) => void,
): Wire {
  return new Wire({
    address: settings.wire,
    listen: settings.wireListen ?? settings.wire,
    log,
    receive,
  });
}

/** Owner of a data folder, and the listener to the condition of its disk. */
export interface DataFolderOptions {
  readonly kind: "control" | "storage";
  readonly settings: Settings;
  readonly log: Log;
  /** Called when the folder can no longer be written, and when it can be written again. */
  readonly conditionChanged: (condition: DiskCondition) => void;
}

/** Opens a daemon's data folder; a damaged database is replaced, set aside if it has any content, and logged. The outcome is bad if the folder can't be used. */
export async function openDataFolder(owner: DataFolderOptions): Promise<Outcome<Disk>> {
  const { kind, settings, log, conditionChanged } = owner;
  const listener = diskListener(log, conditionChanged);
  const disk = await Disk.open(settings.data!, { kind, name: settings.name }, listener);
  if (disk.ok && disk.value.damage !== undefined)
    log.error(
      { damage: disk.value.damage },
      "the database is damaged and was replaced by an empty one",
    );
  return disk;
}

/** Counts of the messages and connections of a wire since the start of its process, for the status of a daemon. */
export interface WireCounts {
  readonly sent: number;
  readonly dropped: number;
  /** Connections refused because the other process uses an incompatible protocol version. */
  readonly refused: number;
  /** Outgoing connections to other processes. */
  readonly connections: Readonly<ConnectionCounts>;
}

/** The current counts of a wire. */
export function readWireCounts({ sent, dropped, refused, connections }: Wire): WireCounts {
  return { sent, dropped, refused, connections: { ...connections } };
}
