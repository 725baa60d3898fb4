# Development targets. `make demo` is the main job, `make test` runs the tests.

BIN := bin
# The tests named in KNOWN-RED.txt are passed over by CI and printed; everything else must pass.
SKIP = $(shell awk -F'[: ]+' '/^test:/ {printf "%s%s", sep, $$2; sep="|"}' KNOWN-RED.txt 2>/dev/null)

.PHONY: all build test check fmt-check lint fuzz-seeds demo demo-up demo-down bench chaos slopes clean

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

# Random fault runs: make chaos SEED=1 RUNS=20. PROCESSES=1 runs every program as a process of its own.
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
