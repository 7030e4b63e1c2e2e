/**
 * Checks the list of system packages in deploy/system.toml against the build.
 *
 *   node .ci/packages.mjs path       prints a folder that holds the programs of the listed packages and no others
 *   node .ci/packages.mjs libraries  fails if the programs load a shared library of a package that is not listed
 *   node .ci/packages.mjs command    prints the build command
 */
import { spawnSync } from "node:child_process";
import { mkdtempSync, readFileSync, realpathSync, symlinkSync } from "node:fs";
import { createRequire } from "node:module";
import { tmpdir } from "node:os";
import { basename, join } from "node:path";

/** Programs that the build runs, by the package that brings each; a shell is on every machine. */
const PROGRAMS = { nodejs: ["node", "npm"] };
const SHELL = "sh";
/** Part of every Debian system: the loader and the C library. */
const ALWAYS_THERE = ["libc6"];

const deployFile = readFileSync("deploy/system.toml", "utf8");

function fail(reason) {
  console.error(`packages: ${reason}`);
  process.exit(1);
}

function listedPackages() {
  const line = /^packages = (\[.*\])$/m.exec(deployFile);
  return line === null ? fail("deploy/system.toml lists none") : JSON.parse(line[1]);
}

function buildCommand() {
  const line = /^build = "(.*)"$/m.exec(deployFile);
  return line === null ? fail("deploy/system.toml has no build") : line[1];
}

function findProgram(name) {
  const found = process.env.PATH.split(":").map((folder) => join(folder, name));
  for (const path of found) {
    try {
      return realpathSync(path);
    } catch {
      continue;
    }
  }
  return fail(`${name} is not on this machine`);
}

function programFolder() {
  const folder = mkdtempSync(join(tmpdir(), "packages-"));
  const programs = listedPackages().flatMap((name) => PROGRAMS[name] ?? []);
  for (const name of [SHELL, ...programs]) symlinkSync(findProgram(name), join(folder, name));
  return folder;
}

function ownerOf(library) {
  const asked = spawnSync("dpkg", ["-S", `*/${basename(library)}`], { encoding: "utf8" });
  const owners = asked.stdout.split("\n").map((line) => line.split(":")[0]);
  return owners.filter((owner) => owner.length > 0);
}

function checkLibraries() {
  const load = createRequire(import.meta.url);
  load("lmdb");
  load("msgpackr");
  const allowed = new Set([...listedPackages(), ...ALWAYS_THERE]);
  const shared = process.report.getReport().sharedObjects;
  const ofSystem = shared.filter((path) => path.startsWith("/") && !path.includes("node_modules"));
  for (const library of ofSystem) {
    const owners = ownerOf(library);
    if (!owners.some((owner) => allowed.has(owner)))
      fail(`${library} belongs to ${owners.join(" or ") || "no package"}, which is not listed`);
  }
  console.log(`packages: ${ofSystem.length} shared libraries, each of a listed package`);
}

const verbs = {
  path: () => console.log(programFolder()),
  command: () => console.log(buildCommand()),
  libraries: checkLibraries,
};
(verbs[process.argv[2]] ?? (() => fail("path, command or libraries?")))();
