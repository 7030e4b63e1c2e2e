"use strict";
/** Starts the programs from compiled code where it fits this release of Node.js; else they are compiled anew. */
/** Without a handler the signal of changed settings ends a process that has only begun to start. */
process.on("SIGHUP", () => {});

const { existsSync, readFileSync, writeFileSync } = require("node:fs");
const { createRequire } = require("node:module");
const { join } = require("node:path");
const { Script } = require("node:vm");

const file = join(__dirname, "programs.cjs");
const compiled = join(__dirname, "programs.compiled");
const compiles = process.argv[2] === "--compile";
const text = `(function (exports, require, module, __filename, __dirname) {${readFileSync(file, "utf8")}\n})`;
const cachedData = !compiles && existsSync(compiled) ? readFileSync(compiled) : undefined;
const script = new Script(text, { filename: file, cachedData });
const own = { exports: {} };
if (compiles) process.argv[2] = "--version";
if (compiles) process.once("exit", keep);
script.runInThisContext()(own.exports, createRequire(file), own, file, __dirname);

/** At the end, so that what a start runs is in it. */
function keep() {
  writeFileSync(compiled, script.createCachedData());
}
