VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin
STAMP = $(VENV)/.installed

.PHONY: run test check format binary measure clean

$(STAMP): requirements-dev.lock
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --require-hashes -r requirements-dev.lock
	touch $(STAMP)

run: $(STAMP)
	$(BIN)/python -m shallotwharf dev --settings examples/dev/settings.json

check: $(STAMP)
	$(BIN)/ruff format --check shallotwharf tests
	$(BIN)/ruff check shallotwharf tests
	$(BIN)/flake8 shallotwharf tests
	$(BIN)/mypy
	$(BIN)/lint-imports --no-cache

test: check
	$(BIN)/python -m pytest

format: $(STAMP)
	$(BIN)/ruff check --fix shallotwharf tests
	$(BIN)/ruff format shallotwharf tests

binary: $(STAMP)
	packaging/build.sh $(BIN)/python build/shallotwharf

clean:
	rm -rf build dist
