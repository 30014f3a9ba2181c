.PHONY: demo playground run-node build test check check-generated lint generate measure capacity

VERSION ?= dev

demo: build
	@scripts/demo.sh

playground: build
	@scripts/playground.sh

# Flags come from the environment: KNAPWEEDGW_NODE_ID and so on (see README.md).
run-node: build
	@bin/knapweedgw serve

build:
	@go build -trimpath -ldflags "-X main.version=$(VERSION)" -o bin/knapweedgw ./cmd/knapweedgw
	@go build -trimpath -o bin/knapweedlab ./lab/cmd/knapweedlab

test:
	go test -race ./...
	cd lab && go test -race ./...

lint:
	@test -z "$$(gofmt -l $$(git ls-files '*.go'))" || { gofmt -l $$(git ls-files '*.go'); exit 1; }
	go vet ./...
	cd lab && go vet ./...
	go tool staticcheck ./...
	cd lab && go tool staticcheck ./...

generate:
	go tool wire ./node

check-generated:
	go tool wire diff ./node

check: lint check-generated test

measure: build
	@bin/knapweedlab measure $(if $(JSON),--json $(JSON))

capacity: build
	@bin/knapweedlab capacity
