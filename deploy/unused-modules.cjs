"use strict";
/**
 * Keeps the bundled libraries from loading modules that these programs never use, since each start would spend processor time
 * on them (docs/platform.md, Programs).
 */
const { createRequire } = require("node:module");

/** Optional dependencies: a library continues without them if the load fails. */
const unavailableModules = new Set([
  "dtrace-provider",
  "moment",
  "mv",
  "node:http2",
  "source-map-support",
]);

/** Built-in modules that are loaded when one of their properties is first read. */
const lazyModules = new Set(["http2", "https"]);

/** Returns a proxy that loads the module when one of its properties is first read. */
function loadLazily(nativeRequire, name) {
  return new Proxy({}, { get: (_target, property) => nativeRequire(name)[property] });
}

/** Returns the `require` function of a file, with the exceptions listed above. */
module.exports = function createRequireUsed(file) {
  const nativeRequire = createRequire(file);
  return function requireUsed(name) {
    if (unavailableModules.has(name)) throw new Error(`${name} is not used by these programs`);
    return lazyModules.has(name) ? loadLazily(nativeRequire, name) : nativeRequire(name);
  };
};
