VENV := .venv
PY := $(VENV)/bin/python
STAMP := $(VENV)/.installed
WORKERS ?= 6
FLEETS ?= 2
FAULT_ROUNDS ?= 5
FUZZ_SEED ?= $(shell date +%s)

.PHONY: demo up check lint test bench fuzz faults clean

$(STAMP): pyproject.toml
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install -q -e '.[dev]'
	touch $@

check: lint test

lint: $(STAMP)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

# Process-level tests run a fleet each, so that fewer of them run at once.
test: $(STAMP)
	HYPOTHESIS_PROFILE=ci $(VENV)/bin/pytest -n $(WORKERS) --dist loadfile \
		chervilgw standins
	HYPOTHESIS_PROFILE=ci $(VENV)/bin/pytest -n $(FLEETS) --dist loadfile \
		-m "not alone" fleet
	HYPOTHESIS_PROFILE=ci $(VENV)/bin/pytest -m alone fleet

# The state machines for longer, with random seeds.
fuzz: $(STAMP)
	@echo "fuzz seed: $(FUZZ_SEED)"
	HYPOTHESIS_PROFILE=fuzz $(VENV)/bin/pytest -n $(WORKERS) --timeout=3600 \
		--hypothesis-seed=$(FUZZ_SEED) chervilgw standins

# The process-level tests under failure, more rounds of each.
faults: $(STAMP)
	FAULT_ROUNDS=$(FAULT_ROUNDS) $(VENV)/bin/pytest -m faults -n 2 --dist loadfile \
		--timeout=1200 -s fleet/tests

bench: $(STAMP)
	$(PY) -m benchmarks.policy
	$(PY) -m benchmarks.prefixes
	$(PY) -m benchmarks.planner
	$(PY) -m benchmarks.quota_spread
	$(PY) -m benchmarks.relay
	$(PY) -m benchmarks.deployments > benchmarks/results/deployments.txt
	cat benchmarks/results/deployments.txt

demo: $(STAMP)
	$(PY) -m fleet.demo

up: $(STAMP)
	$(PY) -m fleet.up

clean:
	rm -rf $(VENV) run
