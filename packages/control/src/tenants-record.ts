import type { Ledger } from "@chutewick/parts";
import { configuration, type Configuration, type MarkedConfiguration } from "./configuration.js";
import { keys } from "./keys.js";

/**
 * Tenants stand in records of their own, each of which is written only where it changed: a site names thousands of tenants, and
 * each change of a passage, or of one credential, would send them all to each node again. One entry writes the configuration's
 * record and theirs, and the feed applies all changes of a message at once, so nobody sees one without the other
 * (docs/design.md §13.10).
 */
type Tenants = NonNullable<Configuration["tenants"]>;

/** Whatever keeps control records: a ledger, the feed, or one that follows it. */
interface Records {
  read<Value>(key: string): Value | undefined;
}

/** Records over which tenants are divided; on disk, so it stays. The first one is there even where it is empty. */
const TENANT_RECORDS = 64;

/** Configurations joined with their tenants, by the configuration's own record, which each change writes anew. */
const joinedOf = new WeakMap<MarkedConfiguration, MarkedConfiguration>();

/** The configuration in force, with its tenants; the same object as long as nothing changes. */
export function configurationIn(records: Records): MarkedConfiguration {
  const held = configuration.read(records.read<MarkedConfiguration>(keys.configuration));
  if (records.read<Tenants>(keyOf(0)) === undefined) return held;
  const known = joinedOf.get(held);
  if (known !== undefined) return known;
  const tenants: Tenants = {};
  for (let number = 0; number < TENANT_RECORDS; number += 1)
    Object.assign(tenants, records.read<Tenants>(keyOf(number)));
  const joined = { ...held, value: { ...held.value, tenants } };
  joinedOf.set(held, joined);
  return joined;
}

/** Writes a configuration, and those of its tenants that are others than those in force. */
export function putConfiguration(
  ledger: Ledger,
  { value: { tenants, ...value }, ...marked }: MarkedConfiguration,
): void {
  ledger.put(keys.configuration, { ...marked, value } satisfies MarkedConfiguration);
  const divided = divide(tenants);
  for (let number = 0; number < TENANT_RECORDS; number += 1) {
    const key = keyOf(number);
    const wanted = divided.get(number);
    /** As text, so that a record read from a disk is the same as one that was just written. */
    if (JSON.stringify(wanted) === JSON.stringify(ledger.read<Tenants>(key))) continue;
    if (wanted === undefined) ledger.remove(key);
    else ledger.put(key, wanted);
  }
}

function keyOf(number: number): string {
  return `${keys.tenants}${number}`;
}

/** Tenants by the number of their record; records without any are left out, but for the first. */
function divide(tenants: Tenants | undefined): ReadonlyMap<number, Tenants> {
  const divided = new Map<number, Tenants>();
  if (tenants === undefined) return divided;
  divided.set(0, {});
  for (const [name, tenant] of Object.entries(tenants)) {
    const number = recordOf(name);
    const held = divided.get(number) ?? {};
    held[name] = tenant;
    divided.set(number, held);
  }
  return divided;
}

/** FNV-1a of the name: the same in each release. */
function recordOf(name: string): number {
  let hash = 0x811c9dc5;
  for (let index = 0; index < name.length; index += 1)
    hash = Math.imul(hash ^ name.charCodeAt(index), 0x01000193);
  return (hash >>> 0) % TENANT_RECORDS;
}
