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

faults: $(STAMP)
	$(VENV)/bin/pytest -n 2 --dist loadfile -m faults

demo: $(STAMP)
	$(PY) -m fleet.demo

up: $(STAMP)
	$(PY) -m fleet.up

clean:
	rm -rf $(VENV) run
