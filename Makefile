BIN := $(CURDIR)/bin
# PROGRAM is what a deployment runs. Only the command of deploy/system.toml builds it.
PROGRAM := $(CURDIR)/target/foxtailhall
LINT_VERSION := v2.15.0
LINT := $(BIN)/golangci-lint-$(LINT_VERSION)

.PHONY: build generate lint test fuzz demo demo-own prove measure measure-slopes clean

build:
	@mkdir -p $(BIN)
	@rm -f $(BIN)/foxtailhall
	go build -o $(BIN)/standins ./standins
	$(BIN)/standins build

# generate needs protoc (Debian: protobuf-compiler); its output is committed.
generate:
	GOBIN=$(BIN) go install google.golang.org/protobuf/cmd/protoc-gen-go storj.io/drpc/cmd/protoc-gen-go-drpc
	PATH=$(BIN):$$PATH protoc --go_out=. --go_opt=module=github.com/foxtailhall/foxtailhall \
		--go-drpc_out=. --go-drpc_opt=module=github.com/foxtailhall/foxtailhall protocol/messenger/messages.proto

$(LINT):
	@mkdir -p $(BIN)
	GOBIN=$(BIN) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)
	mv $(BIN)/golangci-lint $(LINT)

lint: $(LINT)
	$(LINT) run ./...

# test runs all tests. The failures of tests in the lines "Go: ./folder TestName" of KNOWN-RED.txt don't fail it.
test: build lint
	go vet ./...
	$(BIN)/standins test --known KNOWN-RED.txt --apart ./proofs
	@if [ -s KNOWN-RED.txt ]; then echo "Known red, passed over:"; cat KNOWN-RED.txt; fi

clean:
	rm -rf $(BIN) out target

demo: build
	$(BIN)/standins demo --program $(PROGRAM)

# demo-own runs the demo on the program's own interface, with a log instead of a store.
demo-own: build
	scripts/demo-own

.PHONY: mutate soak soak-race platform-page

# soak injects faults drawn from seeds into running processes. SEED is the first seed (0: the time of day),
# RUNS the number of runs.
SEED ?= 0
RUNS ?= 5
soak: build
	$(BIN)/standins soak --program $(PROGRAM) --seed $(SEED) --runs $(RUNS)

# soak-race runs the same with the race detector in the processes, which makes them several times slower.
soak-race: build
	$(BIN)/standins build --race out/race
	$(BIN)/standins soak --program out/race/foxtailhall-race --folder out/soak-race --seed $(SEED) --runs $(RUNS)

# prove runs the long randomized tests and all end-to-end tests in proofs/.
prove: build
	PROVE=long go test -count=1 -timeout 30m -v ./coordination/controller ./coordination/claimer ./proofs | \
		grep -E '^(---|ok|FAIL|PASS)|ejections|ran [0-9]|Sent=|Error'
	go test -count=1 ./coordination/publisher -rapid.checks=20000

measure: build
	mkdir -p out
	$(BIN)/standins measure --out out/figures.txt
	$(BIN)/standins page --notes docs/design/measures-notes.md out/figures.txt >docs/MEASURES.md

# platform-page renders the journal of the runs on the users' platform as a page.
platform-page: build
	$(BIN)/standins platform-page --notes docs/design/platform-notes.md journal >docs/PLATFORM-MEASURES.md

fuzz:
	go test -fuzz FuzzParse -fuzztime 60s ./state/parser
	go test -fuzz FuzzSettings -fuzztime 30s ./state/loader
	go test -fuzz FuzzHead -fuzztime 30s ./transport/acceptor
	go test -fuzz FuzzChunks -fuzztime 30s ./transport/acceptor
	go test -fuzz FuzzAnswer -fuzztime 30s ./transport/forwarder
	go test -fuzz FuzzChunks -fuzztime 30s ./transport/framer
	go test -fuzz FuzzConfiguration -fuzztime 30s ./platform
	go test -fuzz FuzzHeartbeat -fuzztime 20s ./platform
	go test -fuzz FuzzRecords -fuzztime 20s ./platform

# measure-slopes runs the benchmarks behind the estimates in docs/CAPACITY.md.
measure-slopes:
	go test -run NONE -bench 'RosterEntry|RouteEntry|ConfigurationDelta|CustomerEntry|CustomerDelta|Pick|GossipPeriod|LockRound|ClaimEntry|MemberMessage|EvidenceMessage|RouterServer|ServiceTableUpdate|GuardTick' \
		-benchtime 200ms ./state/... ./coordination/... ./transport/...

# mutate breaks one rule at a time in a copy of the tree and checks that a test fails.
mutate:
	scripts/mutate
