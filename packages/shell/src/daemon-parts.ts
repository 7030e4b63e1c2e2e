/** What the three daemons open alike: wire, data folder, the operator's routes and figures (docs/design.md §10). */
import type { DiskCondition, Outcome } from "@chutewick/parts";
import { Disk } from "./disk.js";
import type { Opening } from "./gateway.js";
import type { Log } from "./log.js";
import { diskListener } from "./program.js";
import type { Settings } from "./settings.js";
import type { ConnectionCounts } from "./outgoing-connection.js";
import { Wire } from "./wire.js";

/** HTTP routes that every daemon answers for its operator. */
export const operatorOpenings: readonly Opening[] = [
  { method: "GET", path: "/status", event: "operator.status" },
  { method: "GET", path: "/metrics", event: "operator.metrics" },
];

/** A wire at the address that the settings name; `receive` gets each message with its sender's address. */
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

/** Whose data folder it is, and who hears how its disk fares. */
export interface DataFolderOwner {
  readonly kind: "control" | "storage";
  readonly settings: Settings;
  readonly log: Log;
  /** Called each time the folder can no longer be written, and when it can again. */
  readonly conditionChanged: (condition: DiskCondition) => void;
}

/** Opens a daemon's data folder; a damaged database is set aside and logged. The outcome is bad where the folder can't be used. */
export async function openDataFolder(owner: DataFolderOwner): Promise<Outcome<Disk>> {
  const { kind, settings, log, conditionChanged } = owner;
  const listener = diskListener(log, conditionChanged);
  const disk = await Disk.open(settings.data!, { kind, name: settings.name }, listener);
  if (disk.ok && disk.value.damage !== undefined)
    log.error({ damage: disk.value.damage }, "the database was set aside as damaged");
  return disk;
}

/** Messages and connections of a wire since the start of its process, for the status of a daemon. */
export interface WireCounts {
  readonly sent: number;
  readonly dropped: number;
  /** Connections refused because the other process speaks another protocol version. */
  readonly refused: number;
  /** Connections to other processes. */
  readonly connections: Readonly<ConnectionCounts>;
}

/** The counts of a wire as they stand now. */
export function countsOfWire({ sent, dropped, refused, connections }: Wire): WireCounts {
  return { sent, dropped, refused, connections: { ...connections } };
}
