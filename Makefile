VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin
CODE = shallotwharf tests measurements
STAMP = $(VENV)/.installed

.PHONY: run test check format binary measure clean

$(STAMP): requirements-dev.lock
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --require-hashes -r requirements-dev.lock
	touch $(STAMP)

run: $(STAMP)
	$(BIN)/python -m shallotwharf dev --settings examples/dev/settings.json

check: $(STAMP)
	$(BIN)/ruff format --check $(CODE)
	$(BIN)/ruff check $(CODE)
	$(BIN)/flake8 $(CODE)
	$(BIN)/mypy
	$(BIN)/lint-imports --no-cache

# A fixed hash seed gives sets the same iteration order, and so the tests the
# same result, in every run. The tests run one at a time: those that send crowds
# of clients measure the memory of processes, so start no others beside them.
test: check
	PYTHONHASHSEED=0 $(BIN)/python -m pytest

format: $(STAMP)
	$(BIN)/ruff check --fix $(CODE)
	$(BIN)/ruff format $(CODE)

binary: $(STAMP)
	packaging/build.sh $(BIN)/python build/shallotwharf

measure: $(STAMP)
	$(BIN)/python -m measurements.latency --calls 2000 --rate 0 \
		--variants direct,byte_relay,one_node,two_nodes
	$(BIN)/python -m measurements.fleet --sizes 6,12,24 --json build/fleet.json
	$(BIN)/python -m measurements.moves --seed 1 --count 5
	$(BIN)/python -m measurements.admission --seed 1

clean:
	rm -rf build dist
