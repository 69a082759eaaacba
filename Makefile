# Common development tasks. Targets that need the virtual environment set it up first.
PYTHON ?= python3
BIN = .venv/bin
PACKAGES = packages/catkintiller packages/catkintiller-node packages/catkintiller-operator \
	packages/catkintiller-standins packages/catkintiller-relay platform
SEED ?= 1
SEEDS ?= 10

.PHONY: setup demo test lint format docs faults soak bench keys latency capacity experiment deploy-check clean

setup: .venv/ready

.venv/ready: requirements.txt $(PACKAGES:%=%/pyproject.toml)
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --require-hashes -r requirements.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation $(PACKAGES:%=-e ./%)
	touch $@

demo: setup
	$(BIN)/python -m catkintiller_standins.demo --seed $(SEED)

test: setup
	$(BIN)/python -m pytest

lint: setup
	$(BIN)/ruff format --check packages platform
	$(BIN)/ruff check packages platform

format: setup
	$(BIN)/ruff check --fix packages platform
	$(BIN)/ruff format packages platform

docs: setup
	$(BIN)/python -m catkintiller.reference > docs/SETTINGS.md

faults: setup
	$(BIN)/python -m catkintiller_standins.faults --seed $(SEED)

soak: setup
	$(BIN)/python -m catkintiller_platform.testing.soak --first $(SEED) --seeds $(SEEDS)

bench: setup
	$(BIN)/python -m catkintiller_standins.bench --seed $(SEED)

keys: setup
	$(BIN)/python -m catkintiller_standins.keys_bench

latency: setup
	$(BIN)/python -m catkintiller_standins.latency

experiment: setup
	$(BIN)/python -m catkintiller_standins.emulator.experiment --plots bench/results

capacity: setup
	$(BIN)/python -m catkintiller_standins.capacity

deploy-check: setup
	sh deploy/build.sh
	PYTHONPATH=target/deps $(PYTHON) -c "import catkintiller_relay.main"

clean:
	rm -rf .venv
