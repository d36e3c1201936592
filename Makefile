PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: install format check test demo bench capacity path clean
.PHONY: install format check test chaos demo bench capacity clean

SEED ?= 1
CHAOS_SECONDS ?= 20

install: $(STAMP)

$(STAMP): pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -e '.[dev]'
	touch $(STAMP)

format: install
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

check: install
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

# Tests under load measure memory, so they run one at a time, after the others.
test: check
	$(BIN)/python -m pytest -m "not overload"
	$(BIN)/python -m pytest -n 0 -m overload tests/overload

chaos: install
	$(BIN)/python -m tests.scenarios.chaos --seed $(SEED) --seconds $(CHAOS_SECONDS)

demo: install
	$(BIN)/python scripts/demo.py

bench: install
	$(BIN)/python -m gooseberrypost.bench $(BENCH_OPTIONS)

capacity: install
	$(BIN)/python -m scripts.capacity $(CAPACITY_OPTIONS)

path: install
	$(BIN)/python -m scripts.path_latency $(PATH_OPTIONS)

clean:
	rm -rf $(VENV) build src/*.egg-info
