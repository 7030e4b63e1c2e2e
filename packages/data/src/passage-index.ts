/** Where passages stand, by host and path (docs/design.md §13.1). */
import type { Configuration, Passage } from "@chutewick/control";
import type { FleetView } from "./fleet-view.js";

/** A passage with its name. */
export interface Found {
  readonly name: string;
  readonly passage: Passage;
}

type Passages = Configuration["passages"];

/** An index of the passages of the configuration in force, built once for each version. */
export class PassageIndex {
  #fleet: Pick<FleetView, "configuration">;
  #indexed: Passages | undefined;
  #byPlace = new Map<string, Found>();
  /** Hosts at which lots need no credential. */
  #keylessLotHosts = new Set<string>();

  constructor(fleet: Pick<FleetView, "configuration">) {
    this.#fleet = fleet;
  }

  /** The passage with the longest prefix that begins the path. */
  find(host: string, path: string): Found | undefined {
    this.#update();
    const base = plainHost(host);
    let end = path.search(/[?#]/);
    if (end < 0) end = path.length;
    for (
      let cut = path.lastIndexOf("/", end - 1);
      cut >= 0;
      cut = cut === 0 ? -1 : path.lastIndexOf("/", cut - 1)
    ) {
      const found = this.#byPlace.get(base + path.slice(0, cut + 1));
      if (found !== undefined) return found;
    }
    return undefined;
  }

  /** Whether a passage for lots at this host needs no credential. */
  hasKeylessLots(host: string): boolean {
    this.#update();
    return this.#keylessLotHosts.has(plainHost(host));
  }

  #update(): void {
    const { passages } = this.#fleet.configuration.value;
    if (this.#indexed === passages) return;
    this.#indexed = passages;
    this.#byPlace = new Map();
    this.#keylessLotHosts = new Set();
    for (const [name, passage] of Object.entries(passages ?? {})) {
      const host = plainHost(passage.host);
      this.#byPlace.set(`${host}${passage.prefix}`, { name, passage });
      if (passage.kind === "lot" && passage.keyless === true) this.#keylessLotHosts.add(host);
    }
  }
}

/** A host as passages are found by: without its port, in small letters. */
function plainHost(host: string): string {
  const small = host.toLowerCase();
  if (small.startsWith("[")) return small.slice(0, small.indexOf("]") + 1);
  const cut = small.indexOf(":");
  return cut < 0 ? small : small.slice(0, cut);
}
