# `make all` builds everything. Other targets: demo, check, mutants, bench,
# soak, lint, format, clean.
BUILD = build
SCENARIO ?= all
SEED ?= 1
STEPS ?= 20000

.PHONY: all deps demo check mutants bench soak lint format clean

all: deps
	@test -f $(BUILD)/build.ninja || meson setup $(BUILD) >/dev/null
	@ninja -C $(BUILD) --quiet
	@ln -sf packages/cuminquay packages/cuminquayctl $(BUILD)/

deps:
	@sh .ci/deps

demo: all
	@bash tests/proc/demo.sh $(BUILD)

check: all
	@test -f $(BUILD)-asan/build.ninja || meson setup $(BUILD)-asan \
	    -Db_sanitize=address,undefined -Db_lundef=false >/dev/null
	@ninja -C $(BUILD)-asan --quiet
	@ln -sf packages/cuminquay packages/cuminquayctl $(BUILD)-asan/
	@bash tests/run.sh $(BUILD)-asan

mutants: deps
	@bash tests/mutants.sh

lint: all
	@bash tests/lint.sh $(BUILD)

format:
	@clang-format -i $$(git ls-files 'packages/*.[ch]' 'platform/*.[ch]' 'tests/*.[ch]' \
	    'packages/*.cc' 'tests/*.cc' | grep -v pb-c)

clean:
	rm -rf $(BUILD) $(BUILD)-asan

bench: all
	@$(BUILD)/packages/cqbench $(SCENARIO) $(SEED)

soak: all
	@$(BUILD)/packages/cqsoak $(SEED) $(STEPS)
