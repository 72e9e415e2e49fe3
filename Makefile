# Each target prepares its own environment in .venv; nothing is installed by hand.
PYTHON ?= python3
BIN := .venv/bin

.PHONY: test build demo bench soak format lint proto

.venv/.ready: requirements.txt requirements-dev.txt
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	touch $@

lint: .venv/.ready
	$(BIN)/black --check --quiet .
	$(BIN)/ruff check --quiet .

format: .venv/.ready
	$(BIN)/ruff check --fix --quiet .
	$(BIN)/black --quiet .

test: lint
	$(BIN)/python -m tests.run

# What the users' platform runs before it starts nodes.
build:
	$(PYTHON) -c 'import tomllib; print(tomllib.load(open("deploy/system.toml", "rb"))["build"])' | sh -e

demo: .venv/.ready
	$(BIN)/python -m demo.run

bench: .venv/.ready
	$(BIN)/python -m bench.run

# make soak SEED=1 SEEDS=50; its flags are in soak/run.py.
SEED ?= 1
SEEDS ?= 5
soak: .venv/.ready
	$(BIN)/python -m soak.run --seed=$(SEED) --seeds=$(SEEDS)

proto: .venv/.ready
	$(BIN)/python -m grpc_tools.protoc -I. --python_out=. --grpc_python_out=. bergamotridge/nodes/*.proto
