"use strict";
/** The one part of undici that the programs use: its whole index also loads Node.js's own copy of undici. */
exports.Client = require("undici/lib/dispatcher/client.js");
