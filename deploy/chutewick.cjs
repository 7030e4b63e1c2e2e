"use strict";
/**
 * Starts the bundled programs. The stored compiled code is used if it fits this release of Node.js; otherwise the bundle is
 * compiled again. With `--compile` the compiled code is written (deploy/build.mjs).
 */

/** SIGHUP announces changed settings; without a handler it would end a process that is still starting. */
process.on("SIGHUP", () => {});

/**
 * The search of msgpackr for its native decoder costs each start more than the decoder saves (docs/decisions.md, The cost of a
 * day).
 */
process.env.MSGPACKR_NATIVE_ACCELERATION_DISABLED = "true";

const { existsSync, readFileSync, writeFileSync } = require("node:fs");
const { join } = require("node:path");
const { Script } = require("node:vm");
const createRequireUsed = require("./unused-modules.cjs");

const bundleFile = join(__dirname, "programs.cjs");
const compiledFile = join(__dirname, "programs.compiled");
const isCompiling = process.argv[2] === "--compile";
/** The bundle is ASCII (deploy/build.mjs) and is read fastest as Latin-1, one byte per character. */
const text = `(function (exports, require, module, __filename, __dirname) {${readFileSync(bundleFile, "latin1")}\n})`;
const cachedData =
  !isCompiling && existsSync(compiledFile) ? readFileSync(compiledFile) : undefined;
const script = new Script(text, { filename: bundleFile, cachedData });
const bundleModule = { exports: {} };
if (isCompiling) process.argv[2] = "--version";
if (isCompiling) process.once("exit", writeCompiledCode);
script.runInThisContext()(
  bundleModule.exports,
  createRequireUsed(bundleFile),
  bundleModule,
  bundleFile,
  __dirname,
);

/** Runs at exit, so that the compiled code includes the functions that a start executes. */
function writeCompiledCode() {
  writeFileSync(compiledFile, script.createCachedData());
}
