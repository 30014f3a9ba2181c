.PHONY: bench demo faults playground run-node build test check check-generated check-tidy lint generate measure capacity

VERSION ?= dev

demo: build
	@scripts/demo.sh

playground: build
	@scripts/playground.sh

# The demo with a sequence of faults; it fails where callers are harmed.
faults: build
	@scripts/faults.sh

# The demo with more chats than the engines hold, most of one workspace.
surge: build
	@scripts/surge.sh

# Flags come from the environment: KNAPWEEDGW_NODE_ID and so on (see README.md).
run-node: build
	@bin/knapweedgw serve

build:
	@go build -trimpath -ldflags "-X main.version=$(VERSION)" -o bin/knapweedgw ./cmd/knapweedgw
	@go build -trimpath -o bin/knapweedlab ./lab/cmd/knapweedlab

# The tests listed in KNOWN-RED.txt are printed and passed over.
test:
	@scripts/test.sh

lint:
	@unformatted=$$(gofmt -l .); test -z "$$unformatted" || { echo "not formatted: $$unformatted"; exit 1; }
	go vet ./...
	cd lab && go vet ./...
	go tool staticcheck ./...
	cd lab && go tool staticcheck ./...

generate:
	go tool wire ./node

check-generated:
	go tool wire diff ./node

check-tidy:
	go mod tidy -diff
	cd lab && go mod tidy -diff

check: lint check-generated check-tidy test

measure: build
	@bin/knapweedlab measure $(if $(JSON),--json $(JSON))

capacity: build
	@bin/knapweedlab capacity

bench: build
	@bin/knapweedlab bench
