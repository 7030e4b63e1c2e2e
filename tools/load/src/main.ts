import { command, number, oneOf, option, optional, run, string } from "cmd-ts";
import { Load, mixes } from "./load.js";

/** `npm run load -- --access 127.0.3.1:7200,127.0.3.2:7200 --mix pallet --seconds 30` */
async function start(given: {
  access: string;
  mix: string;
  seconds: number;
  live: number;
  lots: number;
  seed: number;
  flood: string | undefined;
}): Promise<void> {
  const [from, seconds, times] = given.flood?.split("/").map(Number) ?? [];
  const flood =
    from === undefined ? undefined : { from, seconds: seconds ?? 10, times: times ?? 3 };
  const load = new Load({
    access: given.access.split(","),
    mix: mixes[given.mix]!,
    seconds: given.seconds,
    live: given.live,
    lots: given.lots,
    seed: given.seed,
    ...(flood === undefined ? {} : { flood }),
  });
  const report = await load.run();
  process.stdout.write(`${JSON.stringify({ mix: given.mix, ...report }, undefined, 2)}\n`);
  process.exit(load.breaches.length === 0 ? 0 : 1);
}

function one(): number {
  return 1;
}
function thirty(): number {
  return 30;
}
function pallet(): string {
  return "pallet";
}

void run(
  command({
    name: "load",
    description: "open-loop traffic of the two firms",
    handler: start,
    args: {
      access: option({
        type: string,
        long: "access",
        description: "access nodes, IP:port, with commas between",
      }),
      mix: option({ type: oneOf(Object.keys(mixes)), long: "mix", defaultValue: pallet }),
      seconds: option({ type: number, long: "seconds", defaultValue: thirty }),
      live: option({
        type: number,
        long: "live",
        defaultValue: one,
        description: "multiplies live arrivals",
      }),
      lots: option({
        type: number,
        long: "lots",
        defaultValue: one,
        description: "multiplies lots",
      }),
      seed: option({ type: number, long: "seed", defaultValue: one }),
      flood: option({
        type: optional(string),
        long: "flood",
        description: "from/seconds/times: a flood of live arrivals",
      }),
    },
  }),
  process.argv.slice(2),
);
