PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: test demo slopes lint format clean

$(STAMP): pyproject.toml requirements.lock
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --requirement requirements.lock
	$(BIN)/python -m pip install --quiet --no-deps --editable .
	touch $@

# Formatter, linters, schema hash, doctests and tests.
test: lint
	$(BIN)/python -m pytest

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8 jasminebeam bench tests
	cd jasminebeam/operators && sha256sum operators.proto | cut -d' ' -f1 \
		| cmp - generated/SCHEMA.sha256

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

# Runs the Juazeiro fleet on loopback under faults and prints a report.
demo: $(STAMP)
	$(BIN)/python -m bench.demo

# Measures the slopes from which docs/CAPACITY.md computes the capacity.
slopes: $(STAMP)
	$(BIN)/python -m bench.slopes

clean:
	rm -rf build $(VENV) *.egg-info
