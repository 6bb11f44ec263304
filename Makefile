# `make demo` runs a demonstration of the system; `make check` runs all checks. Both install missing packages.
SANITIZE ?=
BUILD_DIR ?= build$(if $(SANITIZE),-$(subst $(comma),-,$(SANITIZE)),)
PREFIX ?= /usr/local
SCHEDULES ?= 20000
comma := ,
SOURCES := $(shell git ls-files '*.cpp' '*.h' | grep -v '^generated/')

.PHONY: deploy-build known-red setup build demo check format format-check lint layers test models soak mutants bench install clean

setup:
	@scripts/setup.sh

build: setup
	@cmake -S . -B $(BUILD_DIR) -G Ninja -DSANITIZE=$(SANITIZE) > $(BUILD_DIR).log || (cat $(BUILD_DIR).log; exit 1)
	@cmake --build $(BUILD_DIR)

demo: build
	@BUILD_DIR=$(BUILD_DIR) scripts/demo.sh

# With SANITIZE, only the build and the tests are checked, because the other checks do not depend on it.
ifeq ($(SANITIZE),)
check: format-check layers build lint test models deploy-build
else
check: build test
endif

format: setup
	@clang-format -i $(SOURCES)

format-check: setup
	@clang-format --dry-run -Werror $(SOURCES)

layers:
	@scripts/check-layers.sh
	@scripts/check-coroutines.sh

lint: build
	@scripts/lint.sh $(BUILD_DIR)

# Runs the build command that the users' platform runs, and checks the example settings with the resulting program.
deploy-build: setup
	@sed -n 's/^build = "\(.*\)"$$/\1/p' deploy/system.toml | sh > target.log 2>&1 || (cat target.log; exit 1)
	@target/apricotarch front check examples/front/front.yaml

known-red:
	@cat KNOWN-RED.txt

test: build known-red
	@ctest --test-dir $(BUILD_DIR) --output-on-failure -j 6

models: setup
	@scripts/models.sh

soak: build
	@APRICOTARCH_SCHEDULES=$(SCHEDULES) $(BUILD_DIR)/tests/apricotarch-tests --run_test=history --log_level=message 2>/dev/null

mutants: setup
	@scripts/mutants.sh

bench: build
	@BUILD_DIR=$(BUILD_DIR) scripts/bench.sh

install: build
	@cmake --install $(BUILD_DIR) --prefix $(PREFIX)

clean:
	@rm -rf build build-* build*.log
