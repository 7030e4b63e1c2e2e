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

/** Parts of the bundled libraries that they load at once and that these programs never use (docs/platform.md, Programs). */
const unusedParts = new RegExp(
  [
    "moleculer/src/runner",
    "moleculer/src/middlewares/(hot-reload|transmit/encryption|transmit/compression)",
    "moleculer/src/metrics/reporters/(console|csv|datadog|event|prometheus|statsd)",
    "moleculer/src/tracing/exporters/(console|datadog|event|event-legacy|jaeger|newrelic|zipkin)",
    "moleculer/src/loggers/(bunyan|datadog|debug|file|log4js|pino|winston)",
    "moleculer/src/transporters/(amqp|amqp10|fake|kafka|mqtt|nats|redis|stan|tcp)",
    "moleculer/src/cachers/(memory|memory-lru|redis)",
    "moleculer/src/serializers/(avro|cbor|msgpack|notepack|protobuf|thrift)",
    "moleculer/src/registry/discoverers/(etcd3|redis)",
    "moleculer/src/validators/fastest",
    "moleculer/node_modules/glob/glob",
    "prom-client/lib/pushgateway",
  ]
    .map((part) => `/node_modules/${part}[.]js$`)
    .join("|"),
);

/** An empty module in place of each unused part. */
function leaveOutUnused(bundler) {
  bundler.onLoad({ filter: unusedParts }, () => ({ contents: "" }));
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
  plugins: [
    { name: "undici-client", setup: resolveUndici },
    { name: "unused-parts", setup: leaveOutUnused },
  ],
});
writeAscii("target/programs.cjs");
for (const file of ["chutewick.cjs", "unused-modules.cjs"])
  copyFileSync(`deploy/${file}`, `target/${file}`);
/** Compiled code holds only for the flags that it was made under. */
const made = spawnSync(process.execPath, [...programFlags(), "target/chutewick.cjs", "--compile"], {
  stdio: "inherit",
});
process.exitCode = made.status ?? 1;

/** Flags of Node.js with which deploy/system.toml runs the programs: the same for all of them. */
function programFlags() {
  const runs = readFileSync("deploy/system.toml", "utf8").matchAll(/^run = "node (.*) target/gm);
  const flags = new Set(Array.from(runs, ([, each]) => each));
  if (flags.size !== 1) throw new Error("the programs run with different flags");
  return [...flags][0].split(" ");
}

/** Regular expressions keep characters beyond ASCII; escaped, the file can be read as one byte a character. */
function writeAscii(file) {
  const text = readFileSync(file, "utf8");
  const escaped = text.replace(/[^\x00-\x7f]/g, escapeOf);
  writeFileSync(file, escaped, "latin1");
}

function escapeOf(character) {
  return `\\u${character.charCodeAt(0).toString(16).padStart(4, "0")}`;
}
