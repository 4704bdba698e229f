# Build, test, lint and run. CI (.ci/run) runs lint and test.
.PHONY: build test lint run

build:
	mkdir -p bin && go build -o bin/ ./cmd/...

test:
	go test -race -timeout 5m ./...

lint:
	@bad=$$(gofmt -l .); [ -z "$$bad" ] || { echo "not formatted: $$bad"; exit 1; }
	go vet ./...

# With the platform's variables one gateway; without them a demonstration on loopback.
run: build
	@if [ -n "$$ROUTER_CONFIG" ]; then exec bin/sprucelane; else exec bin/sprucelab demo; fi
