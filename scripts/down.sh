#!/usr/bin/env bash
# Performs a planned stop of the deployment that scripts/up.sh has started.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh

if [ ! -f "$PIDS" ]; then
  echo "nothing runs in $OUT; name the directory with OUT=..." >&2
  exit 1
fi
stop_system
echo "stopped; the logs are in $OUT"
