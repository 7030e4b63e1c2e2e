#!/bin/sh
# The stand-ins of review/lib are plain JavaScript for Node.js without dependencies: there is nothing to compile.
set -e
cd "$(dirname "$0")/.."
for file in review/lib/*.mjs review/[123]/*.mjs; do node --check "$file"; done
