"use strict";
/** The only module of undici that the programs use; the index of undici would also load the copy built into Node.js. */
exports.Client = require("undici/lib/dispatcher/client.js");
