#!/usr/bin/env bash
# Starts a deployment on loopback, submits a job of 160 tasks, submits it again through another availability zone, shows
# that each task started once, and performs a planned stop of the whole deployment while a last job is running.
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
start_system
ctl status

# job N RUN_MS prints a job of N tasks that run for RUN_MS milliseconds each.
job() {
  local i tasks=()
  for ((i = 0; i < $1; i++)); do tasks+=("{\"payload\":\"{\\\"run_ms\\\":$2,\\\"output\\\":\\\"task $i\\\"}\",\"run_time_ms\":$2}"); done
  local IFS=,
  printf '{"service":"%s","tasks":[%s]}' "$SERVICE" "${tasks[*]}"
}
# submit ADDRESS ARGS... submits a job at a callers' address and prints the answer as JSON.
submit() {
  local to=$1; shift
  SAVORY_TOKEN=$(token "$CALLER") "$BIN/savoryctl" -o json submit --to "$to" "$@"
}
# summary FILE prints the code and the number of outputs of an answer.
summary() {
  sed -n 's/.*"name": *"\([a-z_]*\)".*/answer: \1/p' "$1" | head -1
  printf 'outputs: %s\n' "$(grep -o '"task [0-9]*"' "$1" | wc -l)"
}

job 160 200 >"$OUT/job.json"
entry 0 0
echo "submitting a job of 160 tasks at $NAME in $ZONE"
submit "$CALLERS" "$OUT/job.json" >"$OUT/first.json"
summary "$OUT/first.json"
identity=$(sed -n 's/.*"identity": *"\([^"]*\)".*/\1/p' "$OUT/first.json" | head -1)

entry 1 0
echo "submitting it again at $NAME in $ZONE"
submit "$CALLERS" --identity "$identity" "$OUT/job.json" >"$OUT/second.json"
summary "$OUT/second.json"
cmp "$OUT/first.json" "$OUT/second.json" && echo "both answers are equal"

echo "starts of each task, from the workers' own records:"
for ((w = 0; w < WORKERS; w++)); do curl -sf "http://127.0.0.1:$((BASE_PORT + 1000 + w))/starts"; echo; done >"$OUT/starts.json"
grep -o "\"$identity/[0-9]*\":{\"count\":[0-9]*" "$OUT/starts.json" | sed 's/.*"count"://' | sort | uniq -c |
  while read -r tasks starts; do echo "  $tasks tasks were started $starts time(s)"; done
[ "$(grep -o "\"$identity/[0-9]*\":{\"count\":1[,}]" "$OUT/starts.json" | wc -l)" = 160 ]

echo "stopping all while a job is running"
job 160 400 >"$OUT/last-job.json"
entry 2 0
submit "$CALLERS" "$OUT/last-job.json" >"$OUT/last.json" &
last=$!
for ((i = 0; i < 200; i++)); do
  if curl -sf -H "Authorization: Bearer $(token "$OPERATOR")" "http://$OPERATORS/v1/status" | grep -q '"jobs":1'; then break; fi
  sleep 0.02
done
stop_system
wait "$last"
summary "$OUT/last.json"
grep -q '"name": *"complete"' "$OUT/last.json"
trap - EXIT
echo "demo: all jobs complete, each task started once"
