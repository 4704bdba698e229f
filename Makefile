# Build, test, lint and run. CI (.ci/run) runs lint and test.
.PHONY: build test lint run

build:
	mkdir -p bin && go build -o bin/ ./cmd/...

test:
	go test -race -timeout 5m ./...

lint:
	@bad=$$(gofmt -l .); [ -z "$$bad" ] || { echo "not formatted: $$bad"; exit 1; }
	go vet ./...

# The platform's variables (ROUTER_CONFIG at least) must be set.
run: build
	exec bin/sprucelane
