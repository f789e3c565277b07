# One entry point for people and CI. `make run` shows the main job, `make check` proves it.
JOBS ?= $(shell nproc)
PRESET ?= release

.PHONY: install build run check test lint spec experiments
install:
	@tools/install.sh
build: install
	@cmake --preset $(PRESET) >/dev/null
	@cmake --build --preset $(PRESET) -j $(JOBS)
run: build
	@build/$(PRESET)/arbutusworks trial
test: build
	@ctest --test-dir build/$(PRESET) --output-on-failure -j $(JOBS) -E "$$(tools/known_red.sh)"
# Every experiment, one after the other, so that none disturbs another; under five minutes.
experiments: build
	@for e in experiments/*.toml; do \
	  build/$(PRESET)/arbutusworks load $$e --out build/experiments || failed="$$failed $$e"; \
	done; test -z "$$failed" || { echo "failed:$$failed"; exit 1; }
lint: build
	@tools/lint.sh
spec: install
	@if [ -x spec/check.sh ]; then spec/check.sh; fi
check: lint spec test
