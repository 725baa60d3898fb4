#!/usr/bin/env bash
# Plays the case against the programs of the deploy file and of review/build-2.sh. TROUBLE=0 leaves the disruption out.
# Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/savorypass ] && [ -x target/review/stand-2 ] || { echo "build the deploy file and review/build-2.sh first" >&2; exit 2; }
exec target/review/stand-2 unread review/8/record.txt
