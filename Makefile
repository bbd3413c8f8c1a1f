LINT = go run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0

.PHONY: build test search soak lint format generate check-generated demo demo-board bench clean

build:
	go build -o bin/anviltack .
	go build -o bin/standin ./standin/cmd

test:
	scripts/test

# Runs the property tests with a new random seed.
search:
	go test -count=1 ./core/...

# Injects faults into in-memory groups, and sends random texts, for the duration SOAK; -soakseed=N chooses those of one.
SOAK = 10m
soak:
	go test -race -count=1 -timeout 0 -run 'TestSoak' -v ./proxy ./platform -soak $(SOAK)

lint:
	$(LINT) run ./...

format:
	$(LINT) fmt ./...

generate:
	scripts/generate

check-generated:
	scripts/generate --check

demo: build
	bin/standin demo --site index

demo-board: build
	bin/standin demo --site board

bench: build
	scripts/bench

clean:
	rm -rf bin out
