# Requires Python 3.11 with pip, make and a C compiler. Each target creates the
# virtual environment and installs its dependencies if needed.
PYTHON ?= python3.11
VENV ?= .venv
BIN := $(VENV)/bin
READY := $(VENV)/.ready
export PYTHONPATH := $(CURDIR)/packages/lentilbeam-core/src:$(CURDIR)/packages/lentilbeam-router/src:$(CURDIR)/packages/lentilbeam-cli/src:$(CURDIR)/platform:$(CURDIR)
export PYTHONDONTWRITEBYTECODE := 1

.PHONY: setup test lint format demo fleet golden soak bench bench-overload bench-path bench-fairness bench-slopes bench-catalogue bench-once

setup: $(READY)

$(READY): requirements.txt $(wildcard packages/*/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation \
	  --editable packages/lentilbeam-core \
	  --editable packages/lentilbeam-router \
	  --editable packages/lentilbeam-cli
	touch $(READY)

test: setup
	$(BIN)/python -m pytest

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/python tools/check_imports.py packages platform tests bench demo soak tools

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

golden: setup
	RENEW_GOLDEN=1 $(BIN)/python -m pytest tests/golden

demo: setup
	$(BIN)/python -m demo

fleet: setup
	$(BIN)/python -m demo.hold

bench: bench-overload bench-path bench-fairness bench-slopes bench-catalogue bench-once

SEEDS ?= 5

soak: setup
	$(BIN)/python -m soak --seeds $(SEEDS)

bench-overload: setup
	$(BIN)/python -m bench.overload

bench-path: setup
	$(BIN)/python -m bench.path

bench-fairness: setup
	$(BIN)/python -m bench.fairness

bench-catalogue: setup
	$(BIN)/python -m bench.catalogue
	$(BIN)/python -m bench.catalogue_spread
	$(BIN)/python -m bench.spread

bench-slopes: setup
	$(BIN)/python -m bench.slopes

bench-once: setup
	$(BIN)/python -m bench.once
