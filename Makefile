GOBIN := $(CURDIR)/bin
LINT := $(GOBIN)/golangci-lint
LINT_VERSION := v2.15.0

.PHONY: build generate
build:
	mkdir -p bin
	go build -o bin/ ./cmd/... 

generate:
	GOBIN=$(GOBIN) go install google.golang.org/protobuf/cmd/protoc-gen-go storj.io/drpc/cmd/protoc-gen-go-drpc
	PATH=$(GOBIN):$$PATH protoc --go_out=. --go_opt=module=github.com/foxtailhall/foxtailhall --go-drpc_out=. --go-drpc_opt=module=github.com/foxtailhall/foxtailhall protocol/messenger/messages.proto
