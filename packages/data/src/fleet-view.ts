import type { Membership } from "./membership.js";

/** What the relay and the choice of a runner need to know of the fleet. */
export type FleetView = Pick<
  Membership,
  "configuration" | "registry" | "runners" | "serves" | "holds" | "isClosed"
>;
