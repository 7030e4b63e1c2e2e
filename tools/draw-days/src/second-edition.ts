/** Variants that the first edition of the catalogue lacks. */
import { variantsOf, withHow, type Variant } from "./variants.js";

const CUT_SECONDS = 5;

/** Troubles of control machines. */
const control: readonly Variant[] = [
  ...variantsOf("core_cut", "faults", {
    near: { for_s: CUT_SECONDS, how: "near race" },
    oldest: { for_s: CUT_SECONDS, how: "oldest meet" },
    lure: { for_s: CUT_SECONDS, how: "lure drain" },
    "leader one_way meet drain": { for_s: CUT_SECONDS, how: "leader one_way meet drain" },
    turn: { for_s: CUT_SECONDS, how: "turn race hard" },
  }),
  ...variantsOf("replace_core", "faults", {
    "core leader": { on: "core", x: 1, how: "leader" },
    "store oldest": { on: "store", x: 1, how: "oldest" },
  }),
  ...variantsOf("after_ack_wipe", "faults", {
    "store oldest": { on: "store", count: 1, for_s: 2, how: "oldest" },
  }),
  ...variantsOf("node_cut", "faults", { all: { share: 0.2, for_s: CUT_SECONDS, how: "all" } }),
  ...variantsOf("roll_term", "plan", { remove: { share: 0.2, x: 1, gap_s: 2, how: "remove" } }),
];

/** Troubles of runners and of clients. */
const traffic: readonly Variant[] = [
  ...variantsOf("srv_cut", "faults", {
    "": { share: 0.2, for_s: CUT_SECONDS },
    ...withHow(["fronts", "one_way", "reset"], { share: 0.2, for_s: CUT_SECONDS }),
  }),
  ...variantsOf("garble", "faults", withHow(["unframed", "early"], { share: 0.6, for_s: 5 })),
  ...variantsOf("give_up", "faults", { "": { share: 0.2, for_s: 5 } }),
];

/** Configurations that have to be refused. */
const invalid: readonly Variant[] = variantsOf(
  "bad_config",
  "plan",
  withHow(["unknown_service", "no_weight", "no_timeout"], { count: 2, gap_s: 0.8 }),
);

export const secondEdition: readonly Variant[] = [...control, ...traffic, ...invalid];
