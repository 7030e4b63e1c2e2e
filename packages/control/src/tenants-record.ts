import type { Ledger } from "@chutewick/parts";
import { configuration, type Configuration, type MarkedConfiguration } from "./configuration.js";
import { keys } from "./keys.js";

/**
 * Tenants stand in a record of their own, written only where they changed: a site names thousands of them, and each change of a
 * passage would send them all to each node again. One entry writes both records, and the feed applies all changes of a message
 * at once, so nobody sees one without the other (docs/design.md §13.10).
 */
export interface TenantsRecord {
  readonly tenants: NonNullable<Configuration["tenants"]>;
}

/** Whatever keeps control records: a ledger, the feed, or one that follows it. */
interface Records {
  read<Value>(key: string): Value | undefined;
}

/** The configuration joined with a record of tenants, by its own record: both are replaced whole, never changed. */
const joinedOf = new WeakMap<
  MarkedConfiguration,
  { readonly record: TenantsRecord; readonly joined: MarkedConfiguration }
>();

/** The configuration in force, with its tenants; the same object as long as neither record changes. */
export function configurationIn(records: Records): MarkedConfiguration {
  const held = configuration.read(records.read<MarkedConfiguration>(keys.configuration));
  const record = records.read<TenantsRecord>(keys.tenants);
  if (record === undefined) return held;
  const known = joinedOf.get(held);
  if (known?.record === record) return known.joined;
  const joined = { ...held, value: { ...held.value, tenants: record.tenants } };
  joinedOf.set(held, { record, joined });
  return joined;
}

/** Writes a configuration, and its tenants where they are others than those in force. */
export function putConfiguration(
  ledger: Ledger,
  { value: { tenants, ...value }, ...marked }: MarkedConfiguration,
): void {
  ledger.put(keys.configuration, { ...marked, value } satisfies MarkedConfiguration);
  const held = ledger.read<TenantsRecord>(keys.tenants)?.tenants;
  /** As text, so that a record read from a disk is the same as one that was just written. */
  if (JSON.stringify(tenants) === JSON.stringify(held)) return;
  if (tenants === undefined) ledger.remove(keys.tenants);
  else ledger.put(keys.tenants, { tenants } satisfies TenantsRecord);
}
