# One entry point for people and CI. `make run` shows the main job, `make check` proves it.
JOBS ?= $(shell nproc)
PRESET ?= release

.PHONY: install build run check test lint spec
install:
	@tools/install.sh
build: install
	@cmake --preset $(PRESET) >/dev/null
	@cmake --build --preset $(PRESET) -j $(JOBS)
run: build
	@build/$(PRESET)/arbutusworks trial
test: build
	@ctest --test-dir build/$(PRESET) --output-on-failure -j $(JOBS)
lint: build
	@tools/lint.sh
spec: install
	@if [ -x spec/check.sh ]; then spec/check.sh; fi
check: lint spec test
