import { parseArgs } from "node:util";
import { runSeed } from "./run.js";
import { sizes } from "./system.js";

/** `npm run soak -- --from 1 --to 50 [--processes small|large] [--seconds N]`: plays seeds one after another. */

const INTERRUPTED = 130;

const options = {
  from: { type: "string", default: "1" },
  to: { type: "string", default: "1" },
  processes: { type: "string", default: "small" },
  seconds: { type: "string", default: "25" },
} as const;

function isSize(text: string): text is keyof typeof sizes {
  return Object.hasOwn(sizes, text);
}

async function main(): Promise<void> {
  const { values } = parseArgs({ options });
  const { processes } = values;
  if (!isSize(processes))
    throw new Error(`--processes must be one of ${Object.keys(sizes).join(", ")}`);
  const failed: number[] = [];
  for (let seed = Number(values.from); seed <= Number(values.to); seed += 1) {
    const result = await runSeed({ seed, processes, seconds: Number(values.seconds) });
    const { violations, folder, figures } = result;
    console.log(`seed ${seed}: ${violations.length} violations ${JSON.stringify(figures)}`);
    for (const { rule, at, facts: found } of violations.slice(0, 20))
      console.log(`  seed ${seed} at ${at} ms ${rule}: ${found}`);
    if (folder === undefined) continue;
    failed.push(seed);
    console.log(`  logs: ${folder}`);
  }
  console.log(failed.length === 0 ? "no seed failed" : `failed seeds: ${failed.join(" ")}`);
  process.exit(failed.length === 0 ? 0 : 1);
}

function interrupted(): void {
  process.exit(INTERRUPTED);
}

process.once("SIGINT", interrupted);
process.once("SIGTERM", interrupted);
await main();
