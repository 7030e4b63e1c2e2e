import type { Guard } from "../guards.js";

const ledger = "packages/control/dist/duties/duty-ledger.js";
const performer = "packages/control/dist/duties/subject-performer.js";

/** What holds the rules of duties, and how each is taken out (docs/testing.md §2). */
export const dutyGuards: Readonly<Record<string, Guard>> = {
  "a round counts for a short time since it was asked for": {
    section: "§14.3",
    cuts: [
      {
        file: performer,
        from: "return askedAt + dutyBounds.roundValidityMs(this.#machine.bounds);",
        to: "return Number.POSITIVE_INFINITY;",
      },
    ],
  },
  "what an act says is decided once": {
    section: "§14.3",
    cuts: [
      {
        file: ledger,
        from: "if (record?.open.includes(command.number) === true)",
        to: "if (false)",
      },
    ],
  },
  "another holder wins only after the lease": {
    section: "§14.3",
    cuts: [{ file: ledger, from: "return record.at + command.lease - time;", to: "return 0;" }],
  },
  "the fence rises when the holder changes": {
    section: "§14.3",
    cuts: [{ file: ledger, from: "record.fence + 1", to: "record.fence" }],
  },
  "an act that was taken is never decided again": {
    section: "§14.3",
    cuts: [
      {
        file: ledger,
        from: "numberRanges.has(record.finished, command.number)",
        to: "false",
      },
    ],
  },
};
