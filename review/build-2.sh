#!/bin/sh
# Builds what the scripts of review/4 to review/8 start, after the build of the deploy file. Their stand-ins are plain modules of
# Node.js in review/lib-2 and in the folders of the cases, without dependencies: there is nothing to compile, only to check.
cd "$(dirname "$0")/.." || exit 1
test -f target/chutewick.cjs || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
for file in review/lib-2/*.mjs review/[45678]/*.mjs; do
  test -f "$file" || continue
  node --check "$file" || exit 1
done
