#!/bin/sh
# Two control machines lose their disks, one after the other; TROUBLE=0 does the same without any loss or kill.
cd "$(dirname "$0")" || exit 2
exec node case.mjs
