"use strict";
/** Starts the programs from compiled code where it fits this release of Node.js; else they are compiled anew. */
/** Without a handler the signal of changed settings ends a process that has only begun to start. */
process.on("SIGHUP", () => {});

/** Its search for a native decoder costs each start more than the decoder saves (docs/decisions.md, The cost of a day). */
process.env.MSGPACKR_NATIVE_ACCELERATION_DISABLED = "true";

const { existsSync, readFileSync, writeFileSync } = require("node:fs");
const { join } = require("node:path");
const { Script } = require("node:vm");
const requireOf = require("./unused-modules.cjs");

const file = join(__dirname, "programs.cjs");
const compiled = join(__dirname, "programs.compiled");
const compiles = process.argv[2] === "--compile";
/** The bundle is ASCII (deploy/build.mjs), and is read fastest as one byte a character. */
const text = `(function (exports, require, module, __filename, __dirname) {${readFileSync(file, "latin1")}\n})`;
const cachedData = !compiles && existsSync(compiled) ? readFileSync(compiled) : undefined;
const script = new Script(text, { filename: file, cachedData });
const own = { exports: {} };
if (compiles) process.argv[2] = "--version";
if (compiles) process.once("exit", keep);
script.runInThisContext()(own.exports, requireOf(file), own, file, __dirname);

/** At the end, so that what a start runs is in it. */
function keep() {
  writeFileSync(compiled, script.createCachedData());
}
