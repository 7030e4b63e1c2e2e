/** The kinds of trouble that a day of the users' bench can hold, each with the variants to be played. */
import { secondEdition } from "./second-edition.js";
import { variantsOf, withHow, type Variant, type VariantFields } from "./variants.js";

/** How a day ends, if it ends with a closing fault. */
export interface Closing {
  readonly name: string;
  readonly fields: VariantFields;
}

const CUT_SECONDS = 5;
const LONG_CUT_SECONDS = 20;

const control: Variant[] = [
  ...variantsOf("core_cut", "faults", {
    "": { for_s: CUT_SECONDS },
    "20 s": { for_s: LONG_CUT_SECONDS },
    "20 s one_way leader race": { for_s: LONG_CUT_SECONDS, how: "one_way leader race" },
    "20 s leader race drain": { for_s: LONG_CUT_SECONDS, how: "leader race drain" },
    "20 s seeds": { for_s: LONG_CUT_SECONDS, how: "seeds race" },
    both: { for_s: CUT_SECONDS, how: "both meet" },
    reset: { for_s: CUT_SECONDS, how: "reset leader" },
    refuse: { for_s: CUT_SECONDS, how: "refuse leader" },
    "reader race": { for_s: CUT_SECONDS, how: "reader race" },
  }),
  ...variantsOf("node_kill", "faults", {
    core: { on: "core", count: 1, for_s: 3 },
    "core leader race drain hard": {
      on: "core",
      count: 1,
      for_s: 3,
      how: "leader race drain hard",
    },
    "core meet": { on: "core", count: 1, for_s: 3, how: "meet" },
    "core power leader": { on: "core", count: 1, for_s: 3, how: "power leader" },
    "core seed": { on: "core", count: 1, for_s: 3, how: "seed" },
    store: { on: "store", count: 1, for_s: 3 },
    "store power": { on: "store", count: 1, for_s: 3, how: "power" },
    front: { on: "front", share: 0.2, for_s: 3 },
  }),
  ...variantsOf("node_freeze", "faults", {
    core: { on: "core", count: 1, for_s: 4 },
    "core leader race": { on: "core", count: 1, for_s: 4, how: "leader race" },
    store: { on: "store", count: 1, for_s: 4 },
    front: { on: "front", share: 0.2, for_s: 3 },
  }),
  ...variantsOf("replace_core", "faults", {
    core: { on: "core", x: 2 },
    "core planned": { on: "core", x: 2, how: "planned" },
    store: { on: "store", x: 2 },
    "store planned": { on: "store", x: 2, how: "planned" },
  }),
  ...variantsOf("after_ack_kill", "faults", {
    core: { on: "core", count: 1, for_s: 3 },
    "core timed": { on: "core", count: 1, for_s: 3, how: "timed" },
    store: { on: "store", count: 1, for_s: 2 },
    "store taken": { on: "store", count: 1, for_s: 2, how: "taken" },
    kill: { count: 1, for_s: 2, how: "kill" },
  }),
  ...variantsOf("after_ack_wipe", "faults", {
    core: { on: "core", count: 1, for_s: 3 },
    "core timed": { on: "core", count: 1, for_s: 3, how: "timed" },
    store: { on: "store", count: 1, for_s: 2 },
    "store taken": { on: "store", count: 1, for_s: 2, how: "taken" },
  }),
  ...variantsOf("herd_kill", "faults", {
    core: { on: "core" },
    "core power": { on: "core", how: "power" },
    taken: { how: "taken" },
    front: { on: "front", share: 0.6 },
  }),
];

const machines: Variant[] = [
  ...variantsOf("node_cut", "faults", {
    "": { share: 0.2, for_s: CUT_SECONDS },
    servers: { share: 0.2, for_s: CUT_SECONDS, how: "servers" },
  }),
  ...variantsOf("core_cut", "faults", { store: { on: "store", count: 1, for_s: 4 } }),
  ...variantsOf("node_slow", "faults", {
    front: { on: "front", share: 0.2, x: 5, for_s: 5 },
    store: { on: "store", count: 1, x: 5, for_s: 5 },
    core: { on: "core", count: 1, x: 5, for_s: 5 },
  }),
  ...variantsOf("disk_slow", "faults", {
    core: { on: "core", for_s: 6 },
    store: { on: "store", for_s: 6 },
  }),
  ...variantsOf("disk_full", "faults", {
    core: { on: "core", for_s: 6 },
    store: { on: "store", for_s: 6 },
  }),
  ...variantsOf("disk_stall", "faults", {
    core: { on: "core", for_s: 5 },
    store: { on: "store", for_s: 5 },
  }),
  ...variantsOf("clock_step", "faults", {
    back: { x: 4000, for_s: 8, how: "back" },
    ahead: { x: 4000, for_s: 8, how: "ahead" },
  }),
  ...variantsOf("reset_conns", "faults", { "": { share: 0.4 } }),
  ...variantsOf("ack_lost", "faults", { "": { x: 0.7, for_s: 15 } }),
  ...variantsOf("seed_turnover", "faults", { "": {} }),
];

const runners: Variant[] = [
  ...variantsOf("srv_crash", "faults", {
    "": { share: 0.17, for_s: 4 },
    ...withHow(["dark", "gone"], { share: 0.17, for_s: 4 }),
  }),
  ...variantsOf("srv_slow", "faults", { "": { share: 0.17, for_s: 5 } }),
  ...variantsOf(
    "srv_grey",
    "faults",
    withHow(["errors", "shed", "busy", "hang", "reset", "mute", "slow"], { share: 0.17, for_s: 5 }),
  ),
  ...variantsOf("replace_with_reuse", "faults", {
    "": { share: 0.17 },
    ...withHow(["drain", "dark"], { share: 0.17 }),
  }),
  ...variantsOf("answer_lost", "faults", {
    "": { share: 0.5, x: 0.05, for_s: 5 },
    reset: { share: 0.5, x: 0.05, for_s: 5, how: "reset" },
  }),
  ...variantsOf("garble", "faults", {
    "": { share: 0.6, x: 0.03, for_s: 5 },
    "extra late": { share: 0.6, x: 0.03, for_s: 5, how: "extra late" },
  }),
  ...variantsOf("scale_out", "plan", { "": { gap_s: 1 } }),
  ...variantsOf("scale_in", "plan", { "": { share: 0.2 }, spot: { share: 0.2, how: "spot" } }),
  ...variantsOf("release", "plan", { "": { share: 0.45, x: 1, gap_s: 1 } }),
  ...variantsOf("burst", "faults", { "": { x: 1.5, for_s: 4 } }),
];

const planned: Variant[] = [
  ...variantsOf("roll_term", "plan", {
    "": { share: 0.45, x: 1, gap_s: 1.3 },
    busy: { how: "busy", gap_s: 1 },
    core: { on: "core", gap_s: 4 },
    store: { on: "store", gap_s: 4 },
  }),
  ...variantsOf("add_nodes", "plan", {
    front: { on: "front", count: 1 },
    store: { on: "store", count: 1 },
  }),
  ...variantsOf("retire", "plan", { "": { for_s: 9 }, wipe: { for_s: 9, how: "wipe" } }),
  ...variantsOf("hup", "plan", { "": { share: 0.5, gap_s: 2 } }),
  ...variantsOf("config_race", "plan", {
    "": { count: 4, gap_s: 0.8 },
    many: { count: 30, gap_s: 0.8 },
  }),
  ...variantsOf("bad_config", "plan", {
    "": { count: 3, gap_s: 0.8 },
    ...withHow(["same_version", "old_version", "cut_short", "same_place"], {
      count: 2,
      gap_s: 0.8,
    }),
  }),
  ...variantsOf("config_change", "plan", withHow(["route", "weights", "timeout", "quota", "idle"])),
];

/** Edition of the catalogue that a day is drawn from; each later one adds to the one before. */
export type Edition = 1 | 2;

/** Edition that new days are drawn from. */
export const NEWEST_EDITION: Edition = 2;

const firstEdition: readonly Variant[] = [...control, ...machines, ...runners, ...planned];

/** Every variant of each edition. Days of the journal are read by the edition that they were drawn from. */
export const editions: Readonly<Record<Edition, readonly Variant[]>> = {
  1: firstEdition,
  2: [...firstEdition, ...secondEdition],
};

/** Every way in which a day may end, the first without a closing fault. */
export const closings: readonly (Closing | undefined)[] = [
  undefined,
  { name: "power_off_all", fields: { kind: "power_off_all", down_s: 1.4 } },
  { name: "power_off_all timed", fields: { kind: "power_off_all", down_s: 1.4, how: "timed" } },
  { name: "power_off_all taken", fields: { kind: "power_off_all", down_s: 1.2, how: "taken" } },
  { name: "kill_all", fields: { kind: "kill_all", down_s: 0.9 } },
  { name: "wipe_after_ack", fields: { kind: "wipe_after_ack", down_s: 1.6 } },
  { name: "wipe_after_ack timed", fields: { kind: "wipe_after_ack", down_s: 1.6, how: "timed" } },
  { name: "wipe_after_ack taken", fields: { kind: "wipe_after_ack", down_s: 1.6, how: "taken" } },
];
