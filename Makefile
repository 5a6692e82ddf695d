# make demo and make test are the two commands of the README.
GO ?= go
BIN := bin

.PHONY: all build test demo generate format lint proof soak measure capacity clean

all: build

build:
	$(GO) build -o $(BIN)/ ./cmd/...

# Formatter, vet, staticcheck and all suites with the race detector and fixed seeds.
test: lint
	$(GO) test -race -count=1 -p 4 -timeout 9m ./... ./api/... -ginkgo.seed=1

# Seven hosts and twelve workers as processes on loopback, under 90 seconds.
demo:
	$(GO) run ./internal/demo/cmd/demo

lint:
	@out=$$(gofmt -l $$(git ls-files -c -o --exclude-standard '*.go')); if [ -n "$$out" ]; then echo "not formatted: $$out"; exit 1; fi
	$(GO) vet ./... ./api/...
	$(GO) tool staticcheck ./... ./api/...

format:
	gofmt -w $$(git ls-files -c -o --exclude-standard '*.go')

# Needs Debian's protobuf-compiler; the plugins are pinned by go.mod.
generate:
	$(GO) build -o $(BIN)/tools/ google.golang.org/protobuf/cmd/protoc-gen-go github.com/twitchtv/twirp/protoc-gen-twirp
	PATH="$(CURDIR)/$(BIN)/tools:$$PATH" protoc --proto_path=. --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative internal/rpc/peer.proto internal/rpc/domain.proto

# Compares the policy with two baselines on seeded workloads; writes the tables and plots under docs.
measure:
	$(GO) run ./internal/measure/cmd/measure

# Failure runs over many seeds, 10 to 15 minutes; SEEDS and FIRST_SEED change the set.
SEEDS ?= 300
FIRST_SEED ?= 1
proof:
	$(GO) run ./internal/nodetest/cmd/proof --seeds=$(SEEDS) --first-seed=$(FIRST_SEED)

# Processor time, memory and bytes of real daemons on loopback, under 8 minutes; writes docs/capacity and prints the tables.
capacity:
	$(GO) run ./internal/capacity/cmd/capacity

# The fault soak over real processes; SEEDS and FIRST_SEED change the set. Logs of failed seeds stay in soak-failures.
soak: SEEDS = 10
soak: build
	$(GO) run ./soak/cmd/soak --seeds=$(SEEDS) --first-seed=$(FIRST_SEED)

clean:
	rm -rf $(BIN)
