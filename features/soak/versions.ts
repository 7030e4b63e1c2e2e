import type { RouteDocument } from "../system/document.js";

/** One version that the operator sent. */
export interface Version {
  /** Tells two changes apart that were to become the same revision. */
  readonly serial: number;
  readonly revision: number;
  readonly routes: ReadonlyMap<string, RouteDocument>;
  readonly sentAt: number;
  state: "sent" | "acknowledged" | "refused";
  acknowledgedAt: number | undefined;
}

/** How a request on a route is handled where a version is in force: the service that runs it, or 404. */
export type Handling = string;

/** How a request on a path without a route is handled. */
export const noRoute: Handling = "404";

/** All versions that the operator sent, and which may be in force when. */
export class Versions {
  #all: Version[] = [];

  sent(revision: number, routes: ReadonlyMap<string, RouteDocument>, sentAt: number): Version {
    const version: Version = {
      serial: this.#all.length,
      revision,
      routes,
      sentAt,
      state: "sent",
      acknowledgedAt: undefined,
    };
    this.#all.push(version);
    return version;
  }

  /** The newest that was acknowledged. */
  get newest(): Version | undefined {
    return this.#all.filter((version) => version.state === "acknowledged").at(-1);
  }

  /** The versions that may be in force for a request: none older than what was acknowledged long enough before it. */
  allowed(sentAt: number, answeredAt: number, applyWithin: number): Version[] {
    let oldest = 0;
    for (const { revision, acknowledgedAt } of this.#all)
      if (acknowledgedAt !== undefined && acknowledgedAt + applyWithin < sentAt)
        oldest = Math.max(oldest, revision);
    function mayBeInForce(version: Version): boolean {
      return (
        version.revision >= oldest && version.state !== "refused" && version.sentAt <= answeredAt
      );
    }
    return this.#all.filter(mayBeInForce);
  }
}

/** What a version does with a request on the path of a route. */
export function handlingOf(version: Version, route: string): Handling {
  return version.routes.get(route)?.service ?? noRoute;
}
