#!/bin/sh
# Many lots come at once; TROUBLE=0 plays the same traffic without the bursts.
cd "$(dirname "$0")" || exit 2
exec node case.mjs
