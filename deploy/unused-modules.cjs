"use strict";
/**
 * Modules that the bundled libraries require as they load and that these programs never use: loading them
 * costs processor time of each start (docs/platform.md, Programs).
 */
const { createRequire } = require("node:module");

/** Optional parts of libraries: their users take a failed load for their absence. */
const absent = new Set(["dtrace-provider", "moment", "mv", "node:http2", "source-map-support"]);

/** Built-in modules that are loaded only when something of them is used. */
const deferred = new Set(["http2", "https"]);

/** @returns a stand-in for a module, which loads it at the first use of one of its properties */
function loadLater(load, name) {
  return new Proxy({}, { get: (_target, property) => load(name)[property] });
}

/** @returns the `require` of a file, without the modules above */
module.exports = function requireOf(file) {
  const load = createRequire(file);
  return function requireUsed(name) {
    if (absent.has(name)) throw new Error(`${name} is not used by these programs`);
    return deferred.has(name) ? loadLater(load, name) : load(name);
  };
};
