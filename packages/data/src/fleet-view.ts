import type { Membership } from "./membership.js";

/** The part of the membership that the relay and the load balancer read. */
export type FleetView = Pick<
  Membership,
  "configuration" | "registry" | "runners" | "serves" | "holds" | "isClosed"
>;
