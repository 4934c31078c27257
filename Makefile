# Versions of the tools that CI uses.
GOFUMPT := mvdan.cc/gofumpt@v0.10.0
REVIVE := github.com/mgechev/revive@v1.15.0
BIN := $(CURDIR)/bin

.PHONY: build tools check test generate quickstart bench

build:
	go build -o $(BIN)/ ./cmd/... ./standin/cmd/...

tools:
	GOBIN=$(BIN) go install $(GOFUMPT)
	GOBIN=$(BIN) go install $(REVIVE)

check:
	@out=$$($(BIN)/gofumpt -l .); if [ -n "$$out" ]; then echo "gofumpt would change:"; echo "$$out"; exit 1; fi
	$(BIN)/revive -config revive.toml -set_exit_status ./...
	go vet ./...

test:
	scripts/test

generate:
	buf generate
	go test ./reference -update

quickstart: build
	scripts/quickstart

bench:
	go test -run '^$$' -bench . -benchmem ./...
