# Development targets. `make demo` shows a deployment at work, `make check` runs the linters and the tests.

BIN := bin
# KNOWN-RED.txt lists the tests that are known to fail. `make test` skips them, CI prints them, and all others must pass.
SKIP = $(shell awk -F'[: ]+' '/^test:/ {printf "%s%s", sep, $$2; sep="|"}' KNOWN-RED.txt 2>/dev/null)

.PHONY: all build test check fmt-check lint fuzz-seeds demo demo-up demo-down bench chaos slopes capacity clean

all: build

build:
	go build -o $(BIN)/ ./cmd/...

test:
	go test -race $(if $(SKIP),-skip '^($(SKIP))$$') ./...

fmt-check:
	@out="$$(gofmt -l $$(git ls-files '*.go'))"; if [ -n "$$out" ]; then echo "gofmt: $$out"; exit 1; fi

lint:
	go vet ./...
	go tool staticcheck ./...

check: fmt-check lint test

demo: build
	scripts/demo.sh

# Load tests and experiments on real processes; SHORT=1 for a trial. If a bound is missed, the table shows it,
# `savory-bench table` exits with status 3, and the target fails.
bench: build
	BIN=$(BIN) SHORT=$(SHORT) scripts/bench.sh bench

# Measures the cost of control (CPU, memory and traffic, while idle and per task) at several cluster sizes.
slopes: build
	BIN=$(BIN) SHORT=$(SHORT) scripts/bench.sh slopes

# Calculates the tables of docs/CAPACITY.md anew from the slopes of the last `make slopes` and from Go benchmarks.
capacity: build
	mkdir -p out
	go test -p 1 -run '^$$' -bench Control -benchtime 10x ./internal/member >out/benchmarks.txt
	go test -p 1 -run '^$$' -bench 'Call/size=64' ./internal/peer >>out/benchmarks.txt
	go test -p 1 -run '^$$' -bench Start -benchtime 20000x ./internal/sched/fair >>out/benchmarks.txt
	go test -p 1 -run '^$$' -bench . ./internal/platform/httpx >>out/benchmarks.txt
	$(BIN)/savory-bench capacity --slopes out/slopes.csv --benchmarks out/benchmarks.txt --page docs/CAPACITY.md

# Runs with random faults: make chaos SEED=1 RUNS=20. PROCESSES=1 runs each program in a separate process.
SEED ?= 1
RUNS ?= 20
PARALLEL ?= 8
chaos:
	go test ./internal/scenario -run '^TestChaos$$' -count=1 -timeout 3h -parallel $(PARALLEL) \
		-chaos.seed=$(SEED) -chaos.runs=$(RUNS) $(if $(PROCESSES),-chaos.processes)

# Starts a deployment, leaves it running and prints its addresses; see docs/getting-started.md.
demo-up: build
	@scripts/up.sh

demo-down:
	@scripts/down.sh

clean:
	rm -rf $(BIN)
