/** Finds the passage of a request by host and path (docs/design.md §13.1). */
import type { Configuration, Passage } from "@chutewick/control";
import type { FleetView } from "./fleet-view.js";

/** A passage with its name. */
export interface PassageMatch {
  readonly name: string;
  readonly passage: Passage;
}

type Passages = Configuration["passages"];

/** Index of the passages of the current configuration, rebuilt once per configuration version. */
export class PassageIndex {
  #fleet: Pick<FleetView, "configuration">;
  #indexedPassages: Passages | undefined;
  #byHostAndPrefix = new Map<string, PassageMatch>();
  /** Hosts with a passage for lots that needs no credential. */
  #keylessLotHosts = new Set<string>();

  constructor(fleet: Pick<FleetView, "configuration">) {
    this.#fleet = fleet;
  }

  /** Returns the passage whose prefix is the longest match of the path. */
  find(host: string, path: string): PassageMatch | undefined {
    this.#rebuildIfChanged();
    const normalizedHost = normalizeHost(host);
    let end = path.search(/[?#]/);
    if (end < 0) end = path.length;
    for (
      let cut = path.lastIndexOf("/", end - 1);
      cut >= 0;
      cut = cut === 0 ? -1 : path.lastIndexOf("/", cut - 1)
    ) {
      const found = this.#byHostAndPrefix.get(normalizedHost + path.slice(0, cut + 1));
      if (found !== undefined) return found;
    }
    return undefined;
  }

  /** Whether the host has a passage for lots that needs no credential. */
  hasKeylessLots(host: string): boolean {
    this.#rebuildIfChanged();
    return this.#keylessLotHosts.has(normalizeHost(host));
  }

  #rebuildIfChanged(): void {
    const { passages } = this.#fleet.configuration.value;
    if (this.#indexedPassages === passages) return;
    this.#indexedPassages = passages;
    this.#byHostAndPrefix = new Map();
    this.#keylessLotHosts = new Set();
    for (const [name, passage] of Object.entries(passages ?? {})) {
      const host = normalizeHost(passage.host);
      this.#byHostAndPrefix.set(`${host}${passage.prefix}`, { name, passage });
      if (passage.kind === "lot" && passage.keyless === true) this.#keylessLotHosts.add(host);
    }
  }
}

/** Normalizes a host: lower case, without the port. */
function normalizeHost(host: string): string {
  const lowerCase = host.toLowerCase();
  if (lowerCase.startsWith("[")) return lowerCase.slice(0, lowerCase.indexOf("]") + 1);
  const portStart = lowerCase.indexOf(":");
  return portStart < 0 ? lowerCase : lowerCase.slice(0, portStart);
}
