import { build } from "esbuild";

/** One file of the programs under target/, so that a start reads few files; libraries that load parts at run time stay where npm put them. */
const sources = {
  "@chutewick/parts": "packages/parts/src/index.ts", "@chutewick/shell": "packages/shell/src/index.ts",
  "@chutewick/control": "packages/control/src/index.ts", "@chutewick/data": "packages/data/src/index.ts",
};

await build({
  entryPoints: ["platform/src/main.ts"], outfile: "target/chutewick.mjs", bundle: true, platform: "node", format: "esm", target: "node20", sourcemap: false,
  alias: Object.fromEntries(Object.entries(sources).map(([name, path]) => [name, `./${path}`])),
  external: ["moleculer", "moleculer-web", "lmdb", "msgpackr", "dtrace-provider", "mv", "source-map-support", "moment"],
  banner: { js: "import { createRequire as createRequireOfFile } from \"node:module\"; const require = createRequireOfFile(import.meta.url);" },
});
