# Targets: run, demo, test, measure (QUICK=1 for the short form), lint, format, clean.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/installed.stamp
PACKAGES := core router operator standins

.PHONY: run demo test measure lint format clean install compile

install: $(STAMP)

$(STAMP): requirements-dev.txt $(wildcard packages/*/pyproject.toml)
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements-dev.txt \
		$(foreach package,$(PACKAGES),--editable packages/limpetusher-$(package))
	touch $(STAMP)

# Each start of a process would otherwise compile the sources anew where Python is told to write no bytecode.
compile: $(STAMP)
	$(BIN)/python -m compileall -q packages

run: compile
	$(BIN)/python -m limpetusher_standins run

demo: compile
	$(BIN)/python -m limpetusher_standins demo

measure: compile
	$(BIN)/python -m limpetusher_standins measure $(if $(QUICK),--quick)

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

test: lint compile
	$(BIN)/python -m pytest

clean:
	rm -rf $(VENV) .pytest_cache .ruff_cache build
