import type { VersionedConfiguration } from "./configuration.js";
import { keys } from "./keys.js";

/**
 * The part of a control record that the feed sends to nodes, or undefined if it sends none. The operator's original text of the
 * configuration, the log of orders and the duties are left out: only control machines read them, and they would double the bytes
 * that each change sends to each node.
 */
export function published(key: string, value: unknown): unknown {
  if (isInternalToControl(key)) return undefined;
  if (key !== keys.configuration) return value;
  const { origin: _origin, ...configuration } = value as VersionedConfiguration;
  return configuration;
}

function isInternalToControl(key: string): boolean {
  return key === keys.taken || key.startsWith(keys.duty) || key.startsWith(keys.act);
}
