VENV := .venv
PY := $(VENV)/bin/python
STAMP := $(VENV)/.installed

.PHONY: demo up check lint test bench fuzz faults clean

$(STAMP): pyproject.toml
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install -q -e '.[dev]'
	touch $@

check: lint test

lint: $(STAMP)
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

test: $(STAMP)
	HYPOTHESIS_PROFILE=ci $(VENV)/bin/pytest -n 6 --dist loadfile

FAULT_ROUNDS ?= 5

faults: $(STAMP)
	FAULT_ROUNDS=$(FAULT_ROUNDS) $(VENV)/bin/pytest -m faults -n 2 --dist loadfile -s fleet/tests

demo: $(STAMP)
	$(PY) -m fleet.demo

up: $(STAMP)
	$(PY) -m fleet.up

clean:
	rm -rf $(VENV) run
