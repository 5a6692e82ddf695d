# The README names the targets demo and test.
GO ?= go
BIN := bin

.PHONY: all build test demo generate format lint proof soak measure capacity clean

all: build

build:
	$(GO) build -o $(BIN)/ ./cmd/...

# Checks the formatting, runs vet and staticcheck, and runs all test suites with the race detector and fixed seeds. The suite
# with crowds of clients runs by itself, so that it and the timing of the other suites do not disturb each other.
test: lint
	$(GO) test -race -count=1 -p 4 -timeout 9m $$($(GO) list ./... ./api/... | grep -v /test/listeners$$) -ginkgo.seed=1
	$(GO) test -race -count=1 -timeout 9m ./test/listeners -ginkgo.seed=1

# Runs seven hosts and twelve workers as processes on loopback, in under 90 seconds.
demo:
	$(GO) run ./internal/demo/cmd/demo

lint:
	@out=$$(gofmt -l $$(git ls-files -c -o --exclude-standard '*.go')); if [ -n "$$out" ]; then echo "not formatted: $$out"; exit 1; fi
	$(GO) vet ./... ./api/...
	$(GO) tool staticcheck ./... ./api/...

format:
	gofmt -w $$(git ls-files -c -o --exclude-standard '*.go')

# Needs Debian's package protobuf-compiler. The versions of the plugins are pinned in go.mod.
generate:
	$(GO) build -o $(BIN)/tools/ google.golang.org/protobuf/cmd/protoc-gen-go github.com/twitchtv/twirp/protoc-gen-twirp
	PATH="$(CURDIR)/$(BIN)/tools:$$PATH" protoc --proto_path=. --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative internal/rpc/peer.proto internal/rpc/domain.proto

# Compares the scheduling policy with two baselines on seeded workloads, and writes tables and plots to docs.
measure:
	$(GO) run ./internal/measure/cmd/measure

# Runs the failure scenarios with many seeds, in 10 to 15 minutes. SEEDS is their number, FIRST_SEED the first one.
SEEDS ?= 300
FIRST_SEED ?= 1
proof:
	$(GO) run ./internal/nodetest/cmd/proof --seeds=$(SEEDS) --first-seed=$(FIRST_SEED)

# Measures processor time, memory and bytes of real daemons on loopback, in under 8 minutes. Writes the results to
# docs/capacity and prints the tables.
capacity:
	$(GO) run ./internal/capacity/cmd/capacity

# Runs real processes under random faults (soak test). SEEDS and FIRST_SEED choose the seeds. Logs of failed seeds are kept
# in soak-failures.
soak: SEEDS = 10
soak: build
	$(GO) run ./soak/cmd/soak --seeds=$(SEEDS) --first-seed=$(FIRST_SEED)

clean:
	rm -rf $(BIN)
