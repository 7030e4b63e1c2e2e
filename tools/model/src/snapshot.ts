/** Copies of states: what is frozen is shared, everything else is copied with its class. */

type Mutable = Record<string, unknown>;

/** Freezes a value with all that hangs on it; messages and records are never changed once told. */
export function deepFreeze<Value>(value: Value): Value {
  if (typeof value !== "object" || value === null || Object.isFrozen(value)) return value;
  for (const each of Object.values(value)) deepFreeze(each);
  return Object.freeze(value);
}

/** A deep copy; the same object met twice is copied once. */
export function snapshot<Value>(value: Value): Value {
  return copyOf(value, new Map()) as Value;
}

function copyOf(value: unknown, copies: Map<object, unknown>): unknown {
  if (typeof value !== "object" || value === null || Object.isFrozen(value)) return value;
  const known = copies.get(value);
  if (known !== undefined) return known;
  if (Array.isArray(value)) return copyArray(value, copies);
  if (value instanceof Map) return copyMap(value, copies);
  if (value instanceof Set) return copySet(value, copies);
  return copyObject(value as Mutable, copies);
}

function copyArray(value: readonly unknown[], copies: Map<object, unknown>): unknown[] {
  const copy: unknown[] = [];
  copies.set(value, copy);
  for (const each of value) copy.push(copyOf(each, copies));
  return copy;
}

function copyMap(
  value: ReadonlyMap<unknown, unknown>,
  copies: Map<object, unknown>,
): Map<unknown, unknown> {
  const copy = new Map<unknown, unknown>();
  copies.set(value, copy);
  for (const [key, each] of value) copy.set(copyOf(key, copies), copyOf(each, copies));
  return copy;
}

function copySet(value: ReadonlySet<unknown>, copies: Map<object, unknown>): Set<unknown> {
  const copy = new Set<unknown>();
  copies.set(value, copy);
  for (const each of value) copy.add(copyOf(each, copies));
  return copy;
}

function copyObject(value: Mutable, copies: Map<object, unknown>): Mutable {
  const copy = Object.create(Object.getPrototypeOf(value) as object) as Mutable;
  copies.set(value, copy);
  for (const key of Object.keys(value)) copy[key] = copyOf(value[key], copies);
  rebind(copy);
  return copy;
}

/** The one callback in the product's state: a storage core hands its membership a function that reads the core. */
function rebind(copy: Mutable): void {
  const telling = copy["private_telling"];
  const membership = copy["membership"] as Mutable | undefined;
  if (typeof telling === "function" && membership !== undefined)
    membership["private_telling"] = telling.bind(copy) as unknown;
}
