PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin

.PHONY: demo demo-platform test lint capacity bench format

$(VENV)/.installed: pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -e '.[dev,plot]'
	touch $@

demo: $(VENV)/.installed
	$(BIN)/chicorydoor demo

demo-platform: $(VENV)/.installed
	$(BIN)/chicorydoor demo --platform

test: $(VENV)/.installed
	.ci/test

lint: $(VENV)/.installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: $(VENV)/.installed
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

capacity: $(VENV)/.installed
	$(BIN)/python -m bench.capacity

bench: $(VENV)/.installed
	$(BIN)/python -m bench.throughput
	$(BIN)/python -m bench.decisions
	$(BIN)/python -m bench.rates
