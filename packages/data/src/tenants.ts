/** Who calls, by the credential that a request presents, as the configuration in force names its tenants (docs/design.md §13.10). */
import type { Configuration, Passage } from "@chutewick/control";
import type { Tenancy } from "@chutewick/parts";
import type { FleetView } from "./fleet-view.js";

type Tenants = NonNullable<Configuration["tenants"]>;

/** A tenant as requests are served for it. */
interface KnownTenant {
  readonly name: string;
  /** In place of the passage's. */
  readonly rank: number | undefined;
}

/** On whose behalf a request is served. */
export interface Identity {
  /** Undefined where the configuration names no tenants. */
  readonly tenancy: Tenancy | undefined;
  /** The tenant's own rank; undefined where that of the passage holds. */
  readonly rank: number | undefined;
}

const WITHOUT_TENANTS: Identity = { tenancy: undefined, rank: undefined };

/** An index from credentials to tenants, built once for each version that changes them. */
export class TenantDirectory {
  #fleet: Pick<FleetView, "configuration">;
  #indexed: Tenants | undefined;
  #byCredential: ReadonlyMap<string, KnownTenant> = new Map();

  constructor(fleet: Pick<FleetView, "configuration">) {
    this.#fleet = fleet;
  }

  /** Undefined where the passage asks for a credential and the one presented is missing or belongs to no tenant. */
  identify(passage: Passage, credential: string | undefined): Identity | undefined {
    return this.identifyReader(passage.keyless === true, credential);
  }

  /** The same where several passages are in question. */
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
