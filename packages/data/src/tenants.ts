/** Identifies the tenant of a request by its credential, using the current configuration (docs/design.md §13.10). */
import type { Configuration, Passage } from "@chutewick/control";
import type { Tenancy } from "@chutewick/parts";
import type { FleetView } from "./fleet-view.js";

type Tenants = NonNullable<Configuration["tenants"]>;

/** The settings of a tenant that matter to its requests. */
interface KnownTenant {
  readonly name: string;
  /** Priority that overrides the rank of the passage. */
  readonly rank: number | undefined;
}

/** The tenant on whose behalf a request is served. */
export interface Identity {
  /** Undefined if the configuration defines no tenants. */
  readonly tenancy: Tenancy | undefined;
  /** The tenant's own rank (priority); undefined if the rank of the passage applies. */
  readonly rank: number | undefined;
}

const WITHOUT_TENANTS: Identity = { tenancy: undefined, rank: undefined };

/** Index from credentials to tenants, rebuilt when a configuration version changes the tenants. */
export class TenantDirectory {
  #fleet: Pick<FleetView, "configuration">;
  #indexed: Tenants | undefined;
  #byCredential: ReadonlyMap<string, KnownTenant> = new Map();

  constructor(fleet: Pick<FleetView, "configuration">) {
    this.#fleet = fleet;
  }

  /** Returns undefined if the passage requires a credential and the one presented is missing or unknown. */
  identify(passage: Passage, credential: string | undefined): Identity | undefined {
    return this.identifyReader(passage.keyless === true, credential);
  }

  /** Like `identify`, for a reader of lots, which may belong to several passages. */
  identifyReader(isKeyless: boolean, credential: string | undefined): Identity | undefined {
    const { tenants } = this.#fleet.configuration.value;
    if (tenants === undefined) return WITHOUT_TENANTS;
    const tenant = credential === undefined ? undefined : this.#index(tenants).get(credential);
    if (tenant === undefined && !isKeyless) return undefined;
    return { tenancy: { tenant: tenant?.name }, rank: tenant?.rank };
  }

  #index(tenants: Tenants): ReadonlyMap<string, KnownTenant> {
    if (this.#indexed === tenants) return this.#byCredential;
    const byCredential = new Map<string, KnownTenant>();
    for (const [name, { credentials, rank }] of Object.entries(tenants))
      for (const credential of credentials) byCredential.set(credential, { name, rank });
    this.#indexed = tenants;
    this.#byCredential = byCredential;
    return byCredential;
  }
}
