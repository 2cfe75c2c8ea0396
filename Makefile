.PHONY: build demo demo-up test test-slow-clients lint bench fmt fuzz soak soak-sidecar clean

GO      ?= go
SEEDS   ?= 50
# SKIP is a pattern of tests to skip. CI sets it from KNOWN-RED.txt.
SKIP    ?=
ONLY    ?=
BENCH   ?= build/lagoonbarrow-bench

build:
	$(GO) build -o build/ ./cmd/...

demo: build
	bash scripts/demo.sh

demo-up: build
	bash scripts/demo.sh --keep

test:
	$(GO) test -race -count=1 -timeout 20m $(if $(SKIP),-skip '$(SKIP)') $$($(GO) list ./... | grep -v '/slowclients$$')

# The processes of these tests are measured, so nothing else may run beside them.
test-slow-clients:
	$(GO) test -count=1 -timeout 20m $(if $(SKIP),-skip '$(SKIP)') ./slowclients

lint:
	@out="$$($(GO) tool gofumpt -l .)"; if [ -n "$$out" ]; then echo "gofumpt would change:"; echo "$$out"; exit 1; fi
	$(GO) tool revive -config revive.toml -set_exit_status ./...
	$(GO) vet ./...

fmt:
	$(GO) tool gofumpt -w .

bench: build
	$(BENCH) -only "$(ONLY)"

soak: build
	LAGOONBARROW_SEEDS=$(SEEDS) $(GO) test -timeout 60m -count=1 -run 'History|Property' ./...

soak-sidecar:
	LAGOONBARROW_SEEDS=$(SEEDS) $(GO) test -timeout 60m -count=1 ./soak

clean:
	rm -rf build
