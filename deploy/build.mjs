import { spawnSync } from "node:child_process";
import { copyFileSync, readFileSync, writeFileSync } from "node:fs";
import { resolve } from "node:path";
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

/** Only the client of undici is bundled (deploy/undici-client.cjs). */
function resolveUndici(bundler) {
  const path = resolve("deploy/undici-client.cjs");
  bundler.onResolve({ filter: /^undici$/ }, () => ({ path }));
}

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
  plugins: [{ name: "undici-client", setup: resolveUndici }],
});
writeAscii("target/programs.cjs");
for (const file of ["chutewick.cjs", "unused-modules.cjs"])
  copyFileSync(`deploy/${file}`, `target/${file}`);
/** Compiled code holds only for the flags that it was made under: those of deploy/system.toml. */
const made = spawnSync(
  process.execPath,
  ["--max-old-space-size=240", "target/chutewick.cjs", "--compile"],
  { stdio: "inherit" },
);
process.exitCode = made.status ?? 1;

/** Regular expressions keep characters beyond ASCII; escaped, the file can be read as one byte a character. */
function writeAscii(file) {
  const text = readFileSync(file, "utf8");
  const escaped = text.replace(/[^\x00-\x7f]/g, escapeOf);
  writeFileSync(file, escaped, "latin1");
}

function escapeOf(character) {
  return `\\u${character.charCodeAt(0).toString(16).padStart(4, "0")}`;
}
