import { createHash } from "node:crypto";
import type { World } from "./world.js";

/**
 * States as short texts, the same for states that differ only in the names of machines. A machine
 * is named by its place in the newest view, so two states with the same fingerprint have the same
 * futures but for ties that are broken by the order of identities (ballots of one round, candidates).
 */

/** Left out: the setup, which is the same in all states, and counters that only make names. */
const OMITTED: ReadonlySet<string> = new Set([
  "setup",
  "number",
  "sent",
  "ticketNumber",
  "confirmed",
  "syncs",
]);

const NAME = /\b[a-z](@\d+)?\b/g;

/** What was written under one naming: frozen values and hosts live in many states, and are written once. */
interface Memo {
  readonly objects: WeakMap<object, string>;
  readonly strings: Map<string, string>;
}

const memos = new Map<string, Memo>();

function memoOf(names: ReadonlyMap<string, string>): Memo {
  const key = [...names].join(";");
  const memo = memos.get(key) ?? { objects: new WeakMap(), strings: new Map<string, string>() };
  memos.set(key, memo);
  return memo;
}

class Writer {
  readonly #names: ReadonlyMap<string, string>;
  readonly #memo: Memo;

  constructor(names: ReadonlyMap<string, string>) {
    this.#names = names;
    this.#memo = memoOf(names);
  }

  write(value: unknown): string {
    if (typeof value === "string") return this.#rename(value);
    if (typeof value === "function") return "";
    if (typeof value !== "object" || value === null) return String(value);
    return Object.isFrozen(value) ? this.writeOnce(value) : this.#writeObject(value);
  }

  /** A value that does not change any more. */
  writeOnce(value: object): string {
    const known = this.#memo.objects.get(value);
    if (known !== undefined) return known;
    const text = this.#writeObject(value);
    this.#memo.objects.set(value, text);
    return text;
  }

  #rename(text: string): string {
    const known = this.#memo.strings.get(text);
    if (known !== undefined) return known;
    const renamed = text.replace(NAME, (name) => this.#names.get(name) ?? name);
    this.#memo.strings.set(text, renamed);
    return renamed;
  }

  #writeObject(value: object): string {
    if (Array.isArray(value)) return `[${value.map((each) => this.write(each)).join(",")}]`;
    if (value instanceof Set)
      return `{${[...value]
        .map((each) => this.write(each))
        .sort()
        .join()}}`;
    return value instanceof Map ? this.#writeMap(value) : this.#writeFields(value);
  }

  #writeMap(value: ReadonlyMap<unknown, unknown>): string {
    const texts: string[] = [];
    for (const [key, each] of value) texts.push(`${this.write(key)}:${this.write(each)}`);
    return `{${texts.sort().join(",")}}`;
  }

  #writeFields(value: object): string {
    let text = "{";
    for (const [key, each] of Object.entries(value))
      if (each !== undefined && !OMITTED.has(key)) text += `${key}:${this.write(each)},`;
    return `${text}}`;
  }
}

/** Machines by their place in the newest view, the others after them; operators and nodes keep their names. */
function namesOf(world: World): Map<string, string> {
  const names = new Map<string, string>();
  const view = world.history.newest;
  const members = [...(view?.members ?? []), ...(view?.joiner === undefined ? [] : [view.joiner])];
  const ordered = members.map(({ address }) => address);
  for (const { name } of world.of("control")) if (!ordered.includes(name)) ordered.push(name);
  for (const [place, name] of ordered.entries()) {
    names.set(name, `M${place}`);
    const { disks } = world.host(name);
    for (let disk = disks; disk > 0; disk -= 1)
      names.set(`${name}@${disk}`, `M${place}-${disks - disk}`);
  }
  return names;
}

/** Hosts of this world must not be changed after it, but by a fork. */
export function fingerprint(world: World): string {
  const writer = new Writer(namesOf(world));
  const { hosts, ...rest } = world;
  const texts = [...hosts.values()].map((host) => writer.writeOnce(host)).sort();
  texts.push(writer.write(rest));
  return createHash("sha1").update(texts.join(";")).digest("base64");
}
