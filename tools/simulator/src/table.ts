import { command, number, option, optional, run, string } from "cmd-ts";
import { rows } from "./guards.js";
import { prove } from "./proof.js";

/** What the command line gave. */
interface Given {
  readonly from: number;
  readonly to: number;
  readonly without: number;
  readonly only: string | undefined;
}

/** `npm run proof -- --from 1 --to 20` plays the proof table. */
async function play({ only, from, to, without }: Given): Promise<void> {
  let bad = 0;
  for (const [fault, guard] of rows) {
    if (only !== undefined && !only.split(",").some(isIn, fault)) continue;
    const proof = await prove({ fault, guard, from, to, without });
    if (proof.broken.length > 0 || proof.brokenWithout === 0 || proof.strikes === 0) bad += 1;
    process.stdout.write(`${JSON.stringify({ ...proof, broken: proof.broken.slice(0, 4) })}\n`);
  }
  process.exit(bad === 0 ? 0 : 1);
}

function isIn(this: unknown, part: string): boolean {
  return String(this).includes(part);
}
function one(): number {
  return 1;
}
function eight(): number {
  return 8;
}
function four(): number {
  return 4;
}

void run(
  command({
    name: "proof",
    description: "each rule's targeted fault, with its guard and without",
    handler: play,
    args: {
      from: option({ type: number, long: "from", defaultValue: one }),
      to: option({ type: number, long: "to", defaultValue: eight }),
      without: option({
        type: number,
        long: "without",
        defaultValue: four,
        description: "seeds played without the guard",
      }),
      only: option({
        type: optional(string),
        long: "only",
        description: "parts of faults' names, with commas between",
      }),
    },
  }),
  process.argv.slice(2),
);
