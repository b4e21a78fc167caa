# carawayusher: see README.md.
GO            ?= go
GOLANGCI      ?= golangci-lint
LINT_VERSION  := v2.15.0
SEED          ?= 1
BIN           := bin
export PATH   := $(shell $(GO) env GOPATH)/bin:$(PATH)

.PHONY: all build run test unit lint fmt fmt-check tools measure bench bench-cluster bench-capacity clean

all: build

## build: compile the programs into bin/.
build:
	@mkdir -p $(BIN)
	$(GO) build -o $(BIN)/ ./cmd/...

## run: submit a mixed load to an embedded system, and to an emulated platform with faults, and check the outcome.
run: build
	$(BIN)/carawayusherd demo
	$(BIN)/carawayusherd demo --platform

## test: formatter, linter and all tests with the race detector.
test: lint unit

## unit: all tests with the race detector; cases of KNOWN-RED.txt are skipped and printed.
unit:
	@GO="$(GO)" bash scripts/unit.sh

## lint: formatter check and linter.
lint: tools fmt-check
	$(GOLANGCI) run ./...

fmt-check: tools
	@out="$$($(GOLANGCI) fmt --diff ./... 2>&1)"; if [ -n "$$out" ]; then echo "$$out"; echo "run 'make fmt'"; exit 1; fi

## fmt: format the code.
fmt: tools
	$(GOLANGCI) fmt ./...

tools:
	@command -v $(GOLANGCI) >/dev/null 2>&1 && $(GOLANGCI) version 2>/dev/null | grep -q "$(LINT_VERSION:v%=%)" || \
		$(GO) install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)

clean:
	rm -rf $(BIN)

## measure: compare the scheduler with baselines under load (SEED=n).
measure:
	@$(GO) run ./cmd/measure --seed $(SEED)

## bench: decision time and memory of the scheduler by fleet size, with slopes.
bench:
	@{ $(GO) test -run '^$$' -bench 'Small|Backlog|Gang' -benchtime 2000x ./pkg/sched && \
		$(GO) test -run '^$$' -bench State -benchtime 1x ./pkg/sched; } | $(GO) run ./cmd/measure slopes

## bench-cluster: measure 9 VMs and 50 workers as real processes (SEED=n, SHORT=1 for less than a minute).
bench-cluster:
	@$(GO) run ./cmd/benchcluster -seed $(SEED) $(if $(SHORT),-short)

## bench-capacity: sizes behind docs/CAPACITY.md (see also scripts/slopes.sh).
bench-capacity:
	@$(GO) test -run '^$$' -bench Capacity -benchtime 1x ./pkg/... 2>&1 | grep '^Benchmark'
