# Two targets serve a newcomer: `make demo` runs the main job, `make check` the tests.
BUILD      := build
BUILD_ASAN := build-asan
BUILD_TSAN := build-tsan
BUILD_FUZZ := build-fuzz
JOBS       := $(shell nproc)
STAMP      := $(HOME)/.cache/corianderwalk-packages
SOURCES     = $(shell git ls-files -co --exclude-standard '*.c' '*.h' | grep -vE 'packages/peer/(src|include)/peer')

.PHONY: all packages demo check check-thread fuzz bench plots format format-check lint promises clean

all: $(BUILD)/.built

packages:
	@tools/install-packages

$(BUILD)/.built: packages
	@cmake -S . -B $(BUILD) -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
	@cmake --build $(BUILD) -j$(JOBS) -- --no-print-directory -s >/dev/null

.PHONY: $(BUILD)/.built $(BUILD_ASAN)/.built $(BUILD_TSAN)/.built $(BUILD_FUZZ)/.built

$(BUILD_ASAN)/.built: packages
	@cmake -S . -B $(BUILD_ASAN) -DCMAKE_BUILD_TYPE=Debug -DCW_SANITIZE=address >/dev/null
	@cmake --build $(BUILD_ASAN) -j$(JOBS) -- --no-print-directory -s >/dev/null

$(BUILD_TSAN)/.built: packages
	@cmake -S . -B $(BUILD_TSAN) -DCMAKE_BUILD_TYPE=RelWithDebInfo -DCW_SANITIZE=thread >/dev/null
	@cmake --build $(BUILD_TSAN) -j$(JOBS) -- --no-print-directory -s >/dev/null

$(BUILD_FUZZ)/.built: packages
	@CC=clang cmake -S . -B $(BUILD_FUZZ) -DCMAKE_BUILD_TYPE=RelWithDebInfo -DCW_SANITIZE=fuzzer >/dev/null
	@cmake --build $(BUILD_FUZZ) -j$(JOBS) --target fuzz_node fuzz_users -- --no-print-directory -s >/dev/null

demo: $(BUILD)/.built
	@tests/demo $(BUILD)

check: $(BUILD_ASAN)/.built $(BUILD)/.built promises
	@FLOOD_BUILD=$(BUILD) tests/check $(BUILD_ASAN)

check-thread: $(BUILD_TSAN)/.built $(BUILD)/.built
	@FLOOD_BUILD=$(BUILD) TSAN_OPTIONS="suppressions=$(CURDIR)/tests/tsan.supp" tests/check $(BUILD_TSAN)

# Longer than CI's fixed budget: FUZZ_SECONDS on each of FUZZ_JOBS processors, from the saved corpus.
FUZZ_SECONDS ?= 150
FUZZ_JOBS ?= 4
fuzz: $(BUILD_FUZZ)/.built
	@tests/fuzz/run $(BUILD_FUZZ) $(FUZZ_SECONDS) $(FUZZ_JOBS)

bench: $(BUILD)/.built
	@tests/bench/run $(BUILD)

plots: $(BUILD)/.built
	@tests/bench/plots $(BUILD)

promises:
	@tools/check-promises

format:
	@clang-format -i $(SOURCES)

format-check:
	@clang-format --dry-run -Werror $(SOURCES)

lint: $(BUILD)/.built
	@tools/lint $(BUILD)

clean:
	rm -rf $(BUILD) $(BUILD_ASAN) $(BUILD_TSAN) $(BUILD_FUZZ)
