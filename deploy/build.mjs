/**
 * Builds the programs under target/: bundles them into one file and stores its compiled code beside it, so that a start reads
 * and compiles little (docs/platform.md).
 */
import { spawnSync } from "node:child_process";
import { copyFileSync, readFileSync, writeFileSync } from "node:fs";
import { resolve } from "node:path";
import { build } from "esbuild";

/** Entry point in TypeScript of each package of this repository. */
const packageSources = {
  "@chutewick/parts": "packages/parts/src/index.ts",
  "@chutewick/shell": "packages/shell/src/index.ts",
  "@chutewick/control": "packages/control/src/index.ts",
  "@chutewick/data": "packages/data/src/index.ts",
};

/**
 * Packages that are not bundled: lmdb and msgpackr contain native code; the others are optional dependencies of moleculer and
 * bunyan that are not installed.
 */
const externalPackages = [
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

/** Replaces undici by its client module (deploy/undici-client.cjs). */
function resolveUndici(bundler) {
  const path = resolve("deploy/undici-client.cjs");
  bundler.onResolve({ filter: /^undici$/ }, () => ({ path }));
}

/** Modules of bundled libraries that are loaded eagerly and never used by these programs (docs/platform.md, Programs). */
const unusedModules = new RegExp(
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
    .map((module) => `/node_modules/${module}[.]js$`)
    .join("|"),
);

/** Replaces each unused module by an empty one. */
function replaceUnused(bundler) {
  bundler.onLoad({ filter: unusedModules }, () => ({ contents: "" }));
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
  external: externalPackages,
  alias: Object.fromEntries(
    Object.entries(packageSources).map(([name, path]) => [name, `./${path}`]),
  ),
  plugins: [
    { name: "undici-client", setup: resolveUndici },
    { name: "unused-modules", setup: replaceUnused },
  ],
});
escapeNonAscii("target/programs.cjs");
for (const file of ["chutewick.cjs", "unused-modules.cjs"])
  copyFileSync(`deploy/${file}`, `target/${file}`);
/** Node.js accepts compiled code only under the flags that it was produced with. */
const compilation = spawnSync(
  process.execPath,
  [...programFlags(), "target/chutewick.cjs", "--compile"],
  {
    stdio: "inherit",
  },
);
process.exitCode = compilation.status ?? 1;

/** Returns the Node.js flags with which deploy/system.toml runs the programs; they must be the same for all programs. */
function programFlags() {
  const commands = readFileSync("deploy/system.toml", "utf8").matchAll(
    /^run = "node (.*) target/gm,
  );
  const flags = new Set(Array.from(commands, ([, text]) => text));
  if (flags.size !== 1)
    throw new Error("deploy/system.toml must run all programs with the same Node.js flags");
  return [...flags][0].split(" ");
}

/**
 * Escapes the characters beyond ASCII that esbuild leaves in regular expressions, so that the file can be read as Latin-1, one
 * byte per character.
 */
function escapeNonAscii(file) {
  const text = readFileSync(file, "utf8");
  const escaped = text.replace(/[^\x00-\x7f]/g, escapeCharacter);
  writeFileSync(file, escaped, "latin1");
}

function escapeCharacter(character) {
  return `\\u${character.charCodeAt(0).toString(16).padStart(4, "0")}`;
}
