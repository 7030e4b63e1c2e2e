/** The operator's document that the tests of the platform start from. */

/** One route of an operator's document. */
export interface RouteDocument {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  readonly routeType: "safe" | "unsafe" | "streaming" | "bulk";
  readonly guardMs: number;
  readonly targetMs: number;
  readonly precedence: number;
  readonly service: string;
  readonly maxAttempts: number;
  readonly affinity: boolean;
  readonly resumable: boolean;
  readonly gapTargetMs?: number;
  readonly completionTargetMs?: number;
  readonly queueTokenCap?: number;
  readonly retentionS?: number;
}

/** A whole document of the operator. */
export interface OperatorDocument {
  readonly revision: number;
  readonly routes: readonly RouteDocument[];
  readonly services: readonly unknown[];
  readonly limits: unknown;
}

/** The host of all routes. */
export const host = "shop.example";

const streaming: RouteDocument = {
  name: "notes",
  host,
  pathPrefix: "/notes/",
  routeType: "streaming",
  guardMs: 4_000,
  targetMs: 500,
  precedence: 0,
  service: "reader",
  maxAttempts: 2,
  affinity: true,
  resumable: true,
  gapTargetMs: 600,
};

const bulk: RouteDocument = {
  name: "slips",
  host,
  pathPrefix: "/slips/",
  routeType: "bulk",
  guardMs: 6_000,
  targetMs: 500,
  precedence: 2,
  service: "reader",
  maxAttempts: 3,
  affinity: true,
  resumable: true,
  completionTargetMs: 8_000,
  queueTokenCap: 100_000,
  retentionS: 40,
};

const unsafe: RouteDocument = {
  name: "payments",
  host,
  pathPrefix: "/pay/",
  routeType: "unsafe",
  guardMs: 2_000,
  targetMs: 300,
  precedence: 0,
  service: "printer",
  maxAttempts: 3,
  affinity: false,
  resumable: false,
};

const longUnsafe: RouteDocument = {
  ...unsafe,
  name: "parcels",
  pathPrefix: "/parcels/",
  guardMs: 20_000,
};

const safe: RouteDocument = {
  name: "labels",
  host,
  pathPrefix: "/labels/",
  routeType: "safe",
  guardMs: 2_000,
  targetMs: 300,
  precedence: 2,
  service: "printer",
  maxAttempts: 2,
  affinity: false,
  resumable: false,
};

/** The document with a route of each type and a service for model and plain runners each. */
export const firstDocument: OperatorDocument = {
  revision: 5,
  routes: [streaming, bulk, unsafe, longUnsafe, safe],
  services: [
    {
      name: "reader",
      healthPath: "/health",
      maxConnections: 100,
      engine: { capacitySlots: 8, cacheTokens: 100_000, models: [{ name: "m" }] },
    },
    { name: "printer", healthPath: "/health", maxConnections: 100 },
  ],
  limits: {},
};

/** A safe route of plain work at a path of its own. */
export function plainRoute(name: string, service: string): RouteDocument {
  return { ...safe, name, pathPrefix: `/${name}/`, service };
}
