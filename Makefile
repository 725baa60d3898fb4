# Development targets. `make demo` shows a deployment at work, `make check` runs the linters and the tests.

BIN := bin
# KNOWN-RED.txt lists the tests that are known to fail. `make test` skips them, CI prints them, and all others must pass.
SKIP = $(shell awk -F'[: ]+' '/^test:/ {printf "%s%s", sep, $$2; sep="|"}' KNOWN-RED.txt 2>/dev/null)

.PHONY: all build test check fmt-check lint fuzz-seeds demo demo-up demo-down bench chaos soak clean

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
	BIN=$(BIN) SHORT=$(SHORT) scripts/bench.sh

# Runs with random faults: make chaos SEED=1 RUNS=20. PROCESSES=1 runs each program in a separate process.
SEED ?= 1
RUNS ?= 20
PARALLEL ?= 8
chaos:
	go test ./internal/scenario -run '^TestChaos$$' -count=1 -timeout 3h -parallel $(PARALLEL) \
		-chaos.seed=$(SEED) -chaos.runs=$(RUNS) $(if $(PROCESSES),-chaos.processes)

# Real instances on the users' platform with random faults from outside: make soak SEED=1 MINUTES=0.15 INSTANCES=4 RUNS=2. PARALLEL
# runs at the same time; each instance is a process. DIR keeps the logs and histories of failed runs. STORED=false leaves stored jobs out.
# PATHS=true adds faults of the callers' paths, ENDING=10s a phase in which the callers leave.
MINUTES ?= 0.15
INSTANCES ?= 4
CALLERS ?= 3
STORED ?= true
PATHS ?= false
ENDING ?= 0s
soak:
	go test ./internal/soak -run '^TestSoak$$' -count=1 -timeout 3h -parallel $(PARALLEL) -v \
		-soak.seed=$(SEED) -soak.minutes=$(MINUTES) -soak.instances=$(INSTANCES) -soak.callers=$(CALLERS) -soak.runs=$(RUNS) -soak.stored=$(STORED) \
		-soak.paths=$(PATHS) -soak.ending=$(ENDING) $(if $(DIR),-soak.dir=$(abspath $(DIR)))

# Starts a deployment, leaves it running and prints its addresses; see docs/getting-started.md.
demo-up: build
	@scripts/up.sh

demo-down:
	@scripts/down.sh

clean:
	rm -rf $(BIN)
