#!/usr/bin/env bash
# Starts a deployment on loopback and leaves it running until scripts/down.sh stops it. It has no configuration,
# unless CONFIG names a file to publish.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh

if [ -f "$PIDS" ]; then
  echo "$OUT holds a running deployment; end it with: make demo-down${OUT_GIVEN:+ OUT=$OUT}" >&2
  exit 1
fi
rm -rf "$OUT"
trap 'stop_system || true' EXIT
echo "starting $WORKERS workers and $((ENTRIES_PER_ZONE * ${#ZONES[@]})) entry instances in ${#ZONES[@]} availability zones"
start_processes
each_entry wait_members
each_entry wait_slots
if [ -n "${CONFIG:-}" ]; then publish "$CONFIG"; fi

# An absolute path, so that the lines below work in every directory.
out=$(cd "$OUT" && pwd)
mkdir -p "$OUT/tokens"
for name in "$OPERATOR" "$VIEWER" "$CALLER"; do (umask 077 && token "$name" >"$OUT/tokens/$name"); done
operators=() callers=()
show_entry() {
  echo "  $NAME in $ZONE: callers $CALLERS, operators $OPERATORS"
  operators+=("$OPERATORS"); callers+=("$CALLERS")
}
each_entry show_entry
join() { local IFS=,; echo "$*"; }
cat >"$OUT/env" <<END
export PATH=$(cd "$BIN" && pwd):\$PATH
export SAVORY_ENDPOINTS=$(join "${operators[@]}")
export SAVORY_CALLERS=$(join "${callers[@]}")
export SAVORY_TOKEN_FILE=$out/tokens/$OPERATOR
export CALLER_TOKEN_FILE=$out/tokens/$CALLER
export A=${callers[0]} B=${callers[-1]} T=\$(cat $out/tokens/$CALLER)
END
trap - EXIT
echo "running; state, logs and process ids are in $OUT. For your shell:"
echo "  . $OUT/env"
echo "which sets"
sed 's/^export /  /' "$OUT/env"
echo "tokens: SAVORY_TOKEN_FILE is operator $OPERATOR, CALLER_TOKEN_FILE and T are caller $CALLER, viewer $VIEWER is in $out/tokens"
if [ -z "${CONFIG:-}" ]; then echo "no configuration is published yet: savoryctl config publish examples/$DEPLOYMENT/config.yaml"; fi
echo "end it with: make demo-down${OUT_GIVEN:+ OUT=$OUT}"
