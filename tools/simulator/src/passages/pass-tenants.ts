import type { Tenant } from "@chutewick/control";
import type { World } from "../world.js";

const NAMES = ["north", "south"];

/**
 * Tenants of the passage, whose credentials change with each version: each has two at a time, and the older one is taken away
 * when a newer one is added. The newest that is in force stays for one more version.
 */
export class PassTenants {
  readonly #world: World;
  /** Version of the credentials in force. */
  #version = 0;

  constructor(world: World) {
    this.#world = world;
  }

  pick(): string {
    return this.#world.chance.pick(NAMES);
  }

  /** Another tenant than this one. */
  stranger(tenant: string): string {
    return NAMES.find((name) => name !== tenant)!;
  }

  /** The one that all nodes with a lease know, also while the next version is being entered. */
  credentialOf(tenant: string): string {
    return credential(tenant, this.#version + 1);
  }

  /** As the next version, or the one in force, has them. */
  entries(isNext: boolean): Record<string, Tenant> {
    const first = this.#version + (isNext ? 1 : 0);
    const found: Record<string, Tenant> = {};
    for (const name of NAMES)
      found[name] = { credentials: [credential(name, first), credential(name, first + 1)] };
    return found;
  }

  /** The next version is in force everywhere. */
  advance(): void {
    this.#version += 1;
  }

  get version(): number {
    return this.#version;
  }
}

function credential(tenant: string, version: number): string {
  return `${tenant}-${version}`;
}
