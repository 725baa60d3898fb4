# Starts and stops a deployment of stand-ins and entry instances on loopback. Sourced by the other scripts.
#
# Settings: DEPLOYMENT (petra or halloway), OUT (directory for logs, keys and process ids), BIN (directory with the
# programs), BASE_PORT, WORKERS (in all availability zones), ENTRIES_PER_ZONE (entry instances), SCHEDULER (fair or naive),
# DRAIN_TIMEOUT (of the entry instances), and LOG_ARGS, WORKER_ARGS and ENTRY_ARGS (further arguments of savory-log,
# savory-worker and savoryd). Ports BASE_PORT to BASE_PORT+1000+WORKERS must be free.

DEPLOYMENT=${DEPLOYMENT:-petra}
OUT_GIVEN=${OUT:+yes}
OUT=${OUT:-out/demo}
# Below 11000, where the ports that tests choose begin (internal/standin/address), and below the range of ports for outgoing
# connections.
BASE_PORT=${BASE_PORT:-8000}
WORKERS=${WORKERS:-50}
ENTRIES_PER_ZONE=${ENTRIES_PER_ZONE:-2}
SCHEDULER=${SCHEDULER:-fair}
BIN=${BIN:-bin}

case $DEPLOYMENT in
  petra)
    ZONES=(amman-bench zarqa-annex salt-store)
    OPERATOR=shop-lead; VIEWER=back-office; CALLER=till; SERVICE=clasp-quote; MEMORY_MB=32768 ;;
  halloway)
    ZONES=(blackstone farmington middlesex)
    OPERATOR=flood-desk; VIEWER=gauge-board; CALLER=bank-phone; SERVICE=washout-check; MEMORY_MB=65536 ;;
  *) echo "DEPLOYMENT must be petra or halloway" >&2; exit 2 ;;
esac

LOG_ADDRESS=127.0.0.1:$BASE_PORT
LIST_ADDRESS=127.0.0.1:$((BASE_PORT + 1))
PIDS=$OUT/pids

# Development tokens: public, listed in examples/*/README.md.
token() { printf 'svp_development-only-%s-%s' "$DEPLOYMENT" "$1"; }
digest() { printf '%s' "$1" | sha256sum | cut -d' ' -f1; }

# launch NAME PROGRAM ARGS... starts a process in the background, with its output in $OUT/NAME.log and its id in $PIDS.
launch() {
  local name=$1; shift
  "$@" >"$OUT/$name.log" 2>&1 &
  echo "$! $name" >>"$PIDS"
}

# check_ports fails if a port is in use: the scripts would talk to processes that they did not start.
check_ports() {
  local n ports=(0 1)
  for ((n = 0; n < ENTRIES_PER_ZONE * ${#ZONES[@]}; n++)); do ports+=($((100 + n)) $((300 + n))); done
  for ((n = 0; n < WORKERS; n++)); do ports+=($((1000 + n))); done
  for n in "${ports[@]}"; do
    if (: <>"/dev/tcp/127.0.0.1/$((BASE_PORT + n))") 2>/dev/null; then
      echo "port $((BASE_PORT + n)) is in use; end what uses it or set another BASE_PORT (now $BASE_PORT)" >&2
      return 1
    fi
  done
}

# check_running fails if a process that launch started has ended, and prints the last lines of its output.
check_running() {
  local pid name
  while read -r pid name; do
    if ! kill -0 "$pid" 2>/dev/null; then
      echo "$name has ended:" >&2
      tail -n 3 "$OUT/$name.log" >&2
      return 1
    fi
  done <"$PIDS"
}

# entry ZONE-INDEX INSTANCE-INDEX sets ZONE, NAME, CALLERS, PEERS and OPERATORS to those of an entry instance.
entry() {
  local n=$(($1 * ENTRIES_PER_ZONE + $2))
  ZONE=${ZONES[$1]}; NAME=e$((n + 1))
  CALLERS=127.0.0.1:$((BASE_PORT + 100 + n)); PEERS=127.0.0.1:$((BASE_PORT + 200 + n))
  OPERATORS=127.0.0.1:$((BASE_PORT + 300 + n))
}

# each_entry COMMAND... runs a command for each entry instance, with the variables set as by entry.
each_entry() {
  local z i
  for z in "${!ZONES[@]}"; do
    for ((i = 0; i < ENTRIES_PER_ZONE; i++)); do entry "$z" "$i"; "$@"; done
  done
}

# make_keys writes a certificate authority's certificate, the keys of all entry instances, and the operator's entry in the
# file for --staff-tokens.
make_keys() {
  local names=()
  add_name() { names+=("$ZONE/$NAME"); }
  each_entry add_name
  "$BIN/savory-setup" authority --out "$OUT/keys" "${names[@]}" >"$OUT/authority.log"
  echo "operator $OPERATOR $(digest "$(token "$OPERATOR")")" >"$OUT/staff"
}

# start_platform starts the stand-ins: the log service, the instance list, and one process per availability zone with the
# zone's share of the workers.
start_platform() {
  local args=() z share first=0
  add_watch() { args+=(--entry "$ZONE/$NAME,$PEERS,$OPERATORS,$CALLERS"); }
  each_entry add_watch
  launch log "$BIN/savory-log" --listen "$LOG_ADDRESS" ${LOG_ARGS:-}
  launch instances "$BIN/savory-instances" --listen "$LIST_ADDRESS" "${args[@]}"
  wait_http "http://$LIST_ADDRESS/instances"
  for z in "${!ZONES[@]}"; do
    share=$(((WORKERS + ${#ZONES[@]} - 1 - z) / ${#ZONES[@]}))
    launch "workers-${ZONES[$z]}" "$BIN/savory-worker" --listen "127.0.0.1:$((BASE_PORT + 1000 + first))" \
      --count "$share" --name "${ZONES[$z]}-w" --zone "${ZONES[$z]}" --memory-mb "$MEMORY_MB" --instances "$LIST_ADDRESS" \
      ${WORKER_ARGS:-}
    first=$((first + share))
  done
}

# start_entry starts the entry instance whose variables are set as by entry.
start_entry() {
  launch "$NAME" "$BIN/savoryd" --name "$NAME" --zone "$ZONE" --callers "$CALLERS" --peers "$PEERS" \
    --operators "$OPERATORS" --log-url "http://$LOG_ADDRESS" --instances-url "http://$LIST_ADDRESS" \
    --tls-cert "$OUT/keys/$ZONE.$NAME.pem" --tls-key "$OUT/keys/$ZONE.$NAME.key.pem" --tls-ca "$OUT/keys/ca.pem" \
    --staff-tokens "$OUT/staff" --scheduler "$SCHEDULER" --drain-timeout "${DRAIN_TIMEOUT:-30s}" ${ENTRY_ARGS:-}
}

# wait_http URL waits until a request to the URL succeeds.
wait_http() {
  local i
  for ((i = 0; i < 600; i++)); do
    if curl -sf -o "$OUT/probe" "$1"; then return 0; fi
    check_running || return 1
    sleep 0.05
  done
  echo "no answer from $1; see $OUT" >&2
  return 1
}

wait_live() { wait_http "http://$OPERATORS/healthz"; }
wait_ready() { wait_http "http://$OPERATORS/readyz"; }

# wait_slots waits until an entry instance has workers with slots. The instance may still have no configuration.
wait_slots() {
  local i
  for ((i = 0; i < 600; i++)); do
    case $(curl -s "http://$OPERATORS/readyz") in *slot*) sleep 0.05 ;; *) return 0 ;; esac
  done
  echo "$NAME has no workers; see $OUT" >&2
  return 1
}

# wait_members waits until an entry instance lists all entry instances as live.
wait_members() {
  local i all=$((ENTRIES_PER_ZONE * ${#ZONES[@]}))
  for ((i = 0; i < 600; i++)); do
    if [ "$(curl -sf -H "Authorization: Bearer $(token "$OPERATOR")" "http://$OPERATORS/v1/status" |
      grep -o '"state":"live"' | wc -l)" = "$all" ]; then return 0; fi
    sleep 0.05
  done
  echo "$NAME does not list all entry instances as live; see $OUT" >&2
  return 1
}

# ctl ARGS... runs savoryctl as the operator.
ctl() {
  entry 0 0
  SAVORY_TOKEN=$(token "$OPERATOR") SAVORY_ENDPOINTS=$OPERATORS "$BIN/savoryctl" "$@"
}

# start_processes starts all processes and waits until all entry instances answer. They have no configuration yet.
start_processes() {
  mkdir -p "$OUT"
  check_ports
  : >"$PIDS"
  make_keys
  start_platform
  each_entry start_entry
  each_entry wait_live
  check_running
}

# publish FILE publishes a configuration and waits until all entry instances are ready and list each other as live.
publish() {
  ctl config publish --yes "$1" >"$OUT/publish.log" 2>&1 || { cat "$OUT/publish.log" >&2; return 1; }
  each_entry wait_ready
  each_entry wait_members
}

# start_system starts all processes and publishes the deployment's example configuration.
start_system() {
  start_processes
  publish "examples/$DEPLOYMENT/config.yaml"
}

# stop_system stops the processes that launch has started, also from another shell. The entry instances stop first, by a
# planned stop, while the other processes still run.
stop_system() {
  local status=0
  [ -f "$PIDS" ] || return 0
  signal_all 'e[0-9]*' ''
  await_all 'e[0-9]*' '' || status=1
  signal_all '*' 'e[0-9]*'
  await_all '*' 'e[0-9]*' || true
  rm -f "$PIDS"
  return $status
}

# is_ours PID reports whether the process is one of the project's programs: the system may have reused the id of a process
# that has ended.
is_ours() {
  case $(cat "/proc/$1/comm" 2>/dev/null || ps -o comm= -p "$1" 2>/dev/null) in
    savoryd* | savory-*) return 0 ;;
  esac
  return 1
}

# signal_all PATTERN EXCEPT sends SIGTERM to the processes whose names match PATTERN and not EXCEPT.
signal_all() {
  local pid name
  while read -r pid name; do
    if [[ $name == $1 && $name != $2 ]] && is_ours "$pid"; then kill -TERM "$pid" 2>/dev/null || true; fi
  done <"$PIDS"
}

# await_all PATTERN EXCEPT waits until the processes whose names match PATTERN and not EXCEPT have ended. It fails if one
# ended with another status than 0.
await_all() {
  local pid name code status=0
  while read -r pid name; do
    [[ $name == $1 && $name != $2 ]] || continue
    code=0
    wait "$pid" 2>/dev/null || code=$?
    # 127: another shell started the process, so its status is unknown here.
    while [ "$code" = 127 ] && is_ours "$pid"; do sleep 0.05; done
    case $code in
      0 | 127) ;;
      *) echo "$name stopped with status $code; see $OUT/$name.log" >&2; status=1 ;;
    esac
  done <"$PIDS"
  return $status
}
