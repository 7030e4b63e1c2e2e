/** The configuration of the cases: a bulk route, a stream route, a safe and an unsafe route. */
export const host = "shop.example";

export function route(name, routeType, service, extra = {}) {
  return {
    name,
    host,
    pathPrefix: `/${name}/`,
    routeType,
    guardMs: 4000,
    targetMs: 500,
    precedence: 0,
    service,
    maxAttempts: 2,
    affinity: false,
    resumable: false,
    ...extra,
  };
}

export const bulk = (extra = {}) =>
  route("lots", "bulk", "model", {
    guardMs: 6000,
    precedence: 2,
    maxAttempts: 3,
    affinity: true,
    resumable: true,
    gapTargetMs: 300,
    completionTargetMs: 8000,
    queueTokenCap: 1100000,
    retentionS: 40,
    ...extra,
  });

export function configuration(revision, routes, extra = {}) {
  return {
    revision,
    routes,
    services: [
      {
        name: "model",
        healthPath: "/health",
        maxConnections: 170,
        protocol: "h1",
        tlsMode: false,
        engine: {
          capacitySlots: 16,
          cacheTokens: 232000,
          cacheTokenBytes: 327680,
          linkMbps: 2200000,
          stride: 23,
          models: [{ name: "m" }],
        },
      },
      { name: "plain", healthPath: "/health", maxConnections: 100, protocol: "h1", tlsMode: false },
    ],
    limits: {
      maxHeaderBytes: 16384,
      maxBodyBytes: 4194304,
      headerGuardMs: 3000,
      idleGuardMs: 15000,
    },
    ...extra,
  };
}
