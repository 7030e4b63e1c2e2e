/**
 * Checks that deploy/system.toml lists the system packages that the build and the programs need.
 *
 *   node .ci/packages.mjs path       creates a folder with links to only the programs of the listed packages; prints its path
 *   node .ci/packages.mjs libraries  fails if a loaded shared library belongs to a package that is not listed
 *   node .ci/packages.mjs command    prints the build command
 */
import { spawnSync } from "node:child_process";
import { mkdtempSync, readFileSync, realpathSync, symlinkSync } from "node:fs";
import { createRequire } from "node:module";
import { tmpdir } from "node:os";
import { basename, join } from "node:path";

/** Programs that the build runs, by the package that provides them. */
const PROGRAMS_BY_PACKAGE = { nodejs: ["node", "npm"] };
/** Available on every machine, so no listed package provides it. */
const SHELL = "sh";
/** Packages of every Debian system: the dynamic loader and the C library. */
const BASE_PACKAGES = ["libc6"];

const deploySettings = readFileSync("deploy/system.toml", "utf8");

function fail(reason) {
  console.error(`packages: ${reason}`);
  process.exit(1);
}

function listedPackages() {
  const line = /^packages = (\[.*\])$/m.exec(deploySettings);
  return line === null ? fail("deploy/system.toml has no list of packages") : JSON.parse(line[1]);
}

function buildCommand() {
  const line = /^build = "(.*)"$/m.exec(deploySettings);
  return line === null ? fail("deploy/system.toml has no build command") : line[1];
}

function findProgram(name) {
  const candidates = process.env.PATH.split(":").map((folder) => join(folder, name));
  for (const path of candidates) {
    try {
      return realpathSync(path);
    } catch {
      continue;
    }
  }
  return fail(`${name} is not installed on this machine`);
}

function createProgramFolder() {
  const folder = mkdtempSync(join(tmpdir(), "packages-"));
  const programs = listedPackages().flatMap((name) => PROGRAMS_BY_PACKAGE[name] ?? []);
  for (const name of [SHELL, ...programs]) symlinkSync(findProgram(name), join(folder, name));
  return folder;
}

function ownersOf(library) {
  const query = spawnSync("dpkg", ["-S", `*/${basename(library)}`], { encoding: "utf8" });
  const owners = query.stdout.split("\n").map((line) => line.split(":")[0]);
  return owners.filter((owner) => owner.length > 0);
}

function checkLibraries() {
  const requireModule = createRequire(import.meta.url);
  requireModule("lmdb");
  requireModule("msgpackr");
  const allowedPackages = new Set([...listedPackages(), ...BASE_PACKAGES]);
  const libraries = process.report.getReport().sharedObjects;
  const systemLibraries = libraries.filter(
    (path) => path.startsWith("/") && !path.includes("node_modules"),
  );
  for (const library of systemLibraries) {
    const owners = ownersOf(library);
    if (!owners.some((owner) => allowedPackages.has(owner)))
      fail(`${library} belongs to ${owners.join(" or ") || "no package"}, which is not listed`);
  }
  console.log(
    `packages: ${systemLibraries.length} shared libraries; all belong to listed packages`,
  );
}

const subcommands = {
  path: () => console.log(createProgramFolder()),
  command: () => console.log(buildCommand()),
  libraries: checkLibraries,
};
(subcommands[process.argv[2]] ?? (() => fail("expected one of: path, libraries, command")))();
