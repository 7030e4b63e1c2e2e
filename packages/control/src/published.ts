import type { MarkedConfiguration } from "./configuration.js";
import { keys } from "./keys.js";

/**
 * What of a control record goes to nodes with the feed: neither the operator's own text of the configuration nor the log of orders
 * nor duties, which only control machines read, and which would double what each change sends to each node.
 */
export function published(key: string, value: unknown): unknown {
  if (isOfControlAlone(key)) return undefined;
  if (key !== keys.configuration) return value;
  const { origin: _origin, ...configuration } = value as MarkedConfiguration;
  return configuration;
}

function isOfControlAlone(key: string): boolean {
  return key === keys.taken || key.startsWith(keys.duty) || key.startsWith(keys.act);
}
