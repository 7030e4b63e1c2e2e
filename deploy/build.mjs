import { spawnSync } from "node:child_process";
import { copyFileSync } from "node:fs";
import { build } from "esbuild";

/** One file of the programs under target/, and its compiled code beside it, so that a start reads and compiles little (docs/platform.md). */
const sources = {
  "@chutewick/parts": "packages/parts/src/index.ts",
  "@chutewick/shell": "packages/shell/src/index.ts",
  "@chutewick/control": "packages/control/src/index.ts",
  "@chutewick/data": "packages/data/src/index.ts",
};

/** lmdb and msgpackr bring native code; the others are libraries that moleculer and bunyan would use where somebody installed them. */
const left = [
  "lmdb",
  "msgpackr",
  "avsc",
  "protobufjs",
  "protobufjs/minimal",
  "thrift",
  "kafka-node",
  "dtrace-provider",
  "mv",
  "source-map-support",
  "moment",
];

await build({
  entryPoints: ["platform/src/main.ts"],
  outfile: "target/programs.cjs",
  bundle: true,
  platform: "node",
  format: "cjs",
  target: "node20",
  sourcemap: false,
  supported: { "dynamic-import": false },
  minify: true,
  keepNames: true,
  legalComments: "none",
  external: left,
  alias: Object.fromEntries(Object.entries(sources).map(([name, path]) => [name, `./${path}`])),
});
copyFileSync("deploy/chutewick.cjs", "target/chutewick.cjs");
/** Compiled code holds only for the flags that it was made under: those of deploy/system.toml. */
const made = spawnSync(
  process.execPath,
  ["--max-old-space-size=240", "target/chutewick.cjs", "--compile"],
  { stdio: "inherit" },
);
process.exitCode = made.status ?? 1;
