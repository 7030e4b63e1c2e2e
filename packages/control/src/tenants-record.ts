/**
 * Storage of tenants. They are divided over records of their own, and a record is written only if it has changed: a site has
 * thousands of tenants, and each change of a passage, or of one credential, would otherwise send all of them to each node again.
 * One log entry writes the record of the configuration and those of its tenants, and the feed applies all changes of a message
 * at once, so no reader sees one without the other (docs/design.md §13.10).
 */
import type { Ledger } from "@chutewick/parts";
import { configuration, type Configuration, type VersionedConfiguration } from "./configuration.js";
import { keys } from "./keys.js";

type Tenants = NonNullable<Configuration["tenants"]>;

/** A source of control records: a ledger, the feed, or a follower of the feed. */
interface RecordReader {
  read<Value>(key: string): Value | undefined;
}

/**
 * The number of records over which tenants are divided. It is part of the format on disk, so it must not change. The first record
 * exists even if it is empty.
 */
const TENANT_RECORDS = 64;

/** Cache of configurations with their tenants, by the record of the configuration, which each change replaces. */
const joinedCache = new WeakMap<VersionedConfiguration, VersionedConfiguration>();

/** The configuration in force, with its tenants. Returns the same object until something changes. */
export function configurationIn(records: RecordReader): VersionedConfiguration {
  const stored = configuration.read(records.read<VersionedConfiguration>(keys.configuration));
  if (records.read<Tenants>(keyOf(0)) === undefined) return stored;
  const known = joinedCache.get(stored);
  if (known !== undefined) return known;
  const tenants: Tenants = {};
  for (let number = 0; number < TENANT_RECORDS; number += 1)
    Object.assign(tenants, records.read<Tenants>(keyOf(number)));
  const joined = { ...stored, value: { ...stored.value, tenants } };
  joinedCache.set(stored, joined);
  return joined;
}

/** Writes a configuration, and those records of tenants that differ from the ones in force. */
export function putConfiguration(
  ledger: Ledger,
  { value: { tenants, ...value }, ...marked }: VersionedConfiguration,
): void {
  ledger.put(keys.configuration, { ...marked, value } satisfies VersionedConfiguration);
  const divided = divide(tenants);
  for (let number = 0; number < TENANT_RECORDS; number += 1) {
    const key = keyOf(number);
    const wanted = divided.get(number);
    // Compared as text, so that a record read from disk equals one that was just written.
    if (JSON.stringify(wanted) === JSON.stringify(ledger.read<Tenants>(key))) continue;
    if (wanted === undefined) ledger.remove(key);
    else ledger.put(key, wanted);
  }
}

function keyOf(number: number): string {
  return `${keys.tenants}${number}`;
}

/** Tenants by the number of their record. Only the first record is present without tenants. */
function divide(tenants: Tenants | undefined): ReadonlyMap<number, Tenants> {
  const divided = new Map<number, Tenants>();
  if (tenants === undefined) return divided;
  divided.set(0, {});
  for (const [name, tenant] of Object.entries(tenants)) {
    const number = recordOf(name);
    const record = divided.get(number) ?? {};
    record[name] = tenant;
    divided.set(number, record);
  }
  return divided;
}

/** The number of the record that holds a tenant, by the FNV-1a hash of its name. It must be the same in each release. */
function recordOf(name: string): number {
  let hash = 0x811c9dc5;
  for (let index = 0; index < name.length; index += 1)
    hash = Math.imul(hash ^ name.charCodeAt(index), 0x01000193);
  return (hash >>> 0) % TENANT_RECORDS;
}
