import type { Chain } from "@chutewick/parts";
import { keys, type VersionedConfiguration, type AcceptedOrdersRecord } from "@chutewick/control";
import type { Disk } from "./disk.js";
import { PRIVATE_PREFIX } from "./loader.js";
import { ControlProcess } from "./process.js";
import type { Host } from "./world.js";

/** Read-only looks into the product's state, through the fields that the loader has made readable. */
export interface Held {
  readonly mark: number;
  /** Marks of the orders taken here. */
  readonly taken: ReadonlySet<number>;
}

/** The control chain of a running control machine. */
export function chainOf(host: Host): Chain | undefined {
  if (!(host.process instanceof ControlProcess)) return undefined;
  return Reflect.get(host.process.core, `${PRIVATE_PREFIX}chain`) as Chain;
}

/** What a control machine holds in memory, applied but perhaps not confirmed. */
export function heldInMemory(chain: Chain): Held {
  return heldOf((key) => chain.ledger.read(key));
}

/** What a control machine holds on disk. */
export function heldOnDisk(disk: Disk): Held {
  return heldOf((key) => disk.record("control", key));
}

function heldOf(read: (key: string) => unknown): Held {
  const configuration = read(keys.configuration) as VersionedConfiguration | undefined;
  const taken = read(keys.taken) as AcceptedOrdersRecord | undefined;
  return {
    mark: configuration?.mark ?? 0,
    taken: new Set((taken?.orders ?? []).map(([mark]) => mark)),
  };
}
