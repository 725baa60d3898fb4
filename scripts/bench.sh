#!/usr/bin/env bash
# Starts clusters of stand-ins and entry instances on loopback, measures them with savory-bench, and stops every process
# that it started, by process id. The ports 27000 to 27299 must be free.
#
# It compares two clusters and measures the rate of task starts. SHORT=1 makes a short run. OUT names the directory for
# results, BIN the directory with the programs, and ONLY a single experiment to run: overhead, response, crest or
# configuration.
set -uo pipefail

OUT=${OUT:-out}
BIN=${BIN:-bin}
SHORT=${SHORT:-}
CLUSTERS=$OUT/clusters
short_flag=${SHORT:+--short}
started=()

# start DIR starts the processes that savory-bench prepare has listed in DIR and writes their ids to DIR/pids.
start() {
	local dir=$1 name command
	: >"$dir/pids"
	while IFS=$'\t' read -r name command; do
		$command >"$dir/$name.log" 2>&1 </dev/null &
		echo "$name $!" >>"$dir/pids"
	done <"$dir/procs"
	started+=("$dir")
}

# stop DIR sends SIGTERM to the processes of a cluster, and SIGKILL to those that still run after 2 s.
stop() {
	local dir=$1 name pid
	[ -f "$dir/pids" ] || return 0
	while read -r name pid; do kill "$pid" 2>/dev/null; done <"$dir/pids"
	for _ in $(seq 20); do
		running "$dir" || break
		sleep 0.1
	done
	while read -r name pid; do kill -KILL "$pid" 2>/dev/null; done <"$dir/pids"
	while read -r name pid; do wait "$pid" 2>/dev/null; done <"$dir/pids"
	rm -f "$dir/pids"
}

# running DIR reports whether any process of a cluster still runs.
running() {
	local name pid
	while read -r name pid; do
		kill -0 "$pid" 2>/dev/null && return 0
	done <"$1/pids"
	return 1
}

stop_all() {
	local dir
	for dir in "${started[@]}"; do stop "$dir"; done
	rmdir "$OUT/lock"
}

bench() { "$BIN/savory-bench" "$@"; }

# cluster DIR ARGUMENTS... prepares and starts a cluster and waits until it is ready.
cluster() {
	local dir=$1
	shift
	bench prepare --dir "$dir" --bin "$BIN" "$@" || return
	start "$dir"
	bench ready --dir "$dir"
}

# run_bench runs the experiments on two clusters that differ only in the scheduler, measures the rates and prints the table.
run_bench() {
	rm -f "$OUT/rows.jsonl"
	cluster "$CLUSTERS/fair" --name fair --scheduler fair --port 27000 || return
	cluster "$CLUSTERS/naive" --name naive --scheduler naive --port 27100 || return
	bench run --fair "$CLUSTERS/fair" --naive "$CLUSTERS/naive" --out "$OUT" $short_flag ${ONLY:+--only "$ONLY"}
	stop "$CLUSTERS/fair"
	stop "$CLUSTERS/naive"
	[ -n "${ONLY:-}" ] || rates
	bench table --out "$OUT"
}

# rates measures the starts per second and core at several sizes, given as ENTRIES:WORKERS.
rates() {
	local sizes="1:50 1:200 2:200 4:200 1:1200" size
	[ -n "$SHORT" ] && sizes="1:50"
	for size in $sizes; do
		rate "${size%:*}" "${size#*:}"
	done
}

# rate ENTRIES WORKERS measures the starts per second and core of a cluster of this size.
rate() {
	local dir=$CLUSTERS/rate-$1-$2
	cluster "$dir" --zone zone-a --entries "$1" --workers "$2" --port 27200 --keep-starts 1 &&
		bench rate --dir "$dir" --out "$OUT" $short_flag
	stop "$dir"
}

mkdir -p "$OUT"
if ! mkdir "$OUT/lock" 2>/dev/null; then
	echo "another run uses $OUT; remove $OUT/lock if that run was killed" >&2
	exit 2
fi
trap stop_all EXIT
trap 'exit 130' INT TERM
run_bench
